package tunnel

import (
	"net"
	"strconv"
	"sync"
)

// Forwarder is a connection that may go through a peer.
type Forwarder interface {
	// Forwarded returns how many of the bytes that were written to the connection have reached the backend server's. It
	// is valid once the reading of the connection has ended in order.
	Forwarded(written int64) int64
}

// Forwarded returns how many of the bytes that were written to a connection have reached the backend server's: all, unless
// it is a Forwarder.
func Forwarded(c any, written int64) int64 {
	if f, ok := c.(Forwarder); ok {
		return f.Forwarded(written)
	}
	return written
}

// Forwarded implements Forwarder. A peer that does not state it has forwarded nothing.
func (c *Conn) Forwarded(written int64) int64 {
	select {
	case <-c.answered:
	default:
		return 0
	}
	if c.response == nil {
		return 0
	}
	n, err := strconv.ParseInt(c.response.Trailer.Get(trailerForwarded), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return min(n, written)
}

// serverConn is the connection to a backend server, and counts what is written to it.
type serverConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
}

// Write implements net.Conn.
func (c *serverConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// end closes the connection, which ends a write in progress, and returns how many bytes have reached the server's.
func (c *serverConn) end() int64 {
	_ = c.Conn.Close() // the server has ended it
	c.mu.Lock()
	defer c.mu.Unlock()
	return Forwarded(c.Conn, c.written)
}

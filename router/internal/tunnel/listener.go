package tunnel

import (
	"io"
	"net"
	"sync"
	"time"
)

// lingerTimeout is how long data of a peer is still read, and dropped, after its connection was closed here.
const lingerTimeout = 500 * time.Millisecond

// Listener accepts peers' connections for tunnels.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	detectDeadPeer(tcp)
	return &lingeringConn{TCPConn: tcp}, nil
}

// lingeringConn is a connection whose Close lets the peer read all that was sent. A server may respond before
// it has read a long request; closing a connection with unread data resets it, and the peer drops what it has
// not read yet.
type lingeringConn struct {
	*net.TCPConn
	once sync.Once
}

// Close implements net.Conn. It does not block.
func (c *lingeringConn) Close() error {
	var err error
	c.once.Do(func() {
		if err = c.CloseWrite(); err != nil {
			_ = c.TCPConn.Close() // the connection is broken already
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		go func() {
			_, _ = io.Copy(io.Discard, c.TCPConn) // ends when the peer closes its side
			_ = c.TCPConn.Close()
		}()
	})
	return err
}

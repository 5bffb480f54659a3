package connlimit

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener accepts connections within its bounds.
type Listener struct {
	net.Listener
	// Refuse reports whether the next connection is closed unread; nil for never.
	Refuse func() bool

	pool *pool
	// limits returns the limits of clients in force; nil for connections that do not carry HTTP requests.
	limits func() Limits
}

// Listen listens on a TCP address. limits returns the limits of clients that are in force, and is called often; it is nil if
// the connections do not carry HTTP requests.
func Listen(address string, b Bounds, limits func() Limits) (*Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return boundUnread(c, b.Unread) }}
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	boundBacklog(l, b.Backlog)
	return NewListener(l, b, limits), nil
}

// NewListener returns a listener that accepts the connections of l within the bounds. limits is as in Listen.
func NewListener(l net.Listener, b Bounds, limits func() Limits) *Listener {
	return &Listener{Listener: l, pool: newPool(b), limits: limits}
}

// setReceiveBuffer sets the size of a socket's receive buffer. The kernel doubles the value for its own data.
func setReceiveBuffer(fd uintptr, size int) {
	_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size/2)
}

// boundUnread sets the size of the receive buffers of the listener's connections, which inherit it. A system that refuses it
// keeps its default.
func boundUnread(c syscall.RawConn, size int) error {
	if size <= 0 {
		return nil
	}
	return c.Control(func(fd uintptr) { setReceiveBuffer(fd, size) })
}

// BoundDialed returns a net.Dialer's Control function that sets the size of the receive buffers of the connections that it
// opens; see Bounds.Unread.
//
// Load: backend servers in trouble that send without end, to many requests at once. Harm prevented: what the kernel holds
// for the process before it reads exceeds the process's memory.
func BoundDialed(size int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return boundUnread(c, size) }
}

// boundBacklog bounds the connections that wait to be accepted: a process that stands still cannot accept any, and they hold
// unread bytes too. A system that refuses it keeps its default.
func boundBacklog(l net.Listener, n int) {
	tcp, ok := l.(*net.TCPListener)
	if !ok || n <= 0 {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), n) }) // fails only for a listener that is closed
	}
}

// Usage returns what the connections use.
func (l *Listener) Usage() Usage { return l.pool.usage() }

// acceptPause is the time until the next try if no connection could be accepted for lack of descriptors or memory.
const acceptPause = 10 * time.Millisecond

// Accept implements net.Listener. It fails only once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			time.Sleep(acceptPause) // a client has disconnected, or there is no descriptor left
			continue
		}
		if l.Refuse != nil && l.Refuse() {
			reset(raw)
			continue
		}
		c := newConn(raw, l.pool, l.limits)
		if l.pool.add(&c.member, time.Now()) {
			c.start()
			return c, nil
		}
		reset(raw)
	}
}

// reset closes a connection without waiting for its data.
func reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = t.SetLinger(0) // the connection is closed in any case
	}
	_ = c.Close()
}

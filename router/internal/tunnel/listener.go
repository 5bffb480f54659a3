package tunnel

import (
	"net"
	"sync"

	"masticplank.example/router/internal/connlimit"
)

// Listener accepts peers' connections for tunnels.
type Listener struct{ *connlimit.Listener }

// Listen listens for peers on a TCP address.
func Listen(address string, b connlimit.Bounds) (Listener, error) {
	l, err := connlimit.Listen(address, b, func() connlimit.Limits { return peerLimits })
	return Listener{l}, err
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limited := c.(*connlimit.Conn)
	if tcp := limited.TCP(); tcp != nil {
		detectDeadPeer(tcp)
	}
	return &lingeringConn{Conn: limited}, nil
}

// lingeringConn is a connection whose Close lets the peer read all that was sent. A server may respond before
// it has read a long request; closing a connection with unread data resets it, and the peer drops what it has
// not read yet.
type lingeringConn struct {
	*connlimit.Conn
	once sync.Once
}

// Close implements net.Conn. It does not block.
func (c *lingeringConn) Close() error {
	var err error
	c.once.Do(func() { err = c.CloseLingering() })
	return err
}

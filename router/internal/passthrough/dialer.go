package passthrough

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connectTimeout bounds a new connection to a backend server: 1 to 3 ms are usual, and a
// lost first packet is sent again after a second, when another server has answered.
const connectTimeout = 350 * time.Millisecond

// dialer opens connections to backend servers, one for each attempt, and knows when each
// server was last heard of.
type dialer struct {
	clock Clock
	net   net.Dialer

	mu     sync.Mutex
	pulses map[string]*atomic.Int64
}

func newDialer(clock Clock) *dialer {
	return &dialer{clock: clock, net: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}, pulses: map[string]*atomic.Int64{}}
}

// pulse is when the server was last heard of, in Unix nanoseconds of the clock.
func (d *dialer) pulse(server string) *atomic.Int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pulses[server]
	if p == nil {
		p = new(atomic.Int64)
		d.pulses[server] = p
	}
	return p
}

// forget drops the servers that the list has dropped.
func (d *dialer) forget(keep func(server string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.pulses {
		if !keep(id) {
			delete(d.pulses, id)
		}
	}
}

// dial opens a connection.
func (d *dialer) dial(ctx context.Context, server, address string) (*conn, error) {
	c, err := d.net.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, clock: d.clock, server: d.pulse(server)}, nil
}

// conn notes when bytes come in.
type conn struct {
	net.Conn
	clock  Clock
	server *atomic.Int64
	// heard is the time of the last byte, 0 before the first.
	heard atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		at := c.clock.Now().UnixNano()
		c.heard.Store(at)
		c.server.Store(at)
	}
	return n, err
}

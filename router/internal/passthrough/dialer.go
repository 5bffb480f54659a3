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

	mu           sync.Mutex
	lastReceived map[string]*atomic.Int64
}

func newDialer(clock Clock) *dialer {
	return &dialer{clock: clock, net: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}, lastReceived: map[string]*atomic.Int64{}}
}

// pulse is when the server was last heard of, in Unix nanoseconds of the clock.
func (d *dialer) lastReceivedFrom(server string) *atomic.Int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.lastReceived[server]
	if p == nil {
		p = new(atomic.Int64)
		d.lastReceived[server] = p
	}
	return p
}

// forget drops the servers that the list has dropped.
func (d *dialer) retain(keep func(server string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.lastReceived {
		if !keep(id) {
			delete(d.lastReceived, id)
		}
	}
}

// dial opens a connection.
func (d *dialer) dial(ctx context.Context, server, address string) (*conn, error) {
	c, err := d.net.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, clock: d.clock, serverLastReceived: d.lastReceivedFrom(server)}, nil
}

// conn notes when bytes come in.
type conn struct {
	net.Conn
	clock              Clock
	serverLastReceived *atomic.Int64
	// heard is the time of the last byte, 0 before the first.
	lastReceived atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		at := c.clock.Now().UnixNano()
		c.lastReceived.Store(at)
		c.serverLastReceived.Store(at)
	}
	return n, err
}

package passthrough

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connectTimeout is the timeout for connecting to a backend server, which usually takes 1 to 3 ms.
// A lost SYN is sent again only after a second; another server can respond before that.
const connectTimeout = 350 * time.Millisecond

// dialer opens connections to backend servers, one for each attempt, and records when bytes
// last arrived from each server.
type dialer struct {
	clock Clock
	net   net.Dialer

	mu           sync.Mutex
	lastReceived map[string]*atomic.Int64
}

func newDialer(clock Clock) *dialer {
	return &dialer{clock: clock, net: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}, lastReceived: map[string]*atomic.Int64{}}
}

// lastReceivedFrom returns the shared variable that holds when bytes last arrived from the server, in
// Unix nanoseconds of the clock; 0 for never. It creates the variable if there is none.
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

// retain removes the servers for which keep returns false.
func (d *dialer) retain(keep func(server string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.lastReceived {
		if !keep(id) {
			delete(d.lastReceived, id)
		}
	}
}

// dial opens a connection to the server.
func (d *dialer) dial(ctx context.Context, server, address string) (*conn, error) {
	c, err := d.net.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, clock: d.clock, serverLastReceived: d.lastReceivedFrom(server)}, nil
}

// conn is a connection to a backend server. It records when bytes arrive, for itself and for the
// server.
type conn struct {
	net.Conn
	clock              Clock
	serverLastReceived *atomic.Int64
	// lastReceived is when bytes last arrived, in Unix nanoseconds of the clock; 0 before the
	// first.
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

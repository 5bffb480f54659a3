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

// connectFunc opens a connection.
type connectFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialer opens connections to backend servers, one for each attempt, and records when bytes
// last arrived from each server.
type dialer struct {
	clock   Clock
	net     *net.Dialer
	connect connectFunc

	mu           sync.Mutex
	lastReceived map[string]*atomic.Int64
	// unreached are the servers to which the latest dial failed; lastDialed is when the latest dial to
	// any server succeeded, zero for never.
	unreached  map[string]bool
	lastDialed time.Time
}

func newDialer(clock Clock) *dialer {
	d := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return &dialer{clock: clock, net: d, connect: newConnect(d), lastReceived: map[string]*atomic.Int64{}, unreached: map[string]bool{}}
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
	for id := range d.unreached {
		if !keep(id) {
			delete(d.unreached, id)
		}
	}
}

// recordDial records the end of a dial to the server.
func (d *dialer) recordDial(server string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.unreached[server] = true
		return
	}
	delete(d.unreached, server)
	d.lastDialed = d.clock.Now()
}

// reachability returns the number of servers to which the latest dial failed, and the time since a dial
// to any server succeeded; 0 if none has yet.
func (d *dialer) reachability() (unreached int, sinceDialed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastDialed.IsZero() {
		return len(d.unreached), 0
	}
	return len(d.unreached), d.clock.Now().Sub(d.lastDialed)
}

// dial opens a connection to the server.
func (d *dialer) dial(ctx context.Context, server, address string) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := d.connect(dialCtx, "tcp", address)
	if ctx.Err() == nil {
		d.recordDial(server, err)
	}
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

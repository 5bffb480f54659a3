package faultmatrix

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
)

// network connects callers, instances and backend servers through pipes, so that
// a cell runs on the clock of its synctest bubble. An address is "owner:port";
// an owner can be taken down, and two owners can be disconnected from each
// other.
type network struct {
	mu          sync.Mutex
	listeners   map[string]*pipeListener
	connections map[*connection]bool
	// down holds the owners that takeDown has made unreachable.
	down map[string]bool
	// disconnected holds the pairs (see pair) of owners that cannot reach each
	// other.
	disconnected map[string]bool
}

// connection is one connection between two owners.
type connection struct {
	from, to string
	ends     [2]net.Conn
}

func newNetwork() *network {
	return &network{listeners: map[string]*pipeListener{}, connections: map[*connection]bool{}, down: map[string]bool{}, disconnected: map[string]bool{}}
}

func owner(addr string) string {
	name, _, _ := strings.Cut(addr, ":")
	return name
}

var errNoRoute = &net.OpError{Op: "dial", Net: "pipe", Err: errors.New("no route")}

func (n *network) listen(addr string) net.Listener {
	l := &pipeListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// dialer returns a dial function for the owner from.
func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		to := owner(addr)
		n.mu.Lock()
		l := n.listeners[addr]
		blocked := n.blocked(from, to)
		n.mu.Unlock()
		if l == nil || blocked {
			return nil, errNoRoute
		}
		local, remote := net.Pipe()
		select {
		case l.conns <- remote:
		case <-l.closed:
			return nil, errNoRoute
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if !n.track(&connection{from, to, [2]net.Conn{local, remote}}) {
			return nil, errNoRoute
		}
		return local, nil
	}
}

// blocked reports whether a and b cannot reach each other; n.mu is held.
func (n *network) blocked(a, b string) bool {
	return n.down[a] || n.down[b] || n.disconnected[pair(a, b)]
}

// track records a new connection. If the owners could no longer reach each
// other when it was established, track closes the connection and returns false.
func (n *network) track(c *connection) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked(c.from, c.to) {
		_, _ = c.ends[0].Close(), c.ends[1].Close()
		return false
	}
	n.connections[c] = true
	return true
}

// pair returns the same key for two owners in either order.
func pair(a, b string) string { return min(a, b) + "|" + max(a, b) }

// disconnect closes the connections between two owners and blocks new ones until
// reconnectAll.
func (n *network) disconnect(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[pair(a, b)] = true
	for c := range n.connections {
		if pair(c.from, c.to) == pair(a, b) {
			_, _ = c.ends[0].Close(), c.ends[1].Close()
			delete(n.connections, c)
		}
	}
}

// takeDown disconnects an owner as the death of its process does: the other ends
// of its connections read EOF, and new connections fail until bringUp.
func (n *network) takeDown(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[name] = true
	for c := range n.connections {
		if c.from == name {
			_ = c.ends[0].Close()
		}
		if c.to == name {
			_ = c.ends[1].Close()
		}
	}
}

// bringUp makes the addresses of an owner that was taken down reachable again,
// for a new process.
func (n *network) bringUp(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.down, name)
}

// reconnectAll ends the effect of all calls of disconnect.
func (n *network) reconnectAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.disconnected)
}

// pipeListener is a net.Listener whose connections are pipes.
type pipeListener struct {
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.addr) }

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }

func (n *network) isDown(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down[name]
}

// close closes all remaining connections and listeners.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.connections {
		_, _ = c.ends[0].Close(), c.ends[1].Close()
	}
	for _, l := range n.listeners {
		_ = l.Close()
	}
}

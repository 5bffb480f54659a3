package faultmatrix

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
)

// network connects the parts of a cell through pipes, so that a cell runs on the
// bubble's clock. An address is "owner:port"; the owner can be cut off.
type network struct {
	mu          sync.Mutex
	listeners   map[string]*pipeListener
	connections map[*connection]bool
	// down has the owners that nobody reaches; severed the pairs that are cut.
	down         map[string]bool
	disconnected map[string]bool
}

// line is one connection between two owners.
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

// dialer connects in the name of from.
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

func (n *network) blocked(a, b string) bool {
	return n.down[a] || n.down[b] || n.disconnected[pair(a, b)]
}

// keep notes a new line, unless it was cut while it was being made.
func (n *network) track(l *connection) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked(l.from, l.to) {
		_, _ = l.ends[0].Close(), l.ends[1].Close()
		return false
	}
	n.connections[l] = true
	return true
}

func pair(a, b string) string { return min(a, b) + "|" + max(a, b) }

// sever ends the lines between two owners until mend.
func (n *network) disconnect(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[pair(a, b)] = true
	for l := range n.connections {
		if pair(l.from, l.to) == pair(a, b) {
			_, _ = l.ends[0].Close(), l.ends[1].Close()
			delete(n.connections, l)
		}
	}
}

// lose takes an owner off the network for good, as the death of its process
// does: the other sides read the end of their connections.
func (n *network) takeDown(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[name] = true
	for l := range n.connections {
		if l.from == name {
			_ = l.ends[0].Close()
		}
		if l.to == name {
			_ = l.ends[1].Close()
		}
	}
}

// revive lets a new process take a lost owner's addresses.
func (n *network) bringUp(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.down, name)
}

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

// close ends what is left.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.connections {
		_, _ = l.ends[0].Close(), l.ends[1].Close()
	}
	for _, l := range n.listeners {
		_ = l.Close()
	}
}

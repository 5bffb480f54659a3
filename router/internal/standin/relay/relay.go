// Package relay is a TCP proxy that simulates a network connection which can be
// interrupted: it forwards connections to a target until it is disconnected.
package relay

import (
	"io"
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// Relay listens on loopback. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu           sync.Mutex
	disconnected bool
	conns        map[net.Conn]bool
}

// New returns a relay to target. It dials target once for each connection that it
// accepts, so target need not be reachable yet.
func New(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Relay{listener: l, target: target, conns: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.SetDisconnected(true)
}

// SetDisconnected(true) closes the open connections and then each new one;
// SetDisconnected(false) lets new connections pass again.
func (r *Relay) SetDisconnected(disconnected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = disconnected
	if !disconnected {
		return
	}
	for c := range r.conns {
		c.Close()
		delete(r.conns, c)
	}
}

func (r *Relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(in)
	}
}

// track records a connection. If the relay is disconnected, it closes the
// connection and returns false.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disconnected {
		c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.Close()
	delete(r.conns, c)
}

func (r *Relay) forward(in net.Conn) {
	if !r.track(in) {
		return
	}
	defer r.untrack(in)
	out, err := net.Dial("tcp", r.target)
	if err != nil || !r.track(out) {
		return
	}
	defer r.untrack(out)
	go func() {
		_, _ = io.Copy(out, in)
		out.Close()
	}()
	_, _ = io.Copy(in, out)
}

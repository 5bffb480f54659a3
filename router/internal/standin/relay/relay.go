// Package relay is the stand-in for a network line that can be cut: it passes TCP
// connections on to a target, until it is told not to.
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

// New returns a relay to target, which is asked for at each connection only.
func New(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Relay{listener: l, target: target, conns: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.SetDisconnected(true)
}

// SetCut closes what is open and refuses what comes, or ends that.
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

// keep notes a connection; false where the line is cut.
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

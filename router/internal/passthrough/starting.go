package passthrough

import (
	"context"
	"sync"
	"time"
)

// startMost is how long after the start of the process callers are held: the
// configuration and the list of backend servers are read in 0.05 to 0.2 s, also when all
// instances start at once. A caller who waits for longer than that is refused.
const startTimeout = 500 * time.Millisecond

// starting holds callers back while a process that has just started learns what it needs.
//
// Load: all instances killed at once, and callers who come back the moment the ports are
// open. Harm prevented: a refusal that uses up a caller's last try, a tenth of a second
// before the answer could have been had.
type startGate struct {
	mu      sync.Mutex
	missing map[prerequisite]bool
	// over is closed when all is learnt, or the time for that has passed.
	opened  chan struct{}
	release func()
}

// learnt is what a process must have learnt before it can serve.
type prerequisite uint8

const (
	prerequisiteConfig prerequisite = iota + 1
	prerequisiteServers
)

func newStartGate() *startGate {
	s := &startGate{missing: map[prerequisite]bool{prerequisiteConfig: true, prerequisiteServers: true}, opened: make(chan struct{})}
	s.release = sync.OnceFunc(func() { close(s.opened) })
	time.AfterFunc(startTimeout, s.release)
	return s
}

// has notes what was learnt.
func (s *startGate) loaded(what prerequisite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.missing, what)
	if len(s.missing) == 0 {
		s.release()
	}
}

// wait returns when all is learnt, or the time for that has passed.
func (s *startGate) wait(ctx context.Context) {
	select {
	case <-s.opened:
	case <-ctx.Done():
	}
}

package passthrough

import (
	"context"
	"sync"
	"time"
)

// startMost is how long after the start of the process callers are held: the
// configuration and the list of backend servers are read in 0.05 to 0.2 s, also when all
// instances start at once. A caller who waits for longer than that is refused.
const startMost = 500 * time.Millisecond

// starting holds callers back while a process that has just started learns what it needs.
//
// Load: all instances killed at once, and callers who come back the moment the ports are
// open. Harm prevented: a refusal that uses up a caller's last try, a tenth of a second
// before the answer could have been had.
type starting struct {
	mu   sync.Mutex
	left map[learnt]bool
	// over is closed when all is learnt, or the time for that has passed.
	over    chan struct{}
	release func()
}

// learnt is what a process must have learnt before it can serve.
type learnt uint8

const (
	learntConfig learnt = iota + 1
	learntServers
)

func newStarting() *starting {
	s := &starting{left: map[learnt]bool{learntConfig: true, learntServers: true}, over: make(chan struct{})}
	s.release = sync.OnceFunc(func() { close(s.over) })
	time.AfterFunc(startMost, s.release)
	return s
}

// has notes what was learnt.
func (s *starting) has(what learnt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.left, what)
	if len(s.left) == 0 {
		s.release()
	}
}

// wait returns when all is learnt, or the time for that has passed.
func (s *starting) wait(ctx context.Context) {
	select {
	case <-s.over:
	case <-ctx.Done():
	}
}

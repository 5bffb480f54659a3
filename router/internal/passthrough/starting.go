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
	clock Clock
	until time.Time

	mu   sync.Mutex
	left map[learnt]bool
	done chan struct{}
}

// learnt is what a process must have learnt before it can serve.
type learnt uint8

const (
	learntConfig learnt = iota + 1
	learntServers
)

func newStarting(clock Clock) *starting {
	return &starting{
		clock: clock, until: clock.Now().Add(startMost),
		left: map[learnt]bool{learntConfig: true, learntServers: true}, done: make(chan struct{}),
	}
}

// has notes what was learnt.
func (s *starting) has(what learnt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.left[what] {
		return
	}
	delete(s.left, what)
	if len(s.left) == 0 {
		close(s.done)
	}
}

// wait returns when all is learnt, or the time for that has passed.
func (s *starting) wait(ctx context.Context) {
	left := s.until.Sub(s.clock.Now())
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

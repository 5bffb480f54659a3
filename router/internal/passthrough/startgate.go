package passthrough

import (
	"context"
	"sync"
	"time"
)

// startTimeout is the time from the start of the process after which requests are no longer held. The
// configuration and the list of backend servers are read in 0.05 to 0.2 s, also if all instances start
// at once. After startTimeout, a request that cannot be served is refused.
const startTimeout = 500 * time.Millisecond

// startGate holds requests until a process that has just started has read what it needs.
//
// Load: all instances are killed at once, and callers retry the moment the ports are open
// again. Harm prevented: a refusal uses up a caller's last attempt, a tenth of a second before
// the request could be served.
type startGate struct {
	mu      sync.Mutex
	missing map[prerequisite]bool
	// opened is closed when nothing is missing or startTimeout has passed.
	opened  chan struct{}
	release func()
}

// prerequisite is something that a process must have read before it can serve.
type prerequisite uint8

const (
	prerequisiteConfig prerequisite = iota + 1
	prerequisiteServers
	// prerequisiteObservations: the quarantined parts of prompts.
	prerequisiteObservations
)

func newStartGate() *startGate {
	s := &startGate{missing: map[prerequisite]bool{prerequisiteConfig: true, prerequisiteServers: true, prerequisiteObservations: true}, opened: make(chan struct{})}
	s.release = sync.OnceFunc(func() { close(s.opened) })
	time.AfterFunc(startTimeout, s.release)
	return s
}

// loaded records that a prerequisite was read, and releases the requests if it was the last.
func (s *startGate) loaded(what prerequisite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.missing, what)
	if len(s.missing) == 0 {
		s.release()
	}
}

// wait returns when nothing is missing, startTimeout has passed, or ctx ends.
func (s *startGate) wait(ctx context.Context) {
	select {
	case <-s.opened:
	case <-ctx.Done():
	}
}

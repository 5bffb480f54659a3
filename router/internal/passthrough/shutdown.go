package passthrough

import (
	"sync"
	"sync/atomic"
	"time"

	"masticplank.example/decision/passthrough"
)

// shutdownPhase is the phase of a process's shutdown.
type shutdownPhase int32

const (
	// phaseServing: the process was not asked to stop.
	phaseServing shutdownPhase = iota
	// phaseLeaving: the process is no longer ready, but the load balancer may not have noticed
	// yet.
	phaseLeaving
	// phaseFinishing: the load balancer has noticed; streams in progress continue, and plain
	// requests are still accepted.
	phaseFinishing
	// phaseClosing: no new request is accepted.
	phaseClosing
)

// shutdown decides what happens to new requests while the process stops.
//
// Load: all instances are stopped in turn, each while it still finishes streams that last seconds,
// and for some time none is left in rotation. Harm prevented: plain requests, which take a tenth of a
// second, are refused everywhere, although there is time for them. So they are accepted until
// phaseClosing. Streams are refused once the load balancer has noticed: a stream that is truncated at
// the end of the grace period would be lost.
type shutdown struct {
	phase atomic.Int32
	// end is when the last response must be complete, in Unix nanoseconds; set by begin.
	end atomic.Int64

	mu sync.Mutex
	// waiting end the waits of the requests in progress; giveUp calls them.
	waiting map[*exchange]func()
	// gaveUp is true once they have been called.
	gaveUp bool
}

// add records a request in progress, whose wait for a backend server end ends.
func (s *shutdown) add(x *exchange, end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gaveUp {
		end()
		return
	}
	if s.waiting == nil {
		s.waiting = map[*exchange]func(){}
	}
	s.waiting[x] = end
}

// remove records that nothing is to end the request's wait any more: its response has begun, or it has ended.
func (s *shutdown) remove(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, x)
}

// giveUp ends the waits of requests whose response has not begun.
//
// Load: requests at servers that hang while the instance stops. Harm prevented: their connections are closed without an
// answer, and callers do not know whether they were read.
func (s *shutdown) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gaveUp = true
	for _, end := range s.waiting {
		end()
	}
	clear(s.waiting)
}

// begin starts the shutdown; the last response must be complete at end.
func (s *shutdown) begin(end time.Time) {
	s.end.Store(end.UnixNano())
	s.enter(phaseLeaving)
}

func (s *shutdown) enter(p shutdownPhase) { s.phase.Store(int32(p)) }

func (s *shutdown) current() shutdownPhase { return shutdownPhase(s.phase.Load()) }

// begun reports whether the shutdown has begun.
func (s *shutdown) begun() bool { return s.current() >= phaseLeaving }

// closesConnections reports whether each connection is closed after its response. Connections without a request stay open until
// the end: a request that crosses a close is not read, and its caller does not know why.
func (s *shutdown) closesConnections() bool { return s.current() >= phaseFinishing }

// refuses reports whether a new request of the kind is refused.
func (s *shutdown) refuses(kind passthrough.Kind) bool {
	switch s.current() {
	case phaseServing, phaseLeaving:
		return false
	case phaseFinishing:
		return kind == passthrough.KindStream
	}
	return true
}

// capDeadline brings a new request's deadline forward to the end of the shutdown, so that its caller
// gets a final response in time.
func (s *shutdown) capDeadline(deadline time.Time) time.Time {
	end := time.Unix(0, s.end.Load())
	if s.current() < phaseFinishing || deadline.Before(end) {
		return deadline
	}
	return end
}

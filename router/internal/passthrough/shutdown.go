package passthrough

import (
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

package passthrough

import (
	"sync/atomic"
	"time"

	"masticplank.example/decision/passthrough"
)

// phase is how far a process that was told to stop is.
type shutdownPhase int32

const (
	// phaseServing: it was not told to stop.
	phaseServing shutdownPhase = iota
	// phaseLeaving: it is not ready any more, and the balancer may not have noticed yet.
	phaseLeaving
	// phaseFinishing: the balancer has noticed; streams in progress go on.
	phaseFinishing
	// phaseClosing: nothing more is taken.
	phaseClosing
)

// stopping is what new requests meet at a process that was told to stop.
//
// Load: all instances stopped in turn, each while it finishes streams of seconds, so that
// for some time none is left in rotation. Harm prevented: plain calls of a tenth of a second
// refused everywhere though there is time for them. Streams are refused once the balancer has
// noticed: one that was cut at the end would be lost.
type shutdown struct {
	phase atomic.Int32
	// end is when the process must have answered, in Unix nanoseconds; set once it leaves.
	end atomic.Int64
}

// leave notes that the process was told to stop, and when it must have answered.
func (s *shutdown) begin(end time.Time) {
	s.end.Store(end.UnixNano())
	s.enter(phaseLeaving)
}

func (s *shutdown) enter(p shutdownPhase) { s.phase.Store(int32(p)) }

func (s *shutdown) current() shutdownPhase { return shutdownPhase(s.phase.Load()) }

// begun says whether the process was told to stop.
func (s *shutdown) begun() bool { return s.current() >= phaseLeaving }

// refuses says whether a new request of the kind is refused.
func (s *shutdown) refuses(kind passthrough.Kind) bool {
	switch s.current() {
	case phaseServing, phaseLeaving:
		return false
	case phaseFinishing:
		return kind == passthrough.KindStream
	}
	return true
}

// bound brings a new request's deadline forward to the end of the process, so that its caller
// gets a final answer in time.
func (s *shutdown) capDeadline(deadline time.Time) time.Time {
	end := time.Unix(0, s.end.Load())
	if s.current() < phaseFinishing || deadline.Before(end) {
		return deadline
	}
	return end
}

package passthrough

import (
	"sync/atomic"
	"time"

	"masticplank.example/decision/passthrough"
)

// phase is how far a process that was told to stop is.
type phase int32

const (
	// phaseServing: it was not told to stop.
	phaseServing phase = iota
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
type stopping struct {
	phase atomic.Int32
	// end is when the process must have answered, in Unix nanoseconds; set once it leaves.
	end atomic.Int64
}

// leave notes that the process was told to stop, and when it must have answered.
func (s *stopping) leave(end time.Time) {
	s.end.Store(end.UnixNano())
	s.enter(phaseLeaving)
}

func (s *stopping) enter(p phase) { s.phase.Store(int32(p)) }

func (s *stopping) now() phase { return phase(s.phase.Load()) }

// begun says whether the process was told to stop.
func (s *stopping) begun() bool { return s.now() >= phaseLeaving }

// refuses says whether a new request of the kind is refused.
func (s *stopping) refuses(kind passthrough.Kind) bool {
	switch s.now() {
	case phaseServing, phaseLeaving:
		return false
	case phaseFinishing:
		return kind == passthrough.KindStream
	}
	return true
}

// bound brings a new request's deadline forward to the end of the process, so that its caller
// gets a final answer in time.
func (s *stopping) bound(deadline time.Time) time.Time {
	end := time.Unix(0, s.end.Load())
	if s.now() < phaseFinishing || deadline.Before(end) {
		return deadline
	}
	return end
}

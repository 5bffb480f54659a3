package passthrough

import (
	"sync/atomic"
	"time"

	"masticplank.example/decision/passthrough"
)

// phase is how far a process that was told to stop is.
type phase int32

const (
	// phaseServing: it was not told to stop, or the balancer may not have noticed yet.
	phaseServing phase = iota
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
	// end is when the process must have answered, in Unix nanoseconds; 0 for no end.
	end atomic.Int64
}

// refuses says whether a new request of the kind is refused.
func (s *stopping) refuses(kind passthrough.Kind) bool {
	switch phase(s.phase.Load()) {
	case phaseServing:
		return false
	case phaseFinishing:
		return kind == passthrough.KindStream
	}
	return true
}

// bound brings a new request's deadline forward to the end of the process, so that its caller
// gets a final answer in time.
func (s *stopping) bound(deadline time.Time) time.Time {
	end := s.end.Load()
	if end == 0 || phase(s.phase.Load()) == phaseServing || deadline.UnixNano() < end {
		return deadline
	}
	return time.Unix(0, end)
}

package passthrough

import "time"

// The servers of a service may state that they are brittle: one that has to reject more than a stated number
// of requests in a second, from all instances together, for want of room, fails. So while they are, a request
// is sent only if it has room for certain: each slot of each server belongs to one instance (permits.go).

const (
	// brittleTTL is for how long a statement holds that no other response repeats.
	brittleTTL = 10 * time.Second
	// brittleReportPeriod is how long after a response this instance tells the others of its statement, and
	// brittleEndHold for how long after the end what the others report is ignored: they may not know of it yet.
	brittleReportPeriod = time.Second
	brittleEndHold      = 3 * time.Second
	// brittleRejectedBackoff is how long a brittle server is not chosen after it rejected a request: longer
	// than the second in which its rejections are counted.
	brittleRejectedBackoff = 1200 * time.Millisecond
	// engineUtilization is the fraction of an engine's slots that is used. The rest is for streams that began
	// before the statement, and for requests of instances that have not heard it.
	engineUtilization = 0.85
)

// brittle is what a service's servers state about the rejections that they survive.
type brittle struct {
	// perSecond is the number of rejections in a second. statedAt is when it was last stated, to whichever
	// instance, and ownStatedAt when it was last stated to this one; zero for never.
	perSecond   float64
	statedAt    time.Time
	ownStatedAt time.Time
	// since is when the statement began here, endedAt when one last ended by a response.
	since   time.Time
	endedAt time.Time
}

// isBrittle reports whether the service's servers are brittle.
func (s *service) isBrittle(now time.Time) bool {
	return !s.brittle.statedAt.IsZero() && now.Sub(s.brittle.statedAt) < brittleTTL
}

// observeBrittle applies what a response of the server states. Responses overtake each other: one without a
// statement ends it only if its request was sent after the statement.
func (w *World) observeBrittle(s *server, e ServerStated) {
	b := &s.service.brittle
	switch {
	case e.Brittle:
		w.beginBrittle(s.service, e.BrittlePerSecond)
		b.ownStatedAt = w.now
	case s.service.isBrittle(w.now) && !e.Sent.Before(b.ownStatedAt) && !e.Sent.Before(b.since):
		w.emit(BrittleChanged{Service: s.service.name})
		*b = brittle{endedAt: w.now}
		w.markFreed(s.service)
	}
}

// beginBrittle records that the service's servers are brittle now.
func (w *World) beginBrittle(s *service, perSecond float64) {
	b := &s.brittle
	if !s.isBrittle(w.now) {
		b.since = w.now
		w.holdPermits(s)
		w.emit(BrittleChanged{Service: s.name, Brittle: true, PerSecond: max(perSecond, 0)})
	}
	b.perSecond, b.statedAt = max(perSecond, 0), w.now
}

// OwnBrittle returns the services whose servers have stated to this instance a moment ago that they are brittle,
// with the number of rejections a second that these survive.
//
// Load: hundreds of instances that each send a service few requests. Harm prevented: those that have not heard
// the statement send as they always do in a burst, and all together bring the servers down.
func (w *World) OwnBrittle() map[string]float64 {
	out := map[string]float64{}
	for name, s := range w.services {
		if b := &s.brittle; !b.ownStatedAt.IsZero() && w.now.Sub(b.ownStatedAt) < brittleReportPeriod {
			out[name] = b.perSecond
		}
	}
	return out
}

// applyPeerBrittle applies what servers stated to peers.
func (w *World) applyPeerBrittle(perSecond map[string]float64) {
	for name, n := range perSecond {
		if s := w.services[name]; s != nil && w.now.Sub(s.brittle.endedAt) >= brittleEndHold {
			w.beginBrittle(s, n)
		}
	}
}

// rejectedBackoff is how long the server is not chosen after it rejected a request.
func (s *server) rejectedBackoff(now time.Time) time.Duration {
	if s.service.isBrittle(now) {
		return brittleRejectedBackoff
	}
	return rejectedBackoff
}

// allowBrittle reports whether a request has room at the server for certain, if the server is brittle.
func (w *World) allowBrittle(v serverView) bool {
	s := v.server
	if !s.service.isBrittle(w.now) {
		return true
	}
	return w.hasPermit(s) || w.peersHavePermits(s)
}

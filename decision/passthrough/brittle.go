package passthrough

import (
	"cmp"
	"time"
)

// The servers of a service may state that they are brittle: one that has to reject more than a stated number
// of requests in a second, from all instances together, for want of room, fails. So while they are, a request
// is sent only if it has room for certain. At plain services, each slot of each server belongs to one instance
// (permits.go). At engines, whose load the instances report to each other, some slots are kept free.

const (
	// brittleTTL is for how long a statement holds that no other response repeats.
	brittleTTL = 10 * time.Second
	// brittleRejectedBackoff is how long a brittle server is not chosen after it rejected a request: longer
	// than the second in which its rejections are counted.
	brittleRejectedBackoff = 1200 * time.Millisecond
	// brittleUtilization is the fraction of an engine's slots that is used: the instances' reports are some
	// tenths of a second old.
	brittleUtilization = 0.85
)

// brittle is what a service's servers state about the rejections that they survive.
type brittle struct {
	// perSecond is the number of rejections in a second, statedAt when it was last stated; zero for never.
	perSecond float64
	statedAt  time.Time
}

// isBrittle reports whether the service's servers are brittle.
func (s *service) isBrittle(now time.Time) bool {
	return !s.brittle.statedAt.IsZero() && now.Sub(s.brittle.statedAt) < brittleTTL
}

// observeBrittle applies what a response of the server states. Responses overtake each other: one without a
// statement ends it only if its request was sent after the statement.
func (w *World) observeBrittle(s *server, e ServerStated) {
	svc := s.service
	was := svc.isBrittle(w.now)
	switch {
	case e.Brittle:
		svc.brittle = brittle{perSecond: max(e.BrittlePerSecond, 0), statedAt: w.now}
	case !was || e.Sent.Before(svc.brittle.statedAt):
		return
	default:
		svc.brittle = brittle{}
		w.markFreed(svc)
	}
	if was != svc.isBrittle(w.now) {
		w.emit(BrittleChanged{Service: svc.name, Brittle: !was, PerSecond: svc.brittle.perSecond})
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
	switch {
	case !s.service.isBrittle(w.now):
		return true
	case s.service.engine:
		return max(v.known, v.load) < brittleUtilization*float64(cmp.Or(s.service.slots, s.Slots))
	}
	return w.hasPermit(s) || w.peersHavePermits(s)
}

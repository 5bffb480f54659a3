package passthrough

import (
	"slices"
	"time"
)

// A server that has just started takes little, and may crash when it gets more. It takes that from
// all instances together, so a subset of them sends to it, each a fixed part.
//
// Weighed and left: a part of the rate for each instance, which 58 instances exceed by one request
// each; a lease on each server in the store, whose answer comes too late in an outage.

const (
	// slowStartSubset is how many instances send to a server in slow start: with one alone it
	// would get nothing while that one is down.
	slowStartSubset = 3
	// subsetViews is how many subsets there may be at once, as instances that start or leave are
	// not known everywhere at the same moment.
	maxSubsetViews = 2
	// slowStartWindow is the time in which an instance sends its part: a second, and some more
	// for ways of unlike length.
	slowStartWindow = 1200 * time.Millisecond
	// startDelay is how long after the start of a server its entry may come in: it is written
	// late, read by one instance, and read from that by the others.
	restartReportDelay = 2 * time.Second
	// domainLostAfter is how many servers of a failure domain must be lost, with no answer from
	// any other there, for all of it to be taken for lost.
	domainLostThreshold = 3
)

// slowStartQuota is how many instances send to a server in slow start, and how many requests each
// of them may send a second. The server takes rate a second, and bears most in one.
func slowStartQuota(rate, maxPerSecond float64) (subset, quota int) {
	total := max(int(min(rate, maxPerSecond/maxSubsetViews)), 1)
	subset = min(total, slowStartSubset)
	return subset, total / subset
}

// slowStartLimits are those of a service's servers.
type slowStartLimits struct {
	// span is how long a server is in slow start; 0 where it needs none.
	span   time.Duration
	subset int
	// quota is how many requests an instance of the subset may send in a window.
	quota int
}

// setSlowStart takes over the limits that a configuration gives.
func (w *World) configureSlowStart(s *service, c Service) {
	s.slowStart.span = c.SlowStartDuration
	s.slowStart.subset, s.slowStart.quota = slowStartQuota(c.SlowStartRate, w.cfg.SlowStartBurst*c.SlowStartRate+w.cfg.SlowStartSlack)
}

// slowStart is what is known of a server's start.
type slowStart struct {
	// until is when the server takes its full load, at the latest.
	until time.Time
	// recent are the times of this instance's last requests to it.
	recentSends []time.Time
	// inSubset says that this instance may send to it, as of the neighbours numbered subsetAsOf.
	inSubset      bool
	subsetVersion int
}

// inSlowStart says whether the server may still be starting.
func (s *server) inSlowStart(now time.Time) bool {
	return s.service.slowStart.span > 0 && now.Before(s.slowStart.until)
}

// beginSlowStart puts the server in slow start, for so long at least. It says whether it was not.
func (s *server) beginSlowStart(span time.Duration, now time.Time) bool {
	was := s.inSlowStart(now)
	if until := now.Add(span); until.After(s.slowStart.until) {
		s.slowStart.until = until
	}
	return s.inSlowStart(now) && !was
}

// assumedStart is how long a server is in slow start that may start at any moment from now on:
// until its entry would have told, and then would be over again.
func (s *server) assumedSlowStart() time.Duration {
	return s.service.slowStart.span + restartReportDelay
}

// allowSlowStart says whether this instance may send to the server as far as its start goes. One
// that has had its part may get more at a later time, which is noted.
//
// Load: a failure domain whose servers come back together, under a burst, before hundreds of
// instances to which they all look idle. Harm prevented: cold servers that crash again.
func (w *World) allowSlowStart(s *server) bool {
	if !s.inSlowStart(w.now) {
		return true
	}
	if !w.inSlowStartSubset(s) {
		return false
	}
	since := w.now.Add(-slowStartWindow)
	s.slowStart.recentSends = slices.DeleteFunc(s.slowStart.recentSends, func(at time.Time) bool { return !at.After(since) })
	if len(s.slowStart.recentSends) < s.service.slowStart.quota {
		return true
	}
	s.service.wakeBy(s.slowStart.recentSends[0].Add(slowStartWindow))
	return false
}

// recordSlowStart counts a request that is sent to the server.
func (w *World) recordSlowStart(s *server) {
	if s.inSlowStart(w.now) {
		s.slowStart.recentSends = append(s.slowStart.recentSends, w.now)
	}
}

// inSlowStartSubset says whether this instance is one of those that send to the server.
func (w *World) inSlowStartSubset(s *server) bool {
	if s.slowStart.subsetVersion != w.neighbours.version {
		s.slowStart.subsetVersion = w.neighbours.version
		s.slowStart.inSubset = w.inSubset(s.Domain, s.hash, s.service.slowStart.subset)
	}
	return s.slowStart.inSubset
}

// slowStartEnds is when the first of the service's servers in slow start takes its full load; the
// zero time where none is that may get requests then.
func (w *World) slowStartEnds(s *service) time.Time {
	var first time.Time
	for _, srv := range s.servers {
		if at := srv.slowStart.until; srv.usable(w.now) && srv.inSlowStart(w.now) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// wakeBy has what waits for the service tried again at the time, if not sooner.
func (s *service) wakeBy(at time.Time) {
	if s.wakeAt.IsZero() || at.Before(s.wakeAt) {
		s.wakeAt = at
	}
}

// wakeWaiting tries again what waits for servers that may get more by now.
func (w *World) wakeWaiting() {
	for _, s := range w.services {
		if at := s.wakeAt; !at.IsZero() && !w.now.Before(at) {
			s.wakeAt = time.Time{}
			w.markFreed(s)
		}
	}
}

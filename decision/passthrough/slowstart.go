package passthrough

import (
	"slices"
	"time"
)

// A server that has just started can take few requests, and may crash if it gets more. That limit
// holds for all instances together, so its holder gives grants for that many (grants.go).
//
// A part of the rate for each instance would not do, as 58 instances exceed the limit with a single
// request each; nor would a lease on each server in the store, which responds too late in an outage.

const (
	// maxHolderViews is how many instances may take themselves for a server's holder at once, as not all
	// instances learn of started or stopped instances at the same moment.
	maxHolderViews = 2
	// slowStartWindow is the time in which the holder may give the quota of grants: a second, plus a
	// margin for the different delays of the instances that use them.
	slowStartWindow = 1100 * time.Millisecond
	// restartReportDelay is how long after a server's start its entry may arrive: it is written
	// late, read by one instance, and passed on from there.
	restartReportDelay = 2 * time.Second
	// domainLostThreshold is how many servers of a failure domain must be lost, without a response
	// from any server there meanwhile, for the whole domain to be considered lost.
	domainLostThreshold = 3
)

// slowStartQuota returns how many requests may be sent to a server in slow start per slowStartWindow.
// The server takes rate requests per second, and survives at most maxPerSecond in a single second.
func slowStartQuota(rate, maxPerSecond float64) int {
	return max(int(min(rate, maxPerSecond/maxHolderViews)), 1)
}

// slowStartLimits are the slow-start limits for a service's servers.
type slowStartLimits struct {
	// span is how long a server is in slow start; 0 if the service needs none.
	span time.Duration
	// quota is how many requests may be sent to a server per slowStartWindow.
	quota int
}

// configureSlowStart applies the limits of a configuration.
func (w *World) configureSlowStart(s *service, c Service) {
	s.slowStart.span = c.SlowStartDuration
	s.slowStart.quota = slowStartQuota(c.SlowStartRate, w.cfg.SlowStartBurst*c.SlowStartRate+w.cfg.SlowStartSlack)
}

// slowStart is the slow-start state of a server.
type slowStart struct {
	// until is when the server takes its full load, at the latest.
	until time.Time
	// knownUntil is the same without what follows from a failure domain that seems to be lost.
	knownUntil time.Time
	// turns are the times of the latest grants that this instance has given, in ascending order; some may be ahead.
	turns []time.Time
}

// wait is the time until a turn at which no more than quota turns, one at least, are in any slowStartWindow.
//
// Load: a failure domain whose servers come back together during a burst, and look idle to
// hundreds of instances. Harm prevented: instances that crash the starting servers again.
func (s *slowStart) wait(now time.Time, quota int) time.Duration {
	quota = max(quota, 1) // the configuration may not have been read yet
	since := now.Add(-slowStartWindow)
	s.turns = slices.DeleteFunc(s.turns, func(at time.Time) bool { return !at.After(since) })
	if len(s.turns) < quota {
		return 0
	}
	return max(s.turns[len(s.turns)-quota].Add(slowStartWindow).Sub(now), 0)
}

// recordTurn counts a grant for the time.
func (s *slowStart) recordTurn(at time.Time) {
	s.turns = append(s.turns, at)
	slices.SortFunc(s.turns, time.Time.Compare)
}

// inSlowStart reports whether the server may still be starting.
func (s *server) inSlowStart(now time.Time) bool {
	return s.service.slowStart.span > 0 && now.Before(s.slowStart.until)
}

// beginSlowStart puts the server in slow start for at least span. It returns true if the server
// was not in slow start before.
func (s *server) beginSlowStart(span time.Duration, now time.Time) bool {
	was := s.inSlowStart(now)
	until := now.Add(span)
	s.slowStart.until, s.slowStart.knownUntil = later(s.slowStart.until, until), later(s.slowStart.knownUntil, until)
	return s.inSlowStart(now) && !was
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// presumeSlowStart does the same because the server's failure domain seems to be lost.
func (s *server) presumeSlowStart(span time.Duration, now time.Time) bool {
	known := s.slowStart.knownUntil
	begun := s.beginSlowStart(span, now)
	s.slowStart.knownUntil = known
	return begun
}

// withdrawPresumed ends a slow start that followed from a lost failure domain only.
func (s *slowStart) withdrawPresumed() {
	if s.knownUntil.Before(s.until) {
		s.until = s.knownUntil
	}
}

// assumedSlowStart is the length of the slow start of a server that may restart at any moment from
// now on: until the entry of its new process must have arrived, and a full slow start after that.
func (s *server) assumedSlowStart() time.Duration {
	return s.service.slowStart.span + restartReportDelay
}

// wakeBy schedules another try of the service's queue for the given time, unless an earlier one is
// scheduled.
func (s *service) wakeBy(at time.Time) {
	if s.wakeAt.IsZero() || at.Before(s.wakeAt) {
		s.wakeAt = at
	}
}

// wakeDueServices marks the services whose wakeAt has passed, so that their queues are tried again.
func (w *World) wakeDueServices() {
	for _, s := range w.services {
		if at := s.wakeAt; !at.IsZero() && !w.now.Before(at) {
			s.wakeAt = time.Time{}
			w.markFreed(s)
		}
	}
}

package passthrough

import (
	"cmp"
	"slices"
	"time"
)

// A server that has just started takes little, and may crash when it gets more. It takes that from
// all instances together, and none of them knows what the others send. So few instances feed each
// cold server, chosen by a hash that is alike everywhere, and each of these has a fixed part.
//
// Weighed and left: a part of the rate for each instance, which 58 instances exceed by one request
// each; a lease on each server in the store, whose answer comes too late in an outage.

const (
	// feedersMost is how many instances feed a cold server: with one alone it would get nothing
	// while that one is down.
	feedersMost = 3
	// feedViews is how many sets of feeders there may be at once, as instances that start or
	// leave are not known everywhere at the same moment.
	feedViews = 2
	// feedWindow is the time in which a feeder sends its part: a second, and some more for ways
	// of unlike length.
	feedWindow = 1200 * time.Millisecond
	// startDelay is how long after the start of a server its entry may come in: it is written
	// late, read by one instance, and read from that by the others.
	startDelay = 2 * time.Second
	// domainLostAfter is how many servers of a failure domain must be lost, with no answer from
	// any other there, for all of it to be taken for lost.
	domainLostAfter = 3
)

// feedQuota is how many instances feed a cold server, and how many requests a second each of them
// may send. The server takes rate a second, and bears most in one.
func feedQuota(rate, most float64) (feeders, each int) {
	total := max(int(min(rate, most/feedViews)), 1)
	feeders = min(total, feedersMost)
	return feeders, total / feeders
}

// warmUp is the limits of a service's cold servers.
type warmUp struct {
	// span is how long a server is cold; 0 where it makes no difference.
	span    time.Duration
	feeders int
	each    int
	// freeAt is when a cold server that had its part may get more, if requests wait for that.
	freeAt time.Time
}

// setWarmUp takes over the limits that a configuration gives.
func (w *World) setWarmUp(s *service, c Service) {
	s.warmUp.span = c.WarmUp
	s.warmUp.feeders, s.warmUp.each = feedQuota(c.WarmUpRate, w.cfg.WarmUpBurst*c.WarmUpRate+w.cfg.WarmUpSlack)
}

// coldness is what is known of a server's warm-up.
type coldness struct {
	// until is when the server is warm, at the latest.
	until time.Time
	// fed are the times of this instance's last requests to the cold server.
	fed []time.Time
	// feeds says that this instance feeds the server, as of the neighbours numbered feedsAsOf.
	feeds     bool
	feedsAsOf int
}

// isCold says whether the server may still be warming up.
func (s *server) isCold(now time.Time) bool {
	return s.service.warmUp.span > 0 && now.Before(s.cold.until)
}

// coolFor takes the server for cold, for so long at least. It says whether it was warm.
func (s *server) coolFor(span time.Duration, now time.Time) bool {
	was := s.isCold(now)
	if until := now.Add(span); until.After(s.cold.until) {
		s.cold.until = until
	}
	return s.isCold(now) && !was
}

// doubtSpan is how long a server is taken for cold that may start at any moment from now on: until
// its entry would have told, and then would be warm again.
func (s *server) doubtSpan() time.Duration { return s.service.warmUp.span + startDelay }

// mayFeed says whether this instance may send to the server as far as its warm-up goes. One that
// has had its part may get more at a later time, which is noted.
//
// Load: a failure domain whose servers come back together, under a burst, before hundreds of
// instances to which they all look idle. Harm prevented: cold servers that crash again.
func (w *World) mayFeed(s *server) bool {
	if !s.isCold(w.now) {
		return true
	}
	if !w.feeds(s) {
		return false
	}
	limits := &s.service.warmUp
	since := w.now.Add(-feedWindow)
	s.cold.fed = slices.DeleteFunc(s.cold.fed, func(at time.Time) bool { return !at.After(since) })
	if len(s.cold.fed) < limits.each {
		return true
	}
	if free := s.cold.fed[0].Add(feedWindow); limits.freeAt.IsZero() || free.Before(limits.freeAt) {
		limits.freeAt = free
	}
	return false
}

// noteFed counts a request that is sent to the server, if it is cold.
func (w *World) noteFed(s *server) {
	if s.isCold(w.now) {
		s.cold.fed = append(s.cold.fed, w.now)
	}
}

// freeFed lets requests that wait for cold servers have their turn once these may get more.
func (w *World) freeFed() {
	for _, s := range w.services {
		if at := s.warmUp.freeAt; !at.IsZero() && !w.now.Before(at) {
			s.warmUp.freeAt = time.Time{}
			w.free(s)
		}
	}
}

// neighbours are the instances of this one's failure domain, itself among them.
type neighbours struct {
	// names are hashes of their names, own that of this instance's.
	names []uint64
	own   uint64
	// version changes with the names.
	version int
}

func (w *World) setNeighbours(e Neighbours) {
	n := neighbours{own: hashText(e.Self), version: w.near.version + 1}
	for _, name := range e.Names {
		n.names = append(n.names, hashText(name))
	}
	w.near = n
}

// feeds says whether this instance is one of those that feed the server: the first few of the
// server's failure domain by a hash of both names. Who does not know its neighbours yet feeds
// none.
func (w *World) feeds(s *server) bool {
	if s.cold.feedsAsOf != w.near.version {
		s.cold.feedsAsOf = w.near.version
		s.cold.feeds = w.feederHome(s) == w.cfg.Zone && w.near.rank(s.hash) < s.service.warmUp.feeders
	}
	return s.cold.feeds
}

// feederHome is the failure domain whose instances feed the server: its own, or one by the hash
// where no instances run in that.
func (w *World) feederHome(s *server) string {
	if len(w.cfg.Domains) == 0 || slices.Contains(w.cfg.Domains, s.Zone) {
		return s.Zone
	}
	return slices.MaxFunc(w.cfg.Domains, func(a, b string) int {
		return cmp.Compare(mix(hashText(a)^s.hash), mix(hashText(b)^s.hash))
	})
}

// rank is this instance's place among its neighbours for a server, 0 first.
func (n *neighbours) rank(server uint64) int {
	own, before := mix(n.own^server), 0
	for _, name := range n.names {
		if mix(name^server) > own {
			before++
		}
	}
	return before
}

// warmAt is when the first of the service's cold servers is warm; the zero time where none is
// cold that may get requests then.
func (w *World) warmAt(s *service) time.Time {
	var first time.Time
	for _, srv := range s.servers {
		if at := srv.cold.until; srv.usable(w.now) && srv.isCold(w.now) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

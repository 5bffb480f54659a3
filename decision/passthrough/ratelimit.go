package passthrough

import (
	"math"
	"time"
)

// A server in need states how many requests a second it takes from all instances together. A subset
// of them sends to it, each a fixed part of that, by a token bucket; the others send none. What one
// instance learns of a limit, the others are told with their load reports.

const (
	// limitPart is the part of a limit that is used: the instances may not agree for a moment on
	// the subset, and requests that were sent apart may arrive together.
	limitUtilization = 0.7
	// limitSubsetLeast is how many instances send to a limited server at least: with one alone it
	// would get nothing while that one is down.
	minLimitSubset = 2
	// limitPerInstance is how much of a limit, in requests a second, there is in the subset for
	// each instance, so that few requests of a small limit are sent at the same moment.
	limitPerInstance = 2.0
	// limitForAll is by how much a limit in requests a second may be below the number of instances
	// for all of them to send to the server.
	limitAllMargin = 2.0
	// limitBurst is how long an instance's part of a limit may add up, and limitBurstLeast how
	// many requests that are at least.
	limitBurstDuration = 500 * time.Millisecond
	minLimitBurst      = 1.0
	// limitLeast is how many requests a second go to a server that takes fewer or none: only its
	// answers tell that it takes more again.
	limitProbeRate = 0.05
	// limitSilence is how long nobody may have heard of a limit for another subset to take over,
	// beside the time in which each instance of the present one should have sent limitSilenceSends
	// requests: all of these may be gone.
	limitStaleAfter = 10 * time.Second
	limitStaleSends = 2
	// limitUnheard is how long nobody may have heard of a limit for the next request to go to its
	// server, whatever else speaks against that.
	limitProbeAfter = 5 * time.Second
	// limitTold is how long after a server's answer the other instances are told of its limit, or
	// of its end.
	limitReportPeriod = 30 * time.Second
)

// serverLimit is a server's rate limit as this instance knows it.
type serverLimit struct {
	RateLimit
	// statedAt is when the newest answer that states it came in, at this instance if own, or at
	// another one.
	statedAt time.Time
	own      bool
	// share is this instance's part in requests a second, as of shareAsOf.
	share       float64
	shareInputs limitShareInputs
	bucket      tokenBucket
}

// limitView is what an instance's part of a limit depends on.
type limitShareInputs struct {
	perSecond  float64
	neighbours int
	fleetSize  int
	rotation   uint64
}

// noteLimit takes in what a server's answer to a request sent at the time states. Answers
// overtake each other: one without a limit ends it only if its request was sent after the limit
// was stated.
func (w *World) observeLimit(s *server, sent time.Time, stated RateLimit) {
	if s == nil || !stated.Limited && (!s.limit.Limited || sent.Before(s.limit.statedAt)) {
		return
	}
	w.setLimit(s, stated, w.now, true)
}

// applyPeerLimits takes in what other instances were told. The newest answer counts, whoever got it.
func (w *World) applyPeerLimits(limits []PeerLimit) {
	for _, l := range limits {
		s := w.serversByKey[l.Key]
		at := w.now.Add(-l.Age)
		if s != nil && l.Age <= limitReportPeriod && at.After(s.limit.statedAt) {
			w.setLimit(s, l.Limit, at, false)
		}
	}
}

// setLimit sets a server's limit. A limit that begins finds an empty bucket, as requests of before
// are still on their way.
func (w *World) setLimit(s *server, stated RateLimit, at time.Time, own bool) {
	changed := stated != s.limit.RateLimit
	s.limit.RateLimit, s.limit.statedAt, s.limit.own = stated, at, own
	w.limitedServers[s] = true
	if !changed {
		return
	}
	if stated.Limited {
		w.limitShare(s) // the bucket fills from now on
	} else {
		s.limit.share, s.limit.shareInputs, s.limit.bucket = 0, limitShareInputs{}, tokenBucket{}
		w.markFreed(s.service)
	}
	w.emit(RateLimitChanged{Server: s.ID, Limit: stated, Own: own, Age: w.now.Sub(at)})
}

// OwnLimits are the limits that this instance was told by servers' answers lately, and those that
// have ended.
func (w *World) OwnLimits() []PeerLimit {
	var out []PeerLimit
	for s := range w.limitedServers {
		age := w.now.Sub(s.limit.statedAt)
		switch {
		case s.gone, age > limitReportPeriod && !s.limit.Limited:
			delete(w.limitedServers, s)
		case s.limit.own && age <= limitReportPeriod:
			out = append(out, PeerLimit{Key: s.peerKey(), Limit: s.limit.RateLimit, Age: age})
		}
	}
	return out
}

// limitSubset is how many instances send to a server with the limit.
func limitSubset(perSecond float64) int {
	return max(int(perSecond/limitPerInstance)+1, minLimitSubset)
}

// usedLimit is how many requests a second all instances send to a server with the limit.
func usedLimit(perSecond float64) float64 { return limitUtilization * max(perSecond, limitProbeRate) }

// limitTurn counts the subsets that have passed since anyone heard of the server's limit.
func (s *server) limitRotation(now time.Time) uint64 {
	perInstance := usedLimit(s.limit.PerSecond) / float64(limitSubset(s.limit.PerSecond))
	period := limitStaleAfter + seconds(limitStaleSends/perInstance)
	return uint64(max(now.Sub(s.limit.statedAt), 0) / period)
}

// limitShare is this instance's part of a server's limit, in requests a second.
func (w *World) limitShare(s *server) float64 {
	inputs := limitShareInputs{s.limit.PerSecond, w.neighbours.version, w.fleetSize, s.limitRotation(w.now)}
	if inputs != s.limit.shareInputs {
		s.limit.shareInputs = inputs
		s.limit.share = w.computeLimitShare(s, inputs.rotation)
		s.limit.bucket.setRate(s.limit.share, w.now)
	}
	return s.limit.share
}

func (w *World) computeLimitShare(s *server, rotation uint64) float64 {
	used := usedLimit(s.limit.PerSecond)
	if w.fleetSize > 0 && float64(w.fleetSize) <= s.limit.PerSecond+limitAllMargin {
		return used / float64(w.fleetSize)
	}
	domain, key := s.Domain, s.hash
	if rotation > 0 {
		domain, key = "", mix(s.hash+rotation) // any failure domain: all instances of its own may be gone
	}
	size := limitSubset(s.limit.PerSecond)
	if !w.inSubset(domain, key, size) {
		return 0
	}
	return used / float64(min(size, max(len(w.neighbours.hashes), 1)))
}

// allowLimit says whether this instance may send to the server as far as its rate limit goes. One
// that has had its part may send more at a later time, which is noted.
//
// Load: a server in need that takes a fifth of its usual requests, before hundreds of instances
// each of which sends it few. Harm prevented: instances that all keep to the limit and exceed it
// together, so that the server does not recover.
func (w *World) allowLimit(s *server) bool {
	if !s.limit.Limited {
		return true
	}
	if w.limitShare(s) <= 0 {
		return false
	}
	at, ok := s.limit.bucket.nextToken(w.now)
	if !ok {
		s.service.wakeBy(at)
	}
	return ok
}

// recordLimit counts a request that is sent to the server.
func (w *World) recordLimit(s *server) {
	if s.limit.Limited {
		s.limit.bucket.take()
	}
}

// unheard finds a server whose limit nobody has heard of for a while.
//
// Load: many servers, so that the few instances that may send to one of them hardly ever choose it.
// Harm prevented: a server that takes everything again and gets nothing for a minute.
func (w *World) pickStaleLimited(list []serverView) (v serverView, ok bool) {
	if len(w.limitedServers) == 0 {
		return serverView{}, false
	}
	for _, v := range list {
		if l := &v.server.limit; l.Limited && w.now.Sub(l.statedAt) > limitProbeAfter {
			return v, true
		}
	}
	return serverView{}, false
}

// limitsHoldBack says whether the limits of a version's servers let none of them take a request
// of this instance now.
func (w *World) limitsBlockVersion(s *service, version string) bool {
	limited := false
	for _, srv := range s.servers {
		if srv.Version != version || !srv.usable(w.now) {
			continue
		}
		if w.allowLimit(srv) {
			return false
		}
		limited = true
	}
	return limited
}

// never is a wait that does not end.
const never = time.Duration(math.MaxInt64)

// limitWait is how long the request waits for its turn where all servers that may take it are
// limited; ok is false where one is not.
func (w *World) limitWait(r *request) (wait time.Duration, ok bool) {
	if len(w.limitedServers) == 0 {
		return 0, false
	}
	fits := w.versionFilter(r)
	rate, tokens := 0.0, 0.0
	for _, s := range r.service.servers {
		if !s.usable(w.now) || !fits(s) {
			continue
		}
		if !s.limit.Limited {
			return 0, false
		}
		rate += w.limitShare(s)
		tokens += s.limit.bucket.available(w.now)
	}
	if rate <= 0 {
		return never, true
	}
	missing := float64(r.service.queue.ahead(r)+1) - tokens
	return max(seconds(missing/rate), 0), true
}

// tokenBucket lets a rate of requests through, and a few more after a pause.
type tokenBucket struct {
	// rate is in tokens a second.
	rate   float64
	tokens float64
	at     time.Time
}

// setRate changes the rate; a bucket that had none is empty.
func (b *tokenBucket) setRate(rate float64, now time.Time) {
	b.tokens = b.available(now)
	b.rate, b.at = rate, now
}

// level is the number of tokens now.
func (b *tokenBucket) available(now time.Time) float64 {
	if b.rate <= 0 {
		return 0
	}
	capacity := max(b.rate*limitBurstDuration.Seconds(), minLimitBurst)
	return min(b.tokens+b.rate*now.Sub(b.at).Seconds(), capacity)
}

// next refills the bucket, and says whether a token is in it, or when there will be one.
func (b *tokenBucket) nextToken(now time.Time) (at time.Time, ok bool) {
	const rounding = 1e-9
	b.tokens, b.at = b.available(now), now
	if b.tokens >= 1-rounding {
		return now, true
	}
	return now.Add(seconds((1 - b.tokens) / b.rate)), false
}

// take takes a token, which next has found.
func (b *tokenBucket) take() { b.tokens-- }

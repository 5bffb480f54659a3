package passthrough

import "time"

// An overloaded server states how many requests per second it accepts from all instances together. Its holder keeps that
// limit with a token bucket (grants.go). An instance to which a server states a limit reports it to the others.

const (
	// limitUtilization is the fraction of a limit that is used: for a moment two instances may both
	// take themselves for the holder, and requests that were sent apart may arrive together.
	limitUtilization = 0.75
	// limitBurstDuration is how long tokens accumulate; minLimitBurst is the least size of the bucket
	// in requests.
	limitBurstDuration = 250 * time.Millisecond
	minLimitBurst      = 1.0
	// limitProbeRate is used as the limit, in requests per second, of a server whose limit is lower
	// or zero: only a response can show that the limit has risen.
	limitProbeRate = 0.05
	// limitStaleAfter is the time without a statement of a limit to any instance after which other
	// holders take over, as the current ones may all be gone. The time of limitStaleSends grants is
	// added.
	limitStaleAfter = 10 * time.Second
	limitStaleSends = 2
	// limitProbeAfter is the time without a statement of a limit after which the next request goes
	// to its server, in preference to all others.
	limitProbeAfter = 5 * time.Second
	// limitReportPeriod is for how long after a server's response the limit that it states, or the end
	// of the limit, is reported to the other instances.
	limitReportPeriod = 30 * time.Second
)

// serverLimit is a server's rate limit as known to this instance.
type serverLimit struct {
	RateLimit
	// statedAt is when the latest response that states the limit, or its end, arrived. own is true
	// if it arrived at this instance.
	statedAt time.Time
	own      bool
	bucket   tokenBucket
}

// observeLimit applies the limit stated in a response; sent is when its request was sent.
// Responses overtake each other: one without a limit ends the limit only if its request was sent
// after the limit was stated.
func (w *World) observeLimit(s *server, sent time.Time, stated RateLimit) {
	if s == nil || !stated.Limited && (!s.limit.Limited || sent.Before(s.limit.statedAt)) {
		return
	}
	w.setLimit(s, stated, w.now, true)
}

// applyPeerLimits applies the limits that servers stated to peers. The latest response counts,
// whichever instance got it.
func (w *World) applyPeerLimits(limits []PeerLimit) {
	for _, l := range limits {
		s := w.serversByKey[l.Key]
		at := w.now.Add(-l.Age)
		if s != nil && l.Age <= limitReportPeriod && at.After(s.limit.statedAt) {
			w.setLimit(s, l.Limit, at, false)
		}
	}
}

// setLimit sets a server's limit. The bucket of a new limit is empty, as earlier requests are still
// in flight.
func (w *World) setLimit(s *server, stated RateLimit, at time.Time, own bool) {
	changed := stated != s.limit.RateLimit
	s.limit.RateLimit, s.limit.statedAt, s.limit.own = stated, at, own
	w.limitedServers[s] = true
	if !changed {
		return
	}
	if stated.Limited {
		s.limit.bucket.setRate(usedLimit(stated.PerSecond), w.now)
	} else {
		s.limit.bucket = tokenBucket{}
		w.markFreed(s.service)
	}
	w.emit(RateLimitChanged{Server: s.ID, Limit: stated, Own: own, Age: w.now.Sub(at)})
}

// OwnLimits returns the limits, and the ends of limits, that servers recently stated to this
// instance.
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

// usedLimit is how many requests per second all instances together may send to a server with the
// limit.
func usedLimit(perSecond float64) float64 { return limitUtilization * max(perSecond, limitProbeRate) }

// limitRotation counts how often the holders have been replaced since the server last stated its
// limit to any instance.
func (s *server) limitRotation(now time.Time) uint64 {
	if !s.limit.Limited {
		return 0
	}
	period := limitStaleAfter + seconds(limitStaleSends/usedLimit(s.limit.PerSecond))
	return uint64(max(now.Sub(s.limit.statedAt), 0) / period)
}

// holderKey returns the failure domain and the key by which the holders of the server are chosen.
func (s *server) holderKey(rotation uint64) (domain string, key uint64) {
	if rotation > 0 {
		return "", mix(s.hash + rotation) // any failure domain: all instances of the server's own may be gone
	}
	return s.Domain, s.hash
}

// pickStaleLimited returns a server that has stated its limit to no instance for limitProbeAfter.
//
// Load: many servers, so that the few regular senders of a limited one hardly ever choose it. Harm prevented: a server that
// accepts everything again and gets nothing for a minute.
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

// limitsBlockVersion reports whether rate limits keep every server of a version from taking the request now.
func (w *World) limitsBlockVersion(r *request, version string) bool {
	limited := false
	for _, srv := range r.service.servers {
		if srv.Version != version || !srv.usable(w.now) {
			continue
		}
		if !srv.limit.Limited || w.allowRate(r, srv) {
			return false
		}
		limited = true
	}
	return limited
}

// tokenBucket lets a rate of requests through, and a short burst after a pause.
type tokenBucket struct {
	// rate is in tokens per second; tokens is their number at the time at.
	rate   float64
	tokens float64
	at     time.Time
}

// setRate changes the rate, from now on. A bucket that had no rate is empty.
func (b *tokenBucket) setRate(rate float64, now time.Time) {
	b.tokens = b.available(now)
	b.rate, b.at = rate, now
}

// available is the number of tokens at the given time.
func (b *tokenBucket) available(now time.Time) float64 {
	if b.rate <= 0 {
		return 0
	}
	capacity := max(b.rate*limitBurstDuration.Seconds(), minLimitBurst)
	return min(b.tokens+b.rate*now.Sub(b.at).Seconds(), capacity)
}

// wait is the time until the next token that nobody has taken in advance.
func (b *tokenBucket) wait(now time.Time) time.Duration {
	const rounding = 1e-9
	b.tokens, b.at = b.available(now), now
	if b.tokens >= 1-rounding || b.rate <= 0 {
		return 0
	}
	return seconds((1 - b.tokens) / b.rate)
}

// take removes a token, which may be one in advance.
func (b *tokenBucket) take() { b.tokens-- }

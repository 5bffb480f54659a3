package decision

import "masticplank.example/decision/internal/place"

// newPicker returns the picker with its filters and scorers. The prefix index also
// returns servers outside the pool's free set, but addCachedCandidates leaves them
// out already, so NotAvoided is the only filter here that still drops candidates.
func newPicker(cfg Config) place.Picker {
	return place.Picker{
		Filters: []place.Filter{
			place.NotLeaving{}, place.NotEjected{}, place.HasFreeSlot{}, place.HasVersion{}, place.NotAvoided{},
		},
		Scorers: []place.Scorer{
			place.LeastLoad{},
			place.PrefixAffinity{Weight: cfg.AffinityWeight, MaxLoad: cfg.AffinityMaxLoad},
			place.DomainAffinity{Weight: cfg.DomainWeight},
		},
	}
}

// drawCount is how many servers are drawn at random. Two give nearly the whole
// benefit of a full scan: with two draws, the longest queue of n servers grows with
// log log n, and with one draw with log n. With lagging reports, a full scan would
// send all instances to the same idle server.
const drawCount = 2

// pick returns a server with a free slot, or nil if none may take the request.
func (w *World) pick(p *pool, r *request) *server {
	switch w.cfg.Policy.Placement {
	case PlaceRoundRobin:
		return w.pickRoundRobin(p, r)
	case PlaceLeastOutstanding:
		return w.pickLeastOutstanding(p, r)
	}
	w.candidates = w.candidates[:0]
	w.candidateServers = w.candidateServers[:0]
	for range drawCount {
		w.addCandidate(w.drawFree(p, r), p, r)
	}
	w.addCachedCandidates(p, r)
	best := w.picker.Pick(w.candidates)
	if best != place.None {
		return w.candidateServers[best]
	}
	return w.pickAvoided(p, r)
}

// addCandidate adds a server to the candidates if it is not among them yet, and
// returns its candidate; nil for no server.
func (w *World) addCandidate(s *server, p *pool, r *request) *place.Candidate {
	if s == nil {
		return nil
	}
	for i, other := range w.candidateServers {
		if other == s {
			return &w.candidates[i]
		}
	}
	w.candidateServers = append(w.candidateServers, s)
	w.candidates = append(w.candidates, place.Candidate{
		Running:       s.running,
		Slots:         s.capacity(),
		Load:          w.load(s),
		SameDomain:    s.Domain != "" && s.Domain == w.cfg.Domain,
		VersionLoaded: s.inPool(p),
		Leaving:       s.leaving || s.gone,
		Ejected:       !s.isFree, // also servers in backoff, as place.Candidate defines it
		Avoid:         w.avoids(r, s),
	})
	return &w.candidates[len(w.candidates)-1]
}

// maxDraws bounds the random draws in search of a server that the request does not
// avoid.
const maxDraws = 8

// drawFree draws a free server, if possible one that the request does not avoid.
func (w *World) drawFree(p *pool, r *request) *server {
	if len(p.free) == 0 {
		return nil
	}
	var s *server
	for range maxDraws {
		s = p.free[w.rng.IntN(len(p.free))].server
		if !w.avoids(r, s) {
			return s
		}
	}
	return s
}

// pickAvoided returns a free server although the request avoids it, as no other one
// is free: a retry there is better than none. A request that may have crashed a
// server gets none. One that is not idempotent, and so cannot be retried, gets no
// server that is ejected and only takes probes.
func (w *World) pickAvoided(p *pool, r *request) *server {
	if r.crashes > 0 {
		return nil
	}
	for range min(maxDraws, len(p.free)) {
		s := p.free[w.rng.IntN(len(p.free))].server
		if !s.ejected || r.Idempotent {
			return s
		}
	}
	return nil
}

// avoids reports whether the request should not go to the server: it failed there,
// or the server is ejected and only takes probes, and the request is not idempotent
// and so cannot be retried.
func (w *World) avoids(r *request, s *server) bool {
	if s.ejected && !r.Idempotent {
		return true
	}
	for _, tried := range r.tried {
		if tried == s {
			return true
		}
	}
	return false
}

// inPool reports whether the server is in the pool.
func (s *server) inPool(p *pool) bool {
	for i := range s.memberships {
		if s.memberships[i].pool == p {
			return true
		}
	}
	return false
}

// load is the server's load as a fraction of its capacity: this instance's own
// attempts, which are exact, plus those of the others by the last report, whose
// weight falls to 0 over Config.LoadReportTTL.
func (w *World) load(s *server) float64 {
	load := float64(s.running)
	if s.otherRequests > 0 {
		age := w.now.Sub(s.reportedAt)
		faded := 1 - float64(age)/float64(w.cfg.LoadReportTTL)
		load += float64(s.otherRequests) * max(faded, 0)
	}
	return load / float64(s.capacity())
}

// pickRoundRobin is the round robin baseline.
func (w *World) pickRoundRobin(p *pool, r *request) *server {
	for range len(p.free) {
		w.roundRobin++
		s := p.free[w.roundRobin%len(p.free)].server
		if !w.avoids(r, s) {
			return s
		}
	}
	return w.pickAvoided(p, r)
}

// pickLeastOutstanding is the least outstanding baseline: a scan of all free servers.
func (w *World) pickLeastOutstanding(p *pool, r *request) *server {
	var best *server
	for _, f := range p.free {
		if !w.avoids(r, f.server) && (best == nil || f.server.running < best.running) {
			best = f.server
		}
	}
	if best == nil {
		return w.pickAvoided(p, r)
	}
	return best
}

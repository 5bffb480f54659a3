package decision

// unsureMatch is the worth of a match that the server has not confirmed, or that
// stands behind a gap in its events.
const unconfirmedWeight = 0.7

// matchLimit is how many servers with a cached prefix join the two drawn ones.
const maxPrefixMatches = 2

// ingestCache takes a server's word on its prefix cache, late and with gaps.
func (w *World) ingestCache(e CacheChanged) {
	if w.servers[e.Server] == nil {
		return // it has left the list; its word would only fill the index
	}
	w.prefixes.ApplyCacheEvent(e.Server, e.Seq, e.Added, e.Removed, w.now)
}

// considerCached adds the free servers that have most of the prompt cached.
//
// Load: sessions and long common prompts. Harm prevented: the same prefix is
// computed on many servers while callers wait for their first token. What is
// saved counts as a part of the request's whole work, so that a long prompt with
// a short answer is drawn to its prefix more than the reverse; past a load bound
// the scorer lets it go.
func (w *World) addCachedCandidates(p *pool, r *request) {
	if len(r.Blocks) == 0 || w.cfg.Policy.NoAffinity {
		return
	}
	w.matches = w.prefixes.Match(r.Blocks, maxPrefixMatches, w.now, w.matches[:0])
	for _, m := range w.matches {
		s := w.servers[m.Server]
		if s == nil || !s.isFree || !s.inPool(p) {
			continue
		}
		saved := float64(m.Blocks) / float64(len(r.Blocks)) * w.promptCost(r) / r.item.Cost
		if !m.Confirmed {
			saved *= unconfirmedWeight
		}
		w.addCandidate(s, p, r).CacheSavings = saved
	}
}

// noteCached remembers that the server will have the prompt's prefix.
func (w *World) recordPrefix(r *request, s *server) {
	if len(r.Blocks) > 0 && !w.cfg.Policy.NoAffinity {
		w.prefixes.RecordDispatch(s.ID, r.Blocks, w.now)
	}
}

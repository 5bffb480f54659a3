package decision

// unconfirmedWeight discounts a match that the server has not confirmed, or that
// is uncertain because of a gap in its cache events.
const unconfirmedWeight = 0.7

// maxPrefixMatches is how many servers with a cached prefix are added to the
// randomly drawn candidates.
const maxPrefixMatches = 2

// ingestCache applies a server's report of its prefix cache. Reports are late and
// may have gaps.
func (w *World) ingestCache(e CacheChanged) {
	if w.servers[e.Server] == nil {
		return // no longer listed: its report would only fill the index
	}
	w.prefixes.ApplyCacheEvent(e.Server, e.Seq, e.Added, e.Removed, w.now)
}

// addCachedCandidates adds the free servers that have most of the prompt cached.
//
// Load: sessions and long common prompts. Harm prevented: the same prefix is
// computed on many servers while callers wait for their first token. The saving
// counts as a fraction of the request's total cost, so that a cached prefix counts
// more for a long prompt with a short answer than for a short prompt with a long
// one; the scorer ignores it for servers above Config.AffinityMaxLoad.
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

// recordPrefix records that the server will have the prompt's prefix cached.
func (w *World) recordPrefix(r *request, s *server) {
	if len(r.Blocks) > 0 && !w.cfg.Policy.NoAffinity {
		w.prefixes.RecordDispatch(s.ID, r.Blocks, w.now)
	}
}

package passthrough

import "math"

// sampledServers is how many random servers are compared with those that the prefix hash selects. The instances learn
// of each other's requests late: if all compared all servers, they would send to the same one meanwhile.
const sampledServers = 4

// uncachedMargin is by how much, in requests, another server must be better than one that has the prefix: each server
// with a prefix more repeats its prefill, and the forecasts are no better than that.
const uncachedMargin = 1

// pickBySpeed chooses a server by the expected time to the request's first event, in which a cached prefix is not
// processed again.
//
// Load: prompts that take a fast server a second, and a slow one three, with shared prefixes. Harm prevented: callers
// who wait for a slow server, or for a long queue at the one that has their prefix, while others are idle.
func (w *World) pickBySpeed(r *request, list []serverView, occ occupancy) serverView {
	perToken := r.service.prefill.perToken(r.nextModel)
	unitTime := perToken * float64(r.PromptTokens)
	local := staysLocal(r, occ.prefillWait)
	best, bestWeight := w.pickCached(r, list, local, perToken, unitTime)
	bestWeight -= uncachedMargin
	for range min(sampledServers, len(list)) {
		i := w.rng.IntN(len(list))
		weight := w.weightWith(list[i], unitTime)
		if local && list[i].server.Domain != w.cfg.Domain {
			weight += uncachedMargin
		}
		if weight < bestWeight {
			best, bestWeight = i, weight
		}
	}
	return list[best]
}

// pickCached returns the better of two servers that the prefix hash selects, in this instance's failure domain if local
// is set.
func (w *World) pickCached(r *request, list []serverView, local bool, perToken, unitTime float64) (best int, bestWeight float64) {
	best, bestWeight = 0, math.Inf(1)
	if r.PrefixHash == 0 {
		return best, bestWeight
	}
	uncached := max(unitTime-perToken*float64(r.PrefixTokens), 0)
	count := r.service.hotPrefixes.add(w.now, r.PrefixHash, uncached, w.fleetSize)
	first := w.firstByHash(r, list, count, local)
	for _, i := range w.twoOf(&first) {
		if weight := w.weightWith(list[i], uncached); weight < bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best, bestWeight
}

// firstByHash returns the first servers in the order of the prefix hash: those of this instance's failure domain if
// local is set and there are any.
func (w *World) firstByHash(r *request, list []serverView, count int, local bool) firstServers {
	var all, own firstServers
	for i := range list {
		score := r.prefixScore(&list[i])
		if local && list[i].server.Domain == w.cfg.Domain {
			own.add(i, score, count)
		}
		all.add(i, score, count)
	}
	if own.len > 0 {
		return own
	}
	return all
}

// prefixScore is the score of a server for the request's prefix, the same at all instances. The servers are weighted
// (rendezvous hashing), so that each gets prefixes in proportion to its speed.
func (r *request) prefixScore(v *serverView) float64 {
	const bits = 53 // of a float64's mantissa
	hash := mix(v.server.hash ^ r.PrefixHash)
	uniform := (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
	return -1 / (math.Log(uniform) * v.factor)
}

// weightWith is the server's weight with a prompt that takes unitTime seconds at unit speed, less what a server of this
// instance's failure domain saves.
func (w *World) weightWith(v serverView, unitTime float64) float64 {
	weight := v.weight + unitTime*v.momentary/prefillSecondsPerRequest
	if v.server.Domain == w.cfg.Domain {
		weight -= localPreference
	}
	return weight
}

// twoOf returns two random ones of the servers, so that the instances do not all choose the same one.
func (w *World) twoOf(f *firstServers) [2]int {
	if f.len == 1 {
		return [2]int{f.index[0], f.index[0]}
	}
	a := w.rng.IntN(f.len)
	b := (a + 1 + w.rng.IntN(f.len-1)) % f.len
	return [2]int{f.index[a], f.index[b]}
}

package passthrough

import "math"

const (
	// boundFactor and boundSlack, in requests, bound how far a server may be above the mean
	// load and still be preferred for its cache. A batch that is a third larger makes each
	// token a few per cent slower; repeating the prefill of a prompt costs hundreds of
	// milliseconds.
	boundFactor = 1.35
	boundSlack  = 3
)

// prefillWaitSlack is how many seconds longer than the mean a prompt may wait at a server that
// is preferred for its cache: repeating the prefill of a shared prefix of 6,000 tokens takes
// the smallest model 20 ms, and the largest 200.
const prefillWaitSlack = 0.15

// pickServer chooses a server, if one has a free slot.
//
// Load: many requests that share long prefixes, at servers whose load is known late and to all
// instances alike. Harm prevented: prefill that is repeated everywhere, and all instances
// sending to the server that looked idle. A request goes to the server that its prefix hash
// selects, which is the same at all instances without coordination. If that server has more than its
// share of the load, the request goes to the next one by the hash (consistent hashing with bounded
// loads).
func (w *World) pickServer(r *request, views []serverView, occ occupancy) (v serverView, ok bool) {
	list := w.candidates(r, views)
	if len(list) == 0 {
		return serverView{}, false
	}
	if v, ok := w.pickStaleLimited(list); ok {
		return v, true
	}
	if r.service.statesSpeeds && r.service.engine {
		return w.pickBySpeed(r, list, occ), true
	}
	if r.PrefixHash != 0 {
		return w.pickByPrefix(r, list, occ), true
	}
	if v, ok := w.pickByRoom(list); ok {
		return v, true
	}
	return w.pickByLoad(list), true
}

// pickByPrefix prefers the server with the highest hash score among those within the load bound, in
// this instance's failure domain if staysLocal says so and a server there is within the bound. If no
// server is within the bound, it takes the least loaded.
func (w *World) pickByPrefix(r *request, list []serverView, occ occupancy) serverView {
	maxWeight, meanWait := loadBound(list), meanPrefillWait(list)
	keepLocal := staysLocal(r, occ.prefillWait)
	best, local, lightest := noIndex, noIndex, 0
	var bestScore, localScore uint64
	for i, v := range list {
		if v.weight < list[lightest].weight {
			lightest = i
		}
		if v.weight > maxWeight || v.wait > meanWait+prefillWaitSlack {
			continue
		}
		score := mix(v.server.hash ^ r.PrefixHash)
		if best == noIndex || score > bestScore {
			best, bestScore = i, score
		}
		if keepLocal && v.server.Domain == w.cfg.Domain && (local == noIndex || score > localScore) {
			local, localScore = i, score
		}
	}
	switch {
	case local != noIndex:
		return list[local]
	case best != noIndex:
		return list[best]
	}
	return list[lightest]
}

// noIndex stands for no server.
const noIndex = -1

// meanPrefillWait is the mean wait of prompts at the servers of the list, in seconds.
func meanPrefillWait(list []serverView) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v.wait
	}
	return sum / float64(len(list))
}

// loadBound is the weight up to which a server of the list may be preferred for its cache.
func loadBound(list []serverView) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v.weight
	}
	return boundFactor*sum/float64(len(list)) + boundSlack
}

const (
	// localPrefillWait is the mean wait of prompts, in seconds, up to which a prompt that is
	// entirely shared stays in its failure domain. A prompt of which a tenth is shared stays up to
	// ten times that wait, but never at a wait of maxLocalPrefillWait or more, as a failure domain
	// with more than its part of the load must pass some of it on.
	localPrefillWait    = 0.06
	maxLocalPrefillWait = 0.25
)

// maxRepeatedPrefill is how many seconds of prefill of a request's shared prefix may be
// repeated in each failure domain to save the traffic of the prompt between domains.
const maxRepeatedPrefill = 0.1

// staysLocal reports whether the request is kept in this instance's failure domain.
//
// Load: prompts of 18 kB, two thirds of which would go to another failure domain. Harm
// prevented: the cost of that traffic, a thirtieth of the value of their responses; and, if
// engines are behind with prefill, the prefill of each shared prefix repeated in every failure
// domain. In that case all requests of a prefix go to the server that the hash selects over
// all domains. That server has the prefix cached already, as the hash also selects it within its
// own domain. Prompts with long prefixes go there too if they are for a larger model, whose prefill
// is ten times as slow as the smallest's, however idle the engines are: an engine generates nothing
// for others meanwhile.
func staysLocal(r *request, wait float64) bool {
	repeatedPrefill := r.service.prefill.perToken(r.nextModel) * float64(r.PrefixTokens)
	if repeatedPrefill > maxRepeatedPrefill {
		return false
	}
	sharedFraction := 1.0
	if r.PromptTokens > 0 {
		sharedFraction = min(float64(r.PrefixTokens)/float64(r.PromptTokens), 1)
	}
	return sharedFraction*wait < localPrefillWait && wait < maxLocalPrefillWait
}

// localPreference is subtracted from the weight, in requests, of a server in this instance's
// failure domain, which saves 3 ms and traffic between failure domains.
const localPreference = 0.4

// pickByLoad takes the better of two random servers; if there are few it compares all.
func (w *World) pickByLoad(list []serverView) serverView {
	const fewServers = 8 // a scan costs no more than two draws
	draws := 2
	if len(list) <= fewServers {
		draws = len(list)
	}
	start := w.rng.IntN(len(list))
	var best serverView
	bestWeight := math.Inf(1)
	for i := range draws {
		v := list[(start+i)%len(list)]
		if draws < len(list) {
			v = list[w.rng.IntN(len(list))]
		}
		weight := v.weight
		if v.server.Domain == w.cfg.Domain {
			weight -= localPreference
		}
		if weight < bestWeight {
			best, bestWeight = v, weight
		}
	}
	return best
}

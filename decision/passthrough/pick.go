package passthrough

import "math"

const (
	// boundFactor and boundSlack are how far over the mean load a server may be and
	// still be preferred for what its cache holds. A batch that is a third larger costs
	// a few per cent of each token; a prompt read again costs hundreds of milliseconds.
	boundFactor = 1.35
	boundSlack  = 3
)

// waitSlack is how many seconds longer than the mean a prompt may wait at a server that is
// preferred for what its cache holds: a shared prompt of 6,000 tokens takes the smallest model
// 20 ms to read again, and the largest 200.
const prefillWaitSlack = 0.15

// pick chooses a server, if one has a free place.
//
// Load: many requests that share long prompts, on servers whose load is known late and by
// all instances alike. Harm prevented: prompts read again everywhere, and all instances
// sending to the one that looked idle. A request goes to the server that a hash of its
// shared prompt names, so that all instances agree without a word, and on to the next by
// the hash once that one has more than its part.
func (w *World) pickServer(r *request, views []serverView, occ occupancy) (v serverView, ok bool) {
	list := w.candidates(r, views)
	if len(list) == 0 {
		return serverView{}, false
	}
	if v, ok := w.pickStaleLimited(list); ok {
		return v, true
	}
	if r.PrefixHash != 0 {
		return w.pickByPrefix(r, list, occ), true
	}
	return w.pickByLoad(list), true
}

// pickByPrompt prefers the server that the hash names, in the own failure domain where
// there is time for that, among those within the bound; else it takes the least loaded.
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

// none is the index of no server.
const noIndex = -1

// meanWait is the mean wait of prompts at the servers of the list, in seconds.
func meanPrefillWait(list []serverView) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v.wait
	}
	return sum / float64(len(list))
}

// bound is the weight up to which a server of the list may be preferred for its cache.
func loadBound(list []serverView) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v.weight
	}
	return boundFactor*sum/float64(len(list)) + boundSlack
}

const (
	// nearWait is the mean wait of prompts, in seconds, up to which a prompt that is all
	// shared stays in its failure domain; one of which a tenth is shared may at ten times
	// that, but for nearMost: a failure domain with more than its part of the load must not
	// keep it then.
	localPrefillWait    = 0.06
	maxLocalPrefillWait = 0.25
)

// readAgainMost is how many seconds a server may spend on reading a request's shared prompt
// once more in each failure domain, for the prompt's bytes to stay in one.
const maxRepeatedPrefill = 0.1

// staysNear says whether the request is kept in the own failure domain.
//
// Load: prompts of 18 kB, two thirds of which went to another failure domain and cost a
// thirtieth of what their answers are worth. Harm prevented: those bytes; and, where engines
// are behind with reading, each shared prompt read once in every failure domain: then all go
// to the server that the hash names among all, which holds them already, as it is the one of
// its own failure domain too. So do long prompts that a larger model is to read, ten times as
// slowly as the smallest, however idle the engines are: what an engine generates for others
// stands still meanwhile.
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

// nearWeight is the part of a request by which a server in the own failure domain is
// preferred: it saves 3 ms and bytes between failure domains.
const localPreference = 0.4

// pickByLoad takes the better of two drawn servers; of few it looks at all.
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

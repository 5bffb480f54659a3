package passthrough

// assumedTokens is the assumed size of a request whose prompt and response are unknown: a few paragraphs.
const assumedTokens = 500

// generatedTokens is how many tokens the response is expected to have.
func (r *Request) generatedTokens() int {
	switch {
	case r.ExpectedTokens > 0 && r.MaxTokens > 0:
		return min(r.ExpectedTokens, r.MaxTokens)
	case r.ExpectedTokens > 0:
		return r.ExpectedTokens
	}
	return r.MaxTokens
}

// memoryTokens is how many tokens of an engine's memory the request takes: its prompt, and its response as far as expected.
func (r *Request) memoryTokens() int {
	if n := r.PromptTokens + r.generatedTokens(); n > 0 {
		return n
	}
	return assumedTokens
}

// countsTokens reports whether the memory of the service's engines is known and counted.
func (w *World) countsTokens(s *service) bool { return s.tokenCapacity > 0 && w.plansLarger(s) }

// exceedsMemory reports whether the request's prompt is larger than the memory of any engine.
//
// Load: prompts of any size. Harm prevented: a prompt that no engine can ever run, tried at one after the other.
func (w *World) exceedsMemory(r *request) bool {
	return w.countsTokens(r.service) && r.PromptTokens > r.service.tokenCapacity
}

// tokensAt is how many tokens of the server's memory the requests of all instances take, as far as known.
func (w *World) tokensAt(s *server) float64 {
	if w.peerLoadsFresh() {
		return float64(s.ownTokens) + s.peers.tokens
	}
	others := max(s.reportedOthers(), 0) * (1 - elapsedFraction(s.reportedAt, w.now, engineLoadTTL))
	return float64(s.ownTokens) + others*s.service.meanTokens.value
}

// preferRoom returns the servers of the list that have memory left for the request, or all if none has.
//
// Load: a dozen prompts of up to 54,600 tokens at an engine that holds 416,000. Harm prevented: an engine that runs out of
// memory preempts running requests and computes them again from their first token. A request that fits nowhere
// is sent all the same: each engine makes room as requests end, and nobody waits behind it.
func (w *World) preferRoom(r *request, list []serverView) []serverView {
	if !w.countsTokens(r.service) {
		return list
	}
	var fits []serverView
	for _, v := range list {
		if w.tokensAt(v.server)+float64(r.memoryTokens()) <= float64(r.service.tokenCapacity) {
			fits = append(fits, v)
		}
	}
	if len(fits) == 0 {
		return list
	}
	return fits
}

// takeTokens and releaseTokens count the request's tokens at its server.
func (r *request) takeTokens() {
	r.server.ownTokens += r.memoryTokens()
	r.service.meanTokens.add(float64(r.memoryTokens()))
}

func (r *request) releaseTokens() { r.server.ownTokens -= r.memoryTokens() }

package passthrough

// confidenceBuckets is the number of equal buckets of confidence, each of which has its own counts. A
// confidence of exactly 1 has a bucket besides these.
const confidenceBuckets = 20

// escalationStats counts, for a route, the responses of a middle model requested after the
// smallest one's was dropped, by the confidence of the dropped response: how many were
// requested, and how many the middle model was confident of.
type escalationStats struct {
	requested, confident [confidenceBuckets + 1]float64
}

const (
	// escalationMemory is the number of responses that a bucket looks back on.
	escalationMemory = 40
	// escalationPriorWeight is the weight of the prior, in responses.
	escalationPriorWeight = 6
	// minMiddleChance is the least chance of success for which the middle model is
	// requested: it costs half of the largest model's price and a quarter of its time, which
	// are lost if it fails.
	minMiddleChance = 0.6
	// priorAtThreshold is the prior chance that a middle model is confident if the smallest
	// one's confidence was just below minConfidence; priorSlope is how much the chance falls
	// per 1.0 of confidence below that.
	priorAtThreshold = 0.9
	priorSlope       = 2.5
)

func confidenceBucket(confidence float64) int {
	return min(max(int(confidence*confidenceBuckets), 0), confidenceBuckets)
}

// chance is the estimated probability that the middle model is confident of a request on which the
// smallest model had the given confidence.
func (e *escalationStats) chance(confidence float64) float64 {
	at := confidenceBucket(confidence)
	prior := min(max(priorAtThreshold-priorSlope*(minConfidence-confidence), 0), 1)
	return (e.confident[at] + escalationPriorWeight*prior) / (e.requested[at] + escalationPriorWeight)
}

func (e *escalationStats) learn(confidence float64, confident bool) {
	at := confidenceBucket(confidence)
	if e.requested[at] >= escalationMemory {
		e.requested[at] *= 1 - 1.0/escalationMemory
		e.confident[at] *= 1 - 1.0/escalationMemory
	}
	e.requested[at]++
	if confident {
		e.confident[at]++
	}
}

// chooseEscalation chooses the next model after a response was dropped.
//
// Load: requests that are only a little too hard for the smallest model, a fifth of those
// that it has low confidence in. Harm prevented: the largest model's price and ten times the
// smallest's prefill time, if a middle model does as well.
func (w *World) chooseEscalation(r *request, confidence float64) {
	last := len(r.Route.Models) - 1
	r.nextModel = last
	middle := r.model + 1
	if r.model != 0 || middle >= last || r.attempts+1 >= r.Route.MaxAttempts {
		return
	}
	if w.statsOf(r.Route.Name).escalation.chance(confidence) >= minMiddleChance {
		r.nextModel, r.droppedConfidence = middle, confidence
	}
}

// learnEscalation records, for a response of a middle model, whether the model was confident.
func (w *World) learnEscalation(r *request, confidence float64) {
	if r.nextModel > 0 && r.model == r.nextModel && r.model < len(r.Route.Models)-1 && confidence >= 0 {
		w.statsOf(r.Route.Name).escalation.learn(r.droppedConfidence, confidence >= minConfidence)
	}
}

package passthrough

// doubtParts is into how many parts confidences are cut, to learn what follows on them.
const confidenceBuckets = 20

// nextStats is what is learnt of a route's answers by a middle model, after the smallest one
// doubted its own: by the doubt, how many the middle one was sure of.
type escalationStats struct {
	asked, confident [confidenceBuckets + 1]float64
}

const (
	// nextMemory is the number of answers that a part looks back on.
	escalationMemory = 40
	// nextPrior is the weight of what is thought before anything was seen.
	escalationPriorWeight = 6
	// nextLeast is the chance from which on the middle model is asked: it costs half of the
	// largest one's price, and a quarter of its time, and is paid besides where it fails.
	minMiddleChance = 0.6
	// nearDoubt is the chance that a middle model is sure where the smallest one nearly was,
	// doubtSlope what that falls by for a whole of confidence less: until seen otherwise.
	priorAtThreshold = 0.9
	priorSlope       = 2.5
)

func confidenceBucket(confidence float64) int {
	return min(max(int(confidence*confidenceBuckets), 0), confidenceBuckets)
}

// chance is how likely the middle model is sure of an answer that the smallest one doubted.
func (n *escalationStats) chance(confidence float64) float64 {
	at := confidenceBucket(confidence)
	prior := min(max(priorAtThreshold-priorSlope*(minConfidence-confidence), 0), 1)
	return (n.confident[at] + escalationPriorWeight*prior) / (n.asked[at] + escalationPriorWeight)
}

func (n *escalationStats) learn(confidence float64, confident bool) {
	at := confidenceBucket(confidence)
	if n.asked[at] >= escalationMemory {
		n.asked[at] *= 1 - 1.0/escalationMemory
		n.confident[at] *= 1 - 1.0/escalationMemory
	}
	n.asked[at]++
	if confident {
		n.confident[at]++
	}
}

// doubted takes in that an answer was dropped, and says which model to ask next.
//
// Load: requests a little too hard for the smallest model, a fifth of those that it doubts.
// Harm prevented: the largest one's price and ten times the reading, where a middle one
// answers as well.
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

// noteNext learns from how sure a middle model was.
func (w *World) learnEscalation(r *request, confidence float64) {
	if r.nextModel > 0 && r.model == r.nextModel && r.model < len(r.Route.Models)-1 && confidence >= 0 {
		w.statsOf(r.Route.Name).escalation.learn(r.droppedConfidence, confidence >= minConfidence)
	}
}

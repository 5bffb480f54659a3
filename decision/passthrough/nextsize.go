package passthrough

// doubtParts is into how many parts confidences are cut, to learn what follows on them.
const doubtParts = 20

// nextStats is what is learnt of a route's answers by a middle model, after the smallest one
// doubted its own: by the doubt, how many the middle one was sure of.
type nextStats struct {
	asked, sure [doubtParts + 1]float64
}

const (
	// nextMemory is the number of answers that a part looks back on.
	nextMemory = 40
	// nextPrior is the weight of what is thought before anything was seen.
	nextPrior = 6
	// nextLeast is the chance from which on the middle model is asked: it costs half of the
	// largest one's price, and a quarter of its time, and is paid besides where it fails.
	nextLeast = 0.6
	// nearDoubt is the chance that a middle model is sure where the smallest one nearly was,
	// doubtSlope what that falls by for a whole of confidence less: until seen otherwise.
	nearDoubt  = 0.9
	doubtSlope = 2.5
)

func doubtPart(confidence float64) int {
	return min(max(int(confidence*doubtParts), 0), doubtParts)
}

// chance is how likely the middle model is sure of an answer that the smallest one doubted.
func (n *nextStats) chance(doubt float64) float64 {
	at := doubtPart(doubt)
	prior := min(max(nearDoubt-doubtSlope*(sureFrom-doubt), 0), 1)
	return (n.sure[at] + nextPrior*prior) / (n.asked[at] + nextPrior)
}

func (n *nextStats) learn(doubt float64, sure bool) {
	at := doubtPart(doubt)
	if n.asked[at] >= nextMemory {
		n.asked[at] *= 1 - 1.0/nextMemory
		n.sure[at] *= 1 - 1.0/nextMemory
	}
	n.asked[at]++
	if sure {
		n.sure[at]++
	}
}

// doubted takes in that an answer was dropped, and says which model to ask next.
//
// Load: requests a little too hard for the smallest model, a fifth of those that it doubts.
// Harm prevented: the largest one's price and ten times the reading, where a middle one
// answers as well.
func (w *World) doubted(r *request, confidence float64) {
	last := len(r.Route.Sizes) - 1
	r.next = last
	middle := r.size + 1
	if r.size != 0 || middle >= last || r.attempts+1 >= r.Route.MaxAttempts {
		return
	}
	if w.stats(r.Route.Name).next.chance(confidence) >= nextLeast {
		r.next, r.doubt = middle, confidence
	}
}

// noteNext learns from how sure a middle model was.
func (w *World) noteNext(r *request, confidence float64) {
	if r.next > 0 && r.size == r.next && r.size < len(r.Route.Sizes)-1 && confidence >= 0 {
		w.stats(r.Route.Name).next.learn(r.doubt, confidence >= sureFrom)
	}
}

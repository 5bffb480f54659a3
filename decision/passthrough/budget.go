package passthrough

import "time"

// budgetBuckets is into how many parts the budget's window is cut: a tenth is the error
// by which requests count for too long, and the ratio's margin pays for it.
const budgetBuckets = 10

// Budget bounds the arrivals at one service beyond the first of each request.
//
// Load: a service that fails under load, where each failure brings a repeat. Harm
// prevented: repeats that keep it down. The bound holds over all instances without a
// message, since each keeps it over its own requests and takes an equal part of the
// slack.
type Budget struct {
	ratio  float64
	slack  float64
	step   time.Duration
	at     int64
	first  [budgetBuckets]int
	repeat [budgetBuckets]int
}

// unknownFleet is how many instances are thought to share the slack until they are counted:
// more than the largest deployment is planned to have, 880.
const unknownFleet = 1000

// spareInstances is the part by which the fleet may be larger than counted.
const spareInstances = 0.15

// share takes this instance's part of the slack.
func (w *World) share(instances int) {
	w.fleet = instances
	for _, s := range w.services {
		s.budget.slack = w.slack()
	}
}

// slack is this instance's part of the retry budget's.
func (w *World) slack() float64 {
	count := float64(w.fleet) * (1 + spareInstances)
	if w.fleet == 0 {
		count = unknownFleet
	}
	return w.cfg.RetrySlack / count
}

// NewBudget returns a budget: in each window as many repeats as ratio times the
// requests, and slack more.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, step: max(window/budgetBuckets, time.Millisecond)}
}

// advance clears the parts of the window that have passed.
func (b *Budget) advance(now time.Time) {
	at := now.UnixNano() / int64(b.step)
	passed := min(at-b.at, budgetBuckets)
	for i := int64(1); i <= passed; i++ {
		slot := (b.at + i) % budgetBuckets
		if passed == budgetBuckets {
			slot = (at + i) % budgetBuckets
		}
		b.first[slot], b.repeat[slot] = 0, 0
	}
	b.at = max(b.at, at)
}

// Request counts a request for the service.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.first[b.at%budgetBuckets]++
}

// Left is the number of repeats that may go now.
func (b *Budget) Left(now time.Time) float64 {
	repeats := 0
	whole := b.whole(now)
	for _, n := range b.repeat {
		repeats += n
	}
	return whole - float64(repeats)
}

// whole is the number of repeats that the window allows.
func (b *Budget) whole(now time.Time) float64 {
	b.advance(now)
	firsts := 0
	for _, n := range b.first {
		firsts += n
	}
	return b.ratio*float64(firsts) + b.slack
}

const (
	// spareRepeats is what the budget must hold for a repeat that could be done without: those
	// of failures go first. An instance that gets little keeps spareBudget of what it has, as each
	// of its requests brings most of what its own repeat takes.
	spareRepeats = 3.0
	spareBudget  = 0.2
)

// Spares says whether a repeat may go that could be done without.
//
// Load: hundreds of instances, each with a request in some seconds. Harm prevented: a reserve that
// none of them ever has, so that all their weak answers are kept.
func (b *Budget) Spares(now time.Time) bool {
	need := min(max(spareBudget*b.whole(now), 1), spareRepeats)
	return b.Left(now) >= need
}

// Spend takes one repeat, or says that none is left.
func (b *Budget) Spend(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.repeat[b.at%budgetBuckets]++
	return true
}

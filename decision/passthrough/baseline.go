package passthrough

// A busy engine is slow with any version: 128 concurrent requests and waiting prompts stretch
// the event interval eightfold. A new version's servers get a small part of the requests and are
// less busy. So times are compared only at a similar load.

var (
	// waitingSteps are the numbers of waiting prompts at which the next load level begins, on a
	// logarithmic scale, as only their order of magnitude matters.
	waitingSteps = [...]int{1, 4, 16}
	// runningDivisors are the fractions of the slots taken at which the next level begins, as
	// divisors: 8 stands for one eighth. With an eighth taken an engine generates about as fast as
	// an idle one, with half not much faster than a full one.
	runningDivisors = [...]int{8, 2}
)

// loadLevel counts how many of waitingSteps and of runningDivisors a reported load has reached.
type loadLevel struct{ waiting, running int }

// loadLevelOf returns the level of a reported load.
func loadLevelOf(load Load) loadLevel {
	var l loadLevel
	for _, step := range waitingSteps {
		if load.Waiting >= step {
			l.waiting++
		}
	}
	for _, step := range runningDivisors {
		if step*load.Running >= load.Slots {
			l.running++
		}
	}
	return l
}

// minBaselineCount is how many responses of the old version make a baseline.
const minBaselineCount = 4

// baselineTimes are the mean logarithms of the old version's times in seconds, by load level.
type baselineTimes [len(waitingSteps) + 1][len(runningDivisors) + 1]movingAverage

// add adds a time of the old version.
func (b *baselineTimes) add(l loadLevel, x float64) { b[l.waiting][l.running].add(x) }

// at is the baseline at a load level, or at the next higher one with enough responses: the baseline
// of a higher load can only make a version look faster than it is, never slower.
func (b *baselineTimes) at(l loadLevel) (baseline float64, ok bool) {
	for waiting := l.waiting; waiting < len(b); waiting++ {
		for running := l.running; running < len(b[waiting]); running++ {
			if m := b[waiting][running]; m.n >= minBaselineCount {
				return m.value, true
			}
		}
	}
	return 0, false
}

package passthrough

// A busy engine is slow with any version: 128 requests at once and prompts that wait to be
// read stretch the time between events eightfold. A new version's servers have a small part
// of the requests and are less busy. So times are compared at like load only.

var (
	// waitSteps are the numbers of waiting prompts from which on an engine is at the next level:
	// they matter by their order of magnitude.
	waitSteps = [...]int{1, 4, 16}
	// runSteps are the same for the places that are taken, as one in so many of all: with an
	// eighth taken an engine generates about as fast as an idle one, with a half not much faster
	// than a full one.
	runSteps = [...]int{8, 2}
)

// level is how many steps a stated load has reached.
type loadLevel struct{ waiting, running int }

// levelOf cuts a server's word on its load.
func loadLevelOf(load Load) loadLevel {
	var l loadLevel
	for _, step := range waitSteps {
		if load.Waiting >= step {
			l.waiting++
		}
	}
	for _, step := range runSteps {
		if step*load.Running >= load.Slots {
			l.running++
		}
	}
	return l
}

// usualAnswers is how many answers of the old version make a usual time.
const minBaselineCount = 4

// usualTimes are the mean logarithms of the old version's times, by load.
type baselineTimes [len(waitSteps) + 1][len(runSteps) + 1]movingAverage

// add takes in one time of the old version.
func (u *baselineTimes) add(l loadLevel, x float64) { u[l.waiting][l.running].add(x) }

// at is the usual time at a load, or at the next higher one of which enough was seen: that
// takes a version for faster than it is, never for slower.
func (u *baselineTimes) at(l loadLevel) (usual float64, ok bool) {
	for waiting := l.waiting; waiting < len(u); waiting++ {
		for running := l.running; running < len(u[waiting]); running++ {
			if m := u[waiting][running]; m.n >= minBaselineCount {
				return m.value, true
			}
		}
	}
	return 0, false
}

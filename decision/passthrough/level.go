package passthrough

// A busy engine is slow with any version: 128 requests at once and prompts that wait to be
// read stretch the time between events eightfold. A new version's servers have a small part
// of the requests and are less busy. So times are compared at like load only.

const (
	// waitLevels and runLevels are into how many parts an engine's stated load is cut, by the
	// prompts that wait there and by the places that are taken.
	waitLevels = 4
	runLevels  = 3
)

// level is the part that a stated load falls into.
type level struct{ waiting, running int }

// levelOf cuts a server's word on its load. Prompts that wait matter by their order of
// magnitude; an engine with an eighth of its places taken generates about as fast as an idle
// one, and with a half taken not much faster than a full one.
func levelOf(load Load) level {
	var l level
	switch {
	case load.Waiting >= 16:
		l.waiting = 3
	case load.Waiting >= 4:
		l.waiting = 2
	case load.Waiting >= 1:
		l.waiting = 1
	}
	switch {
	case 2*load.Running >= load.Slots:
		l.running = 2
	case 8*load.Running >= load.Slots:
		l.running = 1
	}
	return l
}

// usualAnswers is how many answers of the old version make a usual time.
const usualAnswers = 4

// usualTimes are the mean logarithms of the old version's times, by load.
type usualTimes [waitLevels][runLevels]mean

// add takes in one time of the old version.
func (u *usualTimes) add(l level, x float64) { u[l.waiting][l.running].add(x) }

// at is the usual time at a load, or at the next higher one of which enough was seen: that
// takes a version for faster than it is, never for slower.
func (u *usualTimes) at(l level) (usual float64, ok bool) {
	for waiting := l.waiting; waiting < waitLevels; waiting++ {
		for running := l.running; running < runLevels; running++ {
			if m := u[waiting][running]; m.n >= usualAnswers {
				return m.value, true
			}
		}
	}
	return 0, false
}

package passthrough

import (
	"math"
	"time"
)

// Shift sums up by how much a version's answers were slower than the old version's: the
// logarithms of the ratios, whose mean is told from chance by their spread. Single answers
// tell little, as times to a first event spread tenfold with the length of prompts.
type LogRatioStats struct {
	N       int     `json:"n"`
	Sum     float64 `json:"sum"`
	Squares float64 `json:"squares"`
	// Slow counts those that took over slowFrom times as long.
	Slow int `json:"slow"`
}

// slowFrom is how many times as long as usual an answer takes that counts as slow by itself:
// past the spread of paces at like load, of which 5 to 10 in 100 of a good version's are, and
// below the four to eight times of versions that are slow in a part of their answers.
const slowRatio = 2.5

// add takes in one logarithm of a ratio.
func (s *LogRatioStats) add(x float64) {
	s.N++
	s.Sum += x
	s.Squares += x * x
	if x > math.Log(slowRatio) {
		s.Slow++
	}
}

// plus sums two shifts.
func (s LogRatioStats) plus(o LogRatioStats) LogRatioStats {
	return LogRatioStats{N: s.N + o.N, Sum: s.Sum + o.Sum, Squares: s.Squares + o.Squares, Slow: s.Slow + o.Slow}
}

// since is what came since an earlier sum, or nothing where that is not a part of it.
func (s LogRatioStats) since(o LogRatioStats) LogRatioStats {
	if s.N < o.N {
		return LogRatioStats{}
	}
	return LogRatioStats{N: s.N - o.N, Sum: s.Sum - o.Sum, Squares: s.Squares - o.Squares, Slow: s.Slow - o.Slow}
}

// slow is the slow ones among the answers.
func (s LogRatioStats) slow() proportion { return proportion{s.Slow, s.N} }

// measure is how a kind of times is judged.
type timingTest struct {
	// answers is the least number that is judged.
	minCount int
	// limit is the ratio to the old version's times that a version may have.
	maxRatio float64
	// variance is added to that of the logarithms: a few alike ones are no certainty.
	priorVariance float64
}

var (
	// byPace judges the time between events, which depends on the server alone: good
	// versions are within a fifth of the old one, slow ones at three and a half times.
	intervalTest = timingTest{minCount: 5, maxRatio: 1.8, priorVariance: 0.15}
	// byFirst judges the time to a first event. A cold cache costs up to twice as much, and
	// a few long prompts ten times: eight answers of one route took good versions for slow
	// ones in three of six roll-outs.
	firstByteTest = timingTest{minCount: 16, maxRatio: 2.2, priorVariance: 0.5}
)

const (
	// shiftSpread is how many standard errors the mean must lie above the limit: it is looked
	// at a hundred times in a roll-out, by route and by time.
	verdictStdErrors = 3
	// doubtSpread is how many it may lie below the limit for the version to be in doubt: a few
	// answers of a good version are off by more in one roll-out of six, but seldom so far.
	doubtStdErrors = 1
)

// over says whether the mean ratio is above the limit, beyond chance.
func (m timingTest) exceeds(s LogRatioStats) bool { return m.meanAbove(s, -verdictStdErrors) }

// doubts says whether the mean ratio may well be above the limit.
func (m timingTest) mayExceed(s LogRatioStats) bool { return m.meanAbove(s, doubtStdErrors) }

// above says whether the mean ratio, with so many standard errors added, is above the limit.
func (m timingTest) meanAbove(s LogRatioStats, stdErrors float64) bool {
	if s.N < m.minCount {
		return false
	}
	n := float64(s.N)
	mean := s.Sum / n
	variance := max(s.Squares/n-mean*mean, 0) + m.priorVariance
	return mean+stdErrors*math.Sqrt(variance/n) > math.Log(m.maxRatio)
}

// onTrial says whether the server has the version that is being rolled out.
func (w *World) runsTarget(s *server) bool {
	ro := w.rollouts[s.Service]
	return ro != nil && !ro.Phase.Ended() && s.Version == ro.Target
}

// tell takes in the times of an attempt that has ended, and tells of them while a roll-out is
// in progress.
func (w *World) observeAttempt(r *request, s *server, e AttemptEnded) {
	o := Observation{Service: r.service.name, Route: r.Route.Name, Version: s.Version, Bad: e.Result == Failed || e.ConnectionLost, ConnectionLost: e.ConnectionLost, Server: s.ID}
	first, at := r.firstByte, r.loadLevel
	if first == 0 {
		first, at = w.now.Sub(r.sent), loadLevelOf(s.reported) // it would have been later still
	}
	o.FirstByte = w.compareWithBaseline(s, w.firstByteBaseline(r), at, first)
	if !r.intervalReported {
		o.EventInterval = w.compareWithBaseline(s, r.service.intervals.baseline(r.model), at, e.EventInterval)
	}
	w.emitObservation(o)
}

// observe tells of an answer while a roll-out of its service is in progress.
func (w *World) emitObservation(o Observation) {
	if ro := w.rollouts[o.Service]; ro != nil && !ro.Phase.Ended() {
		w.emit(o)
	}
}

// paced tells of a stream's pace by its first events, while a roll-out is in progress.
//
// Load: a version so slow that its streams do not end within the roll-out. Harm prevented:
// that it is completed since nothing was seen of it: 3 of 28 answers had ended by then.
func (w *World) observeEventInterval(e EventIntervalMeasured) {
	r := w.requests[e.Request]
	if r == nil || r.server == nil {
		return
	}
	r.intervalReported = true
	w.emitObservation(Observation{Service: r.service.name, Route: r.Route.Name, Version: r.server.Version, TimingOnly: true,
		EventInterval: w.compareWithBaseline(r.server, r.service.intervals.baseline(r.model), r.loadLevel, e.EventInterval)})
}

// compare sets an answer's time beside what is usual of the old version at like load, and
// takes it into that if the server has the old version.
func (w *World) compareWithBaseline(s *server, baseline *baselineTimes, at loadLevel, took time.Duration) LogRatioStats {
	var out LogRatioStats
	if took <= 0 {
		return out
	}
	x := math.Log(took.Seconds())
	if usual, ok := baseline.at(at); ok {
		out.add(x - usual)
	}
	if !w.runsTarget(s) && !w.revertedVersions[versionKey{s.Service, s.Version}] {
		baseline.add(at, x)
	}
	return out
}

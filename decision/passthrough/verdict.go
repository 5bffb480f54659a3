package passthrough

import (
	"math"
	"time"
)

// LogRatioStats sums up by how much a version's responses were slower than the old version's, as
// logarithms of the ratios of their times. The spread of the logarithms shows whether their mean
// could be due to chance: a single response tells little, as times to the first byte vary tenfold
// with the length of prompts.
type LogRatioStats struct {
	N       int     `json:"n"`
	Sum     float64 `json:"sum"`
	Squares float64 `json:"squares"`
	// Slow counts the responses that took more than slowRatio times as long.
	Slow int `json:"slow"`
}

// slowRatio is how many times as long as usual a response takes to count as slow by itself.
// That is beyond the usual spread of event intervals at a similar load: 5 to 10 in 100
// responses of a good version exceed it. It is below the four to eight times of versions that
// are slow in part of their responses.
const slowRatio = 2.5

// add adds the logarithm of a ratio.
func (s *LogRatioStats) add(x float64) {
	s.N++
	s.Sum += x
	s.Squares += x * x
	if x > math.Log(slowRatio) {
		s.Slow++
	}
}

// plus returns the sum of two statistics.
func (s LogRatioStats) plus(o LogRatioStats) LogRatioStats {
	return LogRatioStats{N: s.N + o.N, Sum: s.Sum + o.Sum, Squares: s.Squares + o.Squares, Slow: s.Slow + o.Slow}
}

// since returns what was added after an earlier state; nothing if that is not a part of s.
func (s LogRatioStats) since(o LogRatioStats) LogRatioStats {
	if s.N < o.N {
		return LogRatioStats{}
	}
	return LogRatioStats{N: s.N - o.N, Sum: s.Sum - o.Sum, Squares: s.Squares - o.Squares, Slow: s.Slow - o.Slow}
}

// slow is the proportion of slow responses.
func (s LogRatioStats) slow() proportion { return proportion{s.Slow, s.N} }

// timingTest defines how the ratios of a kind of times are judged.
type timingTest struct {
	// minCount is the least number of responses that is judged.
	minCount int
	// maxRatio is the allowed mean ratio to the old version's times.
	maxRatio float64
	// priorVariance is added to the variance of the logarithms, as a few equal ones do not mean
	// that there is no variance.
	priorVariance float64
}

var (
	// intervalTest judges event intervals, which depend on the server alone: good versions are
	// within a fifth of the old one, slow ones at three and a half times.
	intervalTest = timingTest{minCount: 5, maxRatio: 1.8, priorVariance: 0.15}
	// firstByteTest judges the time to the first byte. A cold cache makes it up to twice as
	// long, and a few long prompts ten times: with only eight responses of one route, good
	// versions could be judged slow in three of six roll-outs.
	firstByteTest = timingTest{minCount: 16, maxRatio: 2.2, priorVariance: 0.5}
)

const (
	// verdictStdErrors is how many standard errors the mean must be above the limit for the
	// version to be bad: it is tested a hundred times in a roll-out, by route and over time.
	verdictStdErrors = 3
	// doubtStdErrors is how many standard errors below the limit the mean may be for the version
	// to be in doubt: the mean of a few responses of a good version is off by more in one
	// roll-out of six, but seldom up to the limit.
	doubtStdErrors = 1
)

// exceeds reports whether the mean ratio is above the limit, beyond chance.
func (m timingTest) exceeds(s LogRatioStats) bool { return m.meanAbove(s, -verdictStdErrors) }

// mayExceed reports whether the mean ratio may be above the limit.
func (m timingTest) mayExceed(s LogRatioStats) bool { return m.meanAbove(s, doubtStdErrors) }

// meanAbove reports whether the mean ratio, plus the given number of standard errors, is above
// the limit.
func (m timingTest) meanAbove(s LogRatioStats, stdErrors float64) bool {
	if s.N < m.minCount {
		return false
	}
	n := float64(s.N)
	mean := s.Sum / n
	variance := max(s.Squares/n-mean*mean, 0) + m.priorVariance
	return mean+stdErrors*math.Sqrt(variance/n) > math.Log(m.maxRatio)
}

// runsTarget reports whether the server has the version that is being rolled out.
func (w *World) runsTarget(s *server) bool {
	ro := w.rollouts[s.Service]
	return ro != nil && !ro.Phase.Ended() && s.Version == ro.Target
}

// observeAttempt records the times of an attempt that has ended, and emits an observation if a
// roll-out is in progress.
func (w *World) observeAttempt(r *request, s *server, e AttemptEnded) {
	o := Observation{Service: r.service.name, Route: r.Route.Name, Version: s.Version, Bad: e.Result == Failed || e.ConnectionLost, ConnectionLost: e.ConnectionLost, Server: s.ID}
	first, level := r.firstByte, r.loadLevel
	if first == 0 {
		first, level = w.now.Sub(r.sent), loadLevelOf(s.reported) // none reported: the time of a plain response, or a lower bound
	}
	o.FirstByte = w.compareWithBaseline(s, w.firstByteBaseline(r), level, first)
	if !r.intervalReported {
		o.EventInterval = w.compareWithBaseline(s, r.service.intervals.baseline(r.model), level, e.EventInterval)
		w.measureInterval(s, o.EventInterval)
	}
	if e.Result == Broken {
		w.emitObservation(o, w.report)
		return
	}
	w.emitObservation(o, w.emit)
}

// emitObservation emits an observation if a roll-out of its service is in progress.
func (w *World) emitObservation(o Observation, emit func(Command)) {
	if ro := w.rollouts[o.Service]; ro != nil && !ro.Phase.Ended() {
		emit(o)
	}
}

// observeEventInterval emits the interval of a stream's first events if a roll-out is in
// progress.
//
// Load: a version so slow that its streams do not end within the roll-out. Harm prevented: it
// is completed because little is known of it without their first events, as only 3 of 28
// responses may have ended by then.
func (w *World) observeEventInterval(e EventIntervalMeasured) {
	r := w.requests[e.Request]
	if r == nil || r.server == nil {
		return
	}
	r.intervalReported = true
	times := w.compareWithBaseline(r.server, r.service.intervals.baseline(r.model), r.loadLevel, e.EventInterval)
	w.measureInterval(r.server, times)
	w.emitObservation(Observation{Service: r.service.name, Route: r.Route.Name, Version: r.server.Version, TimingOnly: true, EventInterval: times}, w.emit)
}

// compareWithBaseline returns the statistics of one response's time relative to the old version's
// at a similar load; they are empty without a baseline. If the server has the old version, the time
// is added to the baseline. Times are taken at unit speed, so that no version fails for its machines.
func (w *World) compareWithBaseline(s *server, baseline *baselineTimes, level loadLevel, took time.Duration) LogRatioStats {
	var out LogRatioStats
	if took <= 0 {
		return out
	}
	x := math.Log(took.Seconds() / s.statedFactor())
	if baselineLog, ok := baseline.at(level); ok {
		out.add(x - baselineLog)
	}
	if !w.runsTarget(s) && !w.revertedVersions[versionKey{s.Service, s.Version}] {
		baseline.add(level, x)
	}
	return out
}

package policytest

import (
	"math"
	"slices"
	"time"

	"masticplank.example/decision"
)

// caller is a request that waits for its answer.
type caller struct {
	job           *job
	firstToken    time.Duration
	cost          float64
	held          map[decision.AttemptID]bool
	scores        map[decision.AttemptID]float64
	ratingBudgets map[decision.AttemptID]time.Duration
}

// plan notes what a dispatch asks for.
func (c *caller) recordDispatch(d decision.Dispatch) {
	c.held[d.Attempt] = d.Hold
	if c.scores == nil {
		c.scores = make(map[decision.AttemptID]float64)
		c.ratingBudgets = make(map[decision.AttemptID]time.Duration)
	}
	if d.NeedsRating {
		c.ratingBudgets[d.Attempt] = d.RatingTimeout
	}
}

// Tally is what came of one run, for the callers.
type Results struct {
	load Load
	// Arrived, Whole, Refused, Failed and Late are requests; Late ones were
	// answered after their deadline, which counts as failed to their callers.
	// Lost were never answered, Broken commands did not fit any request.
	Arrived, Completed, Refused, Failed, Late, Unanswered, InvalidCommands int
	// HeldToDeadline are refusals that came at the deadline.
	RefusedAtDeadline int
	// FalseVerdicts are bad words on versions that are well.
	FalseAlarms int
	// Cost and Quality are sums over whole answers of models.
	Cost, Quality float64
	ModelAnswers  int
	// wholes are times of whole answers of models, firsts the times to the first
	// token of those that are streamed.
	firstTokens, latencies []time.Duration
	// blocks are those of all prompts, cached those found in a prefix cache.
	promptBlocks, cachedBlocks int
	teams                      map[decision.TeamID]*teamResults
	fault                      faultResults
}

// teamTally is one team's part.
type teamResults struct {
	demand, served float64
	quality        map[decision.TaskClass]float64
	answers        map[decision.TaskClass]int
	target         float64
	weight         float64
}

// badTally follows smallNew once it is bad.
type faultResults struct {
	badAnswers int
	// exposed counts requests dispatched to it, and of all requests those that
	// arrived, from the start of its being bad and from its 50th bad answer on.
	exposed, exposedAfter int
	arrivedAfter          int
}

// badLimit is the number of bad answers after which a version should be barred.
const maxBadAnswers = 50

func newResults(l Load) *Results {
	t := &Results{load: l, teams: make(map[decision.TeamID]*teamResults)}
	for _, x := range teams() {
		t.teams[x.ID] = &teamResults{
			quality: make(map[decision.TaskClass]float64),
			answers: make(map[decision.TaskClass]int),
			target:  x.QualityTarget,
			weight:  float64(x.Weight),
		}
	}
	return t
}

// work is the size of a request, for shares among teams.
func work(j *job) float64 { return float64(j.tokens) + 0.1*float64(j.PromptTokens) }

func (t *Results) measured(j *job) bool { return j.arrived >= t.load.Warmup }

func (t *Results) arrived(j *job) {
	if j.Service == "" && t.fault.badAnswers >= maxBadAnswers {
		t.fault.arrivedAfter++
	}
	if !t.measured(j) {
		return
	}
	t.Arrived++
	if j.Service == "" {
		t.teams[j.Team].demand += work(j)
	}
}

func (t *Results) dispatched(_ *job, v decision.VersionID, now time.Duration) {
	if t.load.Fault == NoFault || now < t.load.FaultFrom || v != smallNew {
		return
	}
	t.fault.exposed++
	if t.fault.badAnswers >= maxBadAnswers {
		t.fault.exposedAfter++
	}
}

func (t *Results) badAnswer(v decision.VersionID, now time.Duration) {
	if v == smallNew && now >= t.load.FaultFrom {
		t.fault.badAnswers++
	}
}

func (t *Results) verdict(v decision.VersionVerdict, now time.Duration) {
	isBad := t.load.Fault != NoFault && now >= t.load.FaultFrom && v.Version == smallNew
	if v.Bad && !isBad {
		t.FalseAlarms++
	}
}

func (t *Results) delivered(c *caller, a decision.AttemptID, now time.Duration) {
	j := c.job
	if !t.measured(j) {
		return
	}
	if now > j.Deadline.Sub(start) {
		t.Late++
		return
	}
	t.Completed++
	if j.Service != "" {
		return
	}
	first := now
	if !c.held[a] && c.firstToken > 0 {
		first = c.firstToken
	}
	t.ModelAnswers++
	t.Cost += c.cost
	t.Quality += c.scores[a]
	if j.Streamed {
		t.firstTokens = append(t.firstTokens, first-j.arrived)
	}
	t.latencies = append(t.latencies, now-j.arrived)
	team := t.teams[j.Team]
	team.served += work(j)
	team.quality[j.Class] += c.scores[a]
	team.answers[j.Class]++
}

func (t *Results) refused(c *caller, r decision.Refuse) {
	if !t.measured(c.job) {
		return
	}
	t.Refused++
	if r.Reason == decision.ReasonDeadline {
		t.RefusedAtDeadline++
	}
}

func (t *Results) failed(c *caller) {
	if t.measured(c.job) {
		t.Failed++
	}
}

func (t *Results) unanswered(c *caller) {
	if t.measured(c.job) {
		t.Unanswered++
	}
}

func percentile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	s := slices.Clone(list)
	slices.Sort(s)
	return s[min(int(p*float64(len(s))), len(s)-1)]
}

// work is the size of what was answered.
func (t *Results) totalWork() float64 {
	total := 0.0
	for i := range teamShares {
		total += t.teams[teamID(i)].served
	}
	return total
}

// leastShare is the lowest ratio over the teams of what a team got to its
// weighted max-min share of what all got. Teams that wanted less than their
// share should get it all, and nobody's surplus counts against another.
func (t *Results) minShareRatio() float64 {
	if t.load.Model == "" {
		return math.NaN()
	}
	total := t.totalWork()
	open := make([]*teamResults, 0, len(t.teams))
	for i := range teamShares {
		open = append(open, t.teams[teamID(i)])
	}
	lowest := 1.0
	for len(open) > 0 {
		weights := 0.0
		for _, x := range open {
			weights += x.weight
		}
		fairShare := total / weights
		var rest []*teamResults
		for _, x := range open {
			if x.demand > fairShare*x.weight {
				rest = append(rest, x)
				continue
			}
			total -= x.demand
			if x.demand > 0 {
				lowest = min(lowest, x.served/x.demand)
			}
		}
		if len(rest) == len(open) {
			for _, x := range open {
				lowest = min(lowest, x.served/(fairShare*x.weight))
			}
			break
		}
		open = rest
	}
	return lowest
}

// missed is by how much the answers of the team and class farthest under its
// quality target missed it. Those with under 100 answers are left out: the
// standard error of their mean is over 0.015.
func (t *Results) targetShortfall() float64 {
	worst := 0.0
	for _, x := range t.teams {
		for class, n := range x.answers {
			if n >= 100 {
				worst = max(worst, x.target-x.quality[class]/float64(n))
			}
		}
	}
	return worst
}

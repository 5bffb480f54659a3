package policytest

import (
	"math"
	"slices"
	"time"

	"masticplank.example/decision"
)

// caller is the caller of a request that has no answer yet.
type caller struct {
	job *job
	// firstToken is the time of the first token that reached the caller; 0 for
	// none.
	firstToken time.Duration
	// cost is the cost of the tokens generated for the request so far.
	cost float64
	// By attempt: whether its answer is held, its answer's true quality, and the
	// time allowed for a rating if one is needed.
	held          map[decision.AttemptID]bool
	qualities     map[decision.AttemptID]float64
	ratingBudgets map[decision.AttemptID]time.Duration
}

// recordDispatch records whether the answer is held and whether it needs a
// rating.
func (c *caller) recordDispatch(d decision.Dispatch) {
	c.held[d.Attempt] = d.Hold
	if c.qualities == nil {
		c.qualities = make(map[decision.AttemptID]float64)
		c.ratingBudgets = make(map[decision.AttemptID]time.Duration)
	}
	if d.NeedsRating {
		c.ratingBudgets[d.Attempt] = d.RatingTimeout
	}
}

// Results holds the results of one run as its callers see them.
type Results struct {
	load Load
	// The numbers of requests that arrived after the warm-up, in total and by
	// their end. Late requests were answered after their deadline, which is a
	// failure for their callers. InvalidCommands counts the policy's commands for
	// requests or servers that do not exist.
	Arrived, Completed, Refused, Failed, Late, Unanswered, InvalidCommands int
	// RefusedAtDeadline counts the refusals that came only at the deadline.
	RefusedAtDeadline int
	// FalseAlarms counts bad verdicts on versions without a fault.
	FalseAlarms int
	// Cost and Quality are sums over the ModelAnswers complete answers of models.
	Cost, Quality float64
	ModelAnswers  int
	// firstTokens are the times from the arrival to the first token of streamed
	// answers of models, latencies those to the complete answers of models.
	firstTokens, latencies []time.Duration
	// promptBlocks counts the blocks of all prompts, cachedBlocks those found in
	// a prefix cache.
	promptBlocks, cachedBlocks int
	teams                      map[decision.TeamID]*teamResults
	fault                      faultResults
}

// teamResults holds the results of one team. demand and served are in units of
// work (see work), and quality is the sum of the answers' true quality by class.
type teamResults struct {
	demand, served float64
	quality        map[decision.TaskClass]float64
	answers        map[decision.TaskClass]int
	target         float64
	weight         float64
}

// faultResults counts the effects of the fault of smallNew.
type faultResults struct {
	badAnswers int
	// exposedRequests counts the dispatches to smallNew since the fault began,
	// exposedAfterLimit those after bad answer number maxBadAnswers, and
	// arrivedAfterLimit the requests to any model that arrived after that answer.
	exposedRequests, exposedAfterLimit int
	arrivedAfterLimit                  int
}

// maxBadAnswers is the number of bad answers after which a version should be
// blocked.
const maxBadAnswers = 50

func newResults(l Load) *Results {
	r := &Results{load: l, teams: make(map[decision.TeamID]*teamResults)}
	for _, x := range teams() {
		r.teams[x.ID] = &teamResults{
			quality: make(map[decision.TaskClass]float64),
			answers: make(map[decision.TaskClass]int),
			target:  x.QualityTarget,
			weight:  float64(x.Weight),
		}
	}
	return r
}

// work is the size of a request, in generated tokens; a prompt token counts a
// tenth.
func work(j *job) float64 { return float64(j.tokens) + 0.1*float64(j.PromptTokens) }

// measured reports whether the request arrived after the warm-up.
func (r *Results) measured(j *job) bool { return j.arrived >= r.load.Warmup }

func (r *Results) recordArrival(j *job) {
	if j.Service == "" && r.fault.badAnswers >= maxBadAnswers {
		r.fault.arrivedAfterLimit++
	}
	if !r.measured(j) {
		return
	}
	r.Arrived++
	if j.Service == "" {
		r.teams[j.Team].demand += work(j)
	}
}

func (r *Results) recordDispatch(_ *job, v decision.VersionID, now time.Duration) {
	if r.load.Fault == NoFault || now < r.load.FaultFrom || v != smallNew {
		return
	}
	r.fault.exposedRequests++
	if r.fault.badAnswers >= maxBadAnswers {
		r.fault.exposedAfterLimit++
	}
}

func (r *Results) recordBadAnswer(v decision.VersionID, now time.Duration) {
	if v == smallNew && now >= r.load.FaultFrom {
		r.fault.badAnswers++
	}
}

func (r *Results) observeVerdict(v decision.VersionVerdict, now time.Duration) {
	isBad := r.load.Fault != NoFault && now >= r.load.FaultFrom && v.Version == smallNew
	if v.Bad && !isBad {
		r.FalseAlarms++
	}
}

func (r *Results) recordDelivery(c *caller, a decision.AttemptID, now time.Duration) {
	j := c.job
	if !r.measured(j) {
		return
	}
	if now > j.Deadline.Sub(start) {
		r.Late++
		return
	}
	r.Completed++
	if j.Service != "" {
		return
	}
	first := now
	if !c.held[a] && c.firstToken > 0 {
		first = c.firstToken
	}
	r.ModelAnswers++
	r.Cost += c.cost
	r.Quality += c.qualities[a]
	if j.Streamed {
		r.firstTokens = append(r.firstTokens, first-j.arrived)
	}
	r.latencies = append(r.latencies, now-j.arrived)
	team := r.teams[j.Team]
	team.served += work(j)
	team.quality[j.Class] += c.qualities[a]
	team.answers[j.Class]++
}

func (r *Results) recordRefusal(c *caller, refusal decision.Refuse) {
	if !r.measured(c.job) {
		return
	}
	r.Refused++
	if refusal.Reason == decision.ReasonDeadline {
		r.RefusedAtDeadline++
	}
}

func (r *Results) recordFailure(c *caller) {
	if r.measured(c.job) {
		r.Failed++
	}
}

func (r *Results) recordUnanswered(c *caller) {
	if r.measured(c.job) {
		r.Unanswered++
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

// totalWork is the work of all complete answers of models.
func (r *Results) totalWork() float64 {
	total := 0.0
	for i := range teamShares {
		total += r.teams[teamID(i)].served
	}
	return total
}

// minShareRatio is the lowest ratio, over the teams, of the work served to a
// team to its weighted max-min fair share of all work served. A team that
// demanded less than its share should get all that it demanded, and a team that
// gets more than its share does not lower the ratio. It is NaN if the teams do not
// compete for one model.
func (r *Results) minShareRatio() float64 {
	if r.load.Model == "" {
		return math.NaN()
	}
	total := r.totalWork()
	unsatisfied := make([]*teamResults, 0, len(r.teams))
	for i := range teamShares {
		unsatisfied = append(unsatisfied, r.teams[teamID(i)])
	}
	lowest := 1.0
	for len(unsatisfied) > 0 {
		weights := 0.0
		for _, team := range unsatisfied {
			weights += team.weight
		}
		fairShare := total / weights
		var remaining []*teamResults
		for _, team := range unsatisfied {
			if team.demand > fairShare*team.weight {
				remaining = append(remaining, team)
				continue
			}
			total -= team.demand
			if team.demand > 0 {
				lowest = min(lowest, team.served/team.demand)
			}
		}
		if len(remaining) == len(unsatisfied) {
			for _, team := range unsatisfied {
				lowest = min(lowest, team.served/(fairShare*team.weight))
			}
			break
		}
		unsatisfied = remaining
	}
	return lowest
}

// targetShortfall is the largest difference, over teams and classes, by which
// the mean quality of the answers is below the team's target. Classes of a team
// with under 100 answers are left out: the standard error of their mean is over
// 0.015.
func (r *Results) targetShortfall() float64 {
	worst := 0.0
	for _, x := range r.teams {
		for class, n := range x.answers {
			if n >= 100 {
				worst = max(worst, x.target-x.quality[class]/float64(n))
			}
		}
	}
	return worst
}

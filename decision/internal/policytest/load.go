package policytest

import (
	"math"
	"math/rand/v2"
	"time"

	"masticplank.example/decision"
)

// FaultKind is the kind of fault that a version develops.
type FaultKind uint8

// The kinds of faults.
const (
	NoFault FaultKind = iota
	// FaultErrors: one answer in four is an error.
	FaultErrors
	// FaultRatings: the quality of the answers is halved.
	FaultRatings
)

// Load is a scripted load.
type Load struct {
	Name string
	Deployment
	// Rate is the arrival rate at a time since the start, as a multiple of the
	// deployment's saturation.
	Rate func(t time.Duration) float64
	// Skew is true if one team makes about 80% of the requests.
	Skew bool
	// Model is the model that all requests for a model name; empty leaves it open.
	// Shares of the teams can be measured only if they compete for one model.
	Model decision.ModelID
	// Fault is the fault that smallNew has from FaultFrom on.
	Fault     FaultKind
	FaultFrom time.Duration
	// SlowFactor is the factor by which the first small and the first large
	// server are slower from SlowFrom on; 0 for none.
	SlowFactor float64
	SlowFrom   time.Duration
	// Duration is the time in which requests arrive; those that arrive before
	// Warmup are not measured.
	Duration time.Duration
	Warmup   time.Duration
}

// steady is a constant rate.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// surge is the rate quiet, with a rise to peak between from and to, as in a
// wool-order rush or on the first morning of a term.
func surge(from, to time.Duration, quiet, peak float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t < from || t >= to {
			return quiet
		}
		return peak
	}
}

// largeSaturation is the rate that saturates the large model when all requests
// name it, as a multiple of the deployment's saturation.
const largeSaturation = 0.7

const (
	runLength = 240 * time.Second
	runWarmup = 60 * time.Second
)

// Loads returns the loads to measure.
func Loads() []Load {
	coop, agency := Coop(), Agency()
	base := func(name string, d Deployment, rate func(time.Duration) float64) Load {
		return Load{Name: name, Deployment: d, Rate: rate, Duration: runLength, Warmup: runWarmup}
	}
	badErrors := base("version fails one in four", agency, steady(0.6))
	badErrors.Fault, badErrors.FaultFrom = FaultErrors, 100*time.Second
	badRatings := base("version rated half", coop, steady(0.6))
	badRatings.Fault, badRatings.FaultFrom = FaultRatings, 100*time.Second
	slow := base("one slow server a model", agency, steady(0.6))
	slow.SlowFactor, slow.SlowFrom = 6, 60*time.Second
	skew := base("one team at 80%, large model, saturation x2", coop, steady(2*largeSaturation))
	skew.Skew, skew.Model = true, largeModel
	shares := base("large model, saturation x2", agency, steady(2*largeSaturation))
	shares.Model = largeModel
	return []Load{
		base("usual day", coop, steady(0.5)),
		base("usual day", agency, steady(0.5)),
		base("wool-order rush", coop, surge(100*time.Second, 160*time.Second, 0.4, 1.6)),
		base("term opening", agency, surge(80*time.Second, 200*time.Second, 0.3, 1.4)),
		base("saturation x1", coop, steady(1)),
		base("saturation x2", coop, steady(2)),
		base("saturation x1", agency, steady(1)),
		base("saturation x2", agency, steady(2)),
		skew,
		shares,
		slow,
		badErrors,
		badRatings,
	}
}

// job is a request, with properties that no policy can see.
type job struct {
	decision.Request
	arrived  time.Duration
	instance int
	hard     bool
	// tokens is the length of the answer, in tokens.
	tokens int
	// qualityNoise is the difference of the answer's quality from the version's
	// mean.
	qualityNoise float64
	// failDraw is uniform in [0, 1) and decides whether a faulty version fails
	// the request.
	failDraw float64
}

// The properties of requests: blockTokens is the number of tokens of a block,
// templates the number of prompt templates of a team. A prompt consists of
// templateBlocks blocks of a template and uniqueBlocks of its own. recordShare is
// the share of requests for the plain service, draftShare that of class draft
// among the others, and hardShare the hard ones among those. ratingNoise and
// answerNoise are the standard deviations of ratings and of answer quality, and
// tokensLookup and tokensDraft the median lengths of answers in tokens.
const (
	blockTokens    = 32
	templates      = 6
	templateBlocks = 24
	uniqueBlocks   = 8
	draftShare     = 0.5
	hardShare      = 0.35
	recordShare    = 0.1
	ratingNoise    = 0.05
	answerNoise    = 0.05
	tokensLookup   = 40
	tokensDraft    = 250
)

// jobs draws all requests of a run, in order of arrival.
func (l Load) jobs(seed uint64) []*job {
	rng := rand.New(rand.NewPCG(seed, 0x10ad))
	var out []*job
	at := time.Duration(0)
	for {
		rate := l.Rate(at) * l.Saturation
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= l.Duration {
			return out
		}
		out = append(out, l.job(uint64(len(out)+1), at, rng))
	}
}

// job draws one request.
func (l Load) job(id uint64, at time.Duration, rng *rand.Rand) *job {
	team := pickTeam(rng, l.Skew)
	j := &job{arrived: at, instance: rng.IntN(l.Instances)}
	j.Request = decision.Request{
		ID:              decision.RequestID(id),
		Team:            teamID(team),
		RolloutPosition: rng.Float64(),
		Fingerprint:     decision.Fingerprint(rng.Uint64()),
		Class:           lookup,
		Idempotent:      true,
		Streamed:        true,
	}
	j.qualityNoise = answerNoise * rng.NormFloat64()
	j.failDraw = rng.Float64()
	j.tokens = int(tokensLookup * math.Exp(0.4*rng.NormFloat64()))
	template := rng.IntN(templates)
	record := rng.Float64() < recordShare
	if rng.Float64() < draftShare {
		j.Class = draft
		j.Streamed = false
		j.hard = rng.Float64() < hardShare
		j.tokens = int(tokensDraft * math.Exp(0.4*rng.NormFloat64()))
	}
	j.tokens = max(j.tokens, 4)
	j.Deadline = start.Add(at + l.Deadlines[j.Class])
	if record {
		j.Service = records
		j.Class = ""
		j.Idempotent = false
		j.tokens = 0
		j.Deadline = start.Add(at + 5*time.Second)
		return j
	}
	j.Model = l.Model
	j.MaxTokens = 2 * j.tokens
	j.Blocks = prompt(team, template, rng)
	j.PromptTokens = len(j.Blocks) * blockTokens
	return j
}

// pickTeam draws a team by the shares of the teams in the load; with skew, team 9
// gets 80% of the requests and its usual share of the rest.
func pickTeam(rng *rand.Rand, skew bool) int {
	x := rng.Float64()
	if skew {
		if x < 0.8 {
			return 9
		}
		x = (x - 0.8) * 5
	}
	for i, share := range teamShares {
		x -= share
		if x < 0 {
			return i
		}
	}
	return len(teamShares) - 1
}

// prompt returns the blocks of a team's template followed by random ones, which no
// other request has.
func prompt(team, template int, rng *rand.Rand) []decision.BlockHash {
	out := make([]decision.BlockHash, 0, templateBlocks+uniqueBlocks)
	for i := range templateBlocks {
		out = append(out, decision.BlockHash(1e6*(team*templates+template+1)+i))
	}
	for range uniqueBlocks {
		out = append(out, decision.BlockHash(rng.Uint64()|1<<63))
	}
	return out
}

// quality is the true quality of a version's answer to this request, 0 to 1.
func (j *job) quality(v decision.VersionID, fault FaultKind) float64 {
	t := trueQualities[v]
	q := t.easy
	switch {
	case j.Class == lookup:
		q = t.lookup
	case j.hard:
		q = t.hard
	}
	if fault == FaultRatings && v == smallNew {
		q /= 2
	}
	return min(max(q+j.qualityNoise, 0), 1)
}

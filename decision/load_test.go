package decision

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// demand is the load of one team: on average perSecond requests like request.
type demand struct {
	perSecond float64
	request   Request
	// deadline is the time from the arrival to the deadline.
	deadline time.Duration
}

// offer generates approximately Poisson arrivals of all demands for the time d.
func offer(h *harness, rng *rand.Rand, d time.Duration, demands ...demand) {
	for end := h.now.Add(d); h.now.Before(end); {
		for _, dem := range demands {
			h.offerTick(rng, dem)
		}
		h.tick()
	}
}

func (h *harness) offerTick(rng *rand.Rand, dem demand) {
	rate := dem.perSecond * step.Seconds()
	for range arrivals(rng, rate) {
		r := dem.request
		r.RolloutPosition = rng.Float64()
		r.Deadline = h.now.Add(dem.deadline)
		h.arrive(r)
	}
}

// arrivals draws from a binomial distribution with many trials, close to Poisson.
func arrivals(rng *rand.Rand, rate float64) int {
	const trials = 200
	n := 0
	for range trials {
		if rng.Float64() < rate/trials {
			n++
		}
	}
	return n
}

// tenMsPerToken makes attempts take 10 ms per token.
func tenMsPerToken(d Dispatch, r Request) time.Duration {
	return time.Duration(r.MaxTokens) * 10 * time.Millisecond
}

// shortRequest is a request for weave of 20 tokens: 200 ms at 10 ms per token.
func shortRequest(team TeamID) Request {
	return Request{Team: team, Model: "weave", MaxTokens: 20, Idempotent: true}
}

// loadHarness has 6 servers with 8 slots each: a capacity of 240 short requests per
// second.
func loadHarness(t *testing.T, teams ...Team) (*harness, *rand.Rand) {
	h := newHarness(t, DefaultConfig())
	h.duration = tenMsPerToken
	h.manifest(1, teams, testVersions())
	h.servers(testServers(6, 8, weave1, draft1)...)
	h.tick()
	return h, rand.New(rand.NewPCG(7, 7))
}

// answerTimes returns, sorted, the times from arrival to delivery of a team's
// answers.
func (h *harness) answerTimes(team TeamID) []time.Duration {
	var list []time.Duration
	for _, o := range h.outcomes {
		if _, ok := o.command.(Deliver); ok && o.team == team {
			list = append(list, o.elapsed)
		}
	}
	slices.Sort(list)
	return list
}

func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(p*float64(len(sorted)-1))]
}

// requirePromptRefusals fails the test if more than 1% of the requests were refused
// later than two ticks after their arrival, or if any was refused without a retry
// time or only at its deadline.
func (h *harness) requirePromptRefusals() {
	h.t.Helper()
	late, noRetryAfter, atDeadline := 0, 0, 0
	for _, o := range h.outcomes {
		r, ok := o.command.(Refuse)
		if !ok {
			continue
		}
		if o.elapsed > 2*step {
			late++
		}
		if r.RetryAfter <= 0 {
			noRetryAfter++
		}
		if r.Reason == ReasonDeadline {
			atDeadline++
		}
	}
	total := len(h.outcomes)
	if late*100 > total || noRetryAfter > 0 || atDeadline > 0 {
		h.t.Errorf("of %d requests: %d refused late, %d without RetryAfter, %d only at the deadline; want at most 1%%, 0 and 0", total, late, noRetryAfter, atDeadline)
	}
}

// A burst of one team must not delay another team. The part of it that cannot be
// answered in time must be refused at once, not at its deadline.
func TestBurst(t *testing.T) {
	h, rng := loadHarness(t, testTeam("weavers", 1), testTeam("shops", 1))
	steady := demand{perSecond: 60, request: shortRequest("shops"), deadline: 5 * time.Second}
	offer(h, rng, 2*time.Second, steady)
	for range 2000 {
		r := shortRequest("weavers")
		r.Deadline = h.now.Add(3 * time.Second)
		h.arrive(r)
	}
	offer(h, rng, 6*time.Second, steady)
	h.run(5 * time.Second)
	h.requireAllEnded()
	h.requirePromptRefusals()
	if p99 := percentile(h.answerTimes("shops"), 0.99); p99 > 600*time.Millisecond {
		t.Errorf("p99 of the steady team: %v, want at most 600 ms", p99)
	}
	// 180 requests per second are left for the burst, for 2.8 s until its deadline.
	if got := h.delivered("weavers"); got < 400 {
		t.Errorf("%d requests of the burst answered, want at least 400", got)
	}
}

// One team sends 80% of a load of twice the capacity. The teams below their share
// must get all that they request and the large one what is left.
func TestSkew(t *testing.T) {
	h, rng := loadHarness(t, testTeam("big", 1), testTeam("a", 1), testTeam("b", 1), testTeam("c", 1))
	var demands []demand
	for _, id := range []TeamID{"a", "b", "c"} {
		demands = append(demands, demand{perSecond: 32, request: shortRequest(id), deadline: 3 * time.Second})
	}
	demands = append(demands, demand{perSecond: 384, request: shortRequest("big"), deadline: 3 * time.Second})
	offer(h, rng, 10*time.Second, demands...)
	h.run(5 * time.Second)
	h.requireAllEnded()
	h.requirePromptRefusals()
	sent := map[TeamID]int{}
	for _, o := range h.outcomes {
		sent[o.team]++
	}
	for _, id := range []TeamID{"a", "b", "c"} {
		if got := h.delivered(id); got < sent[id]*99/100 {
			t.Errorf("team %s, which is below its share, got %d of %d answers, want 99%%", id, got, sent[id])
		}
		if p99 := percentile(h.answerTimes(id), 0.99); p99 > 600*time.Millisecond {
			t.Errorf("p99 of team %s: %v, want at most 600 ms", id, p99)
		}
	}
	// 144 of 240 per second are left; 5% tolerance for the length of a tick.
	if got := h.delivered("big"); got < 1440*95/100 {
		t.Errorf("team big got %d answers, want 1440 less 5%%", got)
	}
}

// Two teams must share a saturated pool in proportion to their weights, 3 to 1.
func TestWeights(t *testing.T) {
	h, rng := loadHarness(t, testTeam("heavy", 3), testTeam("light", 1))
	offer(h, rng, 10*time.Second,
		demand{perSecond: 300, request: shortRequest("heavy"), deadline: 2 * time.Second},
		demand{perSecond: 300, request: shortRequest("light"), deadline: 2 * time.Second})
	h.run(5 * time.Second)
	h.requireAllEnded()
	h.requirePromptRefusals()
	ratio := float64(h.delivered("heavy")) / float64(h.delivered("light"))
	if ratio < 2.7 || ratio > 3.3 {
		t.Errorf("ratio of answers %.2f, want 2.7 to 3.3", ratio)
	}
}

// At twice and at ten times the saturation load, goodput must be at least 95% of
// that at saturation: it collapses if slots are used for answers that are too late.
func TestSaturationGoodput(t *testing.T) {
	goodputAt := func(factor float64) int {
		h, rng := loadHarness(t, testTeam("weavers", 1), testTeam("shops", 1))
		half := 120 * factor
		offer(h, rng, 15*time.Second,
			demand{perSecond: half, request: shortRequest("weavers"), deadline: 2 * time.Second},
			demand{perSecond: half, request: shortRequest("shops"), deadline: 2 * time.Second})
		h.run(4 * time.Second)
		h.requireAllEnded()
		h.requirePromptRefusals()
		return h.delivered("")
	}
	once, twice, tenfold := goodputAt(1), goodputAt(2), goodputAt(10)
	if twice*100 < once*95 || tenfold*100 < once*95 {
		t.Errorf("goodput %d at saturation, %d at twice and %d at ten times the load, want at least 95%%", once, twice, tenfold)
	}
}

// In sustained overload the queue must stay short: callers wait for a fraction of
// the time to their deadline only, and the throughput stays the same.
func TestStandingQueueIsShort(t *testing.T) {
	h, rng := loadHarness(t, testTeam("weavers", 1), testTeam("shops", 1))
	load := []demand{
		{perSecond: 240, request: shortRequest("weavers"), deadline: 10 * time.Second},
		{perSecond: 240, request: shortRequest("shops"), deadline: 10 * time.Second},
	}
	offer(h, rng, 15*time.Second, load...)
	clear(h.outcomes)
	offer(h, rng, 10*time.Second, load...)
	answered := h.delivered("")
	h.run(10 * time.Second)
	h.requireAllEnded()
	h.requirePromptRefusals()
	if p95 := percentile(h.answerTimes("shops"), 0.95); p95 > 3*time.Second {
		t.Errorf("p95 of the answers: %v, want at most 3 s", p95)
	}
	if answered < 2400*95/100 {
		t.Errorf("%d answered in 10 s, want 2400 less 5%%", answered)
	}
}

// Long requests of one team must not starve the short requests of another.
func TestLongAndShort(t *testing.T) {
	h, rng := loadHarness(t, testTeam("long", 1), testTeam("short", 1))
	long := Request{Team: "long", Model: "weave", MaxTokens: 300, Idempotent: true}
	offer(h, rng, 15*time.Second,
		demand{perSecond: 30, request: long, deadline: 12 * time.Second},
		demand{perSecond: 60, request: shortRequest("short"), deadline: 3 * time.Second})
	h.run(15 * time.Second)
	h.requireAllEnded()
	short := h.answerTimes("short")
	if len(short) < 60*15*90/100 {
		t.Errorf("%d short requests answered, want 90%% of 900", len(short))
	}
	if p95 := percentile(short, 0.95); p95 > 1500*time.Millisecond {
		t.Errorf("p95 of the short requests: %v, want at most 1.5 s", p95)
	}
}

// One backend server loses its connections under load and then refuses at once.
// Idempotent requests that it ran must be retried elsewhere, and its fast refusals,
// which make it look idle, must not attract requests that then fail or are refused.
func TestServerFailsThenRefuses(t *testing.T) {
	h, rng := loadHarness(t, testTeam("weavers", 1), testTeam("shops", 1))
	nonIdempotent := shortRequest("shops")
	nonIdempotent.Idempotent = false
	load := []demand{
		{perSecond: 80, request: shortRequest("weavers"), deadline: 5 * time.Second},
		{perSecond: 40, request: nonIdempotent, deadline: 5 * time.Second},
	}
	offer(h, rng, 3*time.Second, load...)
	for i, a := range h.running {
		if a.Server == "s0" {
			h.running[i].ends = h.now
			h.running[i].result = AttemptUnknown
		}
	}
	h.result = func(d Dispatch, r Request) AttemptResult {
		if d.Server == "s0" {
			return AttemptNotRun
		}
		return AttemptCompleted
	}
	h.duration = func(d Dispatch, r Request) time.Duration {
		if d.Server == "s0" {
			return step
		}
		return tenMsPerToken(d, r)
	}
	offer(h, rng, 5*time.Second, load...)
	h.servers(testServers(6, 8, weave1, draft1)[1:]...)
	offer(h, rng, 3*time.Second, load...)
	h.run(5 * time.Second)
	h.requireAllEnded()
	total, failed := len(h.outcomes), 0
	for id, o := range h.outcomes {
		switch c := o.command.(type) {
		case Fail:
			failed++
			if o.team != "shops" {
				t.Errorf("idempotent request %d failed: %+v", id, c)
			}
		case Refuse:
			t.Errorf("request %d refused: %+v", id, c)
		}
	}
	if failed > 8 {
		t.Errorf("%d of %d failed, want at most the 8 that s0 ran", failed, total)
	}
}

// A server that refuses at once looks idle and would attract all requests. Even
// without ejection it must get few, since it is excluded for a short time after
// each refusal.
func TestRefusingServerGetsFewRequests(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Policy.NoVerdicts = true
	h := newHarness(t, cfg)
	h.manifest(1, []Team{testTeam("weavers", 1)}, testVersions())
	h.servers(testServers(6, 8, weave1)...)
	refusals := 0
	h.duration = func(d Dispatch, r Request) time.Duration {
		if d.Server == "s0" {
			return step
		}
		return tenMsPerToken(d, r)
	}
	h.result = func(d Dispatch, _ Request) AttemptResult {
		if d.Server == "s0" {
			refusals++
			return AttemptNotRun
		}
		return AttemptCompleted
	}
	h.tick()
	rng := rand.New(rand.NewPCG(11, 11))
	offer(h, rng, 4*time.Second, demand{perSecond: 120, request: shortRequest("weavers"), deadline: 5 * time.Second})
	h.run(5 * time.Second)
	h.requireAllEnded()
	// The test lasts 20 backoffs. In each, about two requests, and three at most,
	// are sent before the first is refused.
	if refusals > 60 {
		t.Errorf("the refusing server got %d of %d requests, want at most 60", refusals, len(h.outcomes))
	}
}

package decision

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// demand is one team's load: a mean of perSecond requests, like Request.
type demand struct {
	perSecond float64
	request   Request
	// deadline after arrival.
	deadline time.Duration
}

// offer sends Poisson-like arrivals of all demands for a time.
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

// arrivals draws from a binomial with many trials, near Poisson.
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

// paced makes attempts take 10 ms a token.
func tenMsPerToken(d Dispatch, r Request) time.Duration {
	return time.Duration(r.MaxTokens) * 10 * time.Millisecond
}

// drafting is one request of 20 tokens: 200 ms at the fakes' pace.
func draftRequest(team TeamID) Request {
	return Request{Team: team, Model: "weave", MaxTokens: 20, Idempotent: true}
}

// loadWorld has 6 servers of 8 slots: 240 drafting requests a second.
func loadHarness(t *testing.T, teams ...Team) (*harness, *rand.Rand) {
	h := newHarness(t, DefaultConfig())
	h.duration = tenMsPerToken
	h.manifest(1, teams, smallVersions())
	h.servers(serversOf(6, 8, weave1, draft1)...)
	h.tick()
	return h, rand.New(rand.NewPCG(7, 7))
}

// waits lists, sorted, how long a team's callers waited for whole answers.
func (h *harness) answerTimes(team TeamID) []time.Duration {
	var list []time.Duration
	for _, o := range h.outcomes {
		if _, ok := o.command.(Deliver); ok && o.team == team {
			list = append(list, o.waited)
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

// refusedAtOnce fails the test where a refusal came late, or said nothing of
// when to come back.
func (h *harness) requirePromptRefusals() {
	h.t.Helper()
	late, noRetryAfter, atDeadline := 0, 0, 0
	for _, o := range h.outcomes {
		r, ok := o.command.(Refuse)
		if !ok {
			continue
		}
		if o.waited > 2*step {
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
		h.t.Errorf("of %d: %d refused late, %d without a time, %d held to the deadline", total, late, noRetryAfter, atDeadline)
	}
}

// A burst of one team neither delays the other nor is held to its deadline.
func TestBurst(t *testing.T) {
	h, rng := loadHarness(t, teamOf("weavers", 1), teamOf("shops", 1))
	steady := demand{perSecond: 60, request: draftRequest("shops"), deadline: 5 * time.Second}
	offer(h, rng, 2*time.Second, steady)
	for range 2000 {
		r := draftRequest("weavers")
		r.Deadline = h.now.Add(3 * time.Second)
		h.arrive(r)
	}
	offer(h, rng, 6*time.Second, steady)
	h.run(5 * time.Second)
	h.requireAllAnswered()
	h.requirePromptRefusals()
	if p99 := percentile(h.answerTimes("shops"), 0.99); p99 > 600*time.Millisecond {
		t.Errorf("p99 of the steady team: %v", p99)
	}
	// 180 requests a second are free for the burst, for 2.8 s of its deadline.
	if got := h.delivered("weavers"); got < 400 {
		t.Errorf("%d of the burst answered, want at least 400", got)
	}
}

// One team sends 80% of twice the capacity. Teams below their share get all they
// ask for; the large one gets what is left.
func TestSkew(t *testing.T) {
	h, rng := loadHarness(t, teamOf("big", 1), teamOf("a", 1), teamOf("b", 1), teamOf("c", 1))
	var demands []demand
	for _, id := range []TeamID{"a", "b", "c"} {
		demands = append(demands, demand{perSecond: 32, request: draftRequest(id), deadline: 3 * time.Second})
	}
	demands = append(demands, demand{perSecond: 384, request: draftRequest("big"), deadline: 3 * time.Second})
	offer(h, rng, 10*time.Second, demands...)
	h.run(5 * time.Second)
	h.requireAllAnswered()
	h.requirePromptRefusals()
	sent := map[TeamID]int{}
	for _, o := range h.outcomes {
		sent[o.team]++
	}
	for _, id := range []TeamID{"a", "b", "c"} {
		if got := h.delivered(id); got < sent[id]*99/100 {
			t.Errorf("team %s below its share got %d of %d", id, got, sent[id])
		}
		if p99 := percentile(h.answerTimes(id), 0.99); p99 > 600*time.Millisecond {
			t.Errorf("p99 of team %s: %v", id, p99)
		}
	}
	// 144 a second are left of 240; 5% is allowed for the ticks.
	if got := h.delivered("big"); got < 1440*95/100 {
		t.Errorf("big got %d, want 1440", got)
	}
}

// Weights share a saturated pool: 3 to 1.
func TestWeights(t *testing.T) {
	h, rng := loadHarness(t, teamOf("heavy", 3), teamOf("light", 1))
	offer(h, rng, 10*time.Second,
		demand{perSecond: 300, request: draftRequest("heavy"), deadline: 2 * time.Second},
		demand{perSecond: 300, request: draftRequest("light"), deadline: 2 * time.Second})
	h.run(5 * time.Second)
	h.requireAllAnswered()
	h.requirePromptRefusals()
	ratio := float64(h.delivered("heavy")) / float64(h.delivered("light"))
	if ratio < 2.7 || ratio > 3.3 {
		t.Errorf("ratio %.2f, want about 3", ratio)
	}
}

// At twice saturation goodput is at least 95% of that at saturation.
func TestSaturationGoodput(t *testing.T) {
	at := func(factor float64) int {
		h, rng := loadHarness(t, teamOf("weavers", 1), teamOf("shops", 1))
		half := 120 * factor
		offer(h, rng, 15*time.Second,
			demand{perSecond: half, request: draftRequest("weavers"), deadline: 2 * time.Second},
			demand{perSecond: half, request: draftRequest("shops"), deadline: 2 * time.Second})
		h.run(4 * time.Second)
		h.requireAllAnswered()
		h.requirePromptRefusals()
		return h.delivered("")
	}
	once, twice, tenfold := at(1), at(2), at(10)
	if twice*100 < once*95 || tenfold*100 < once*95 {
		t.Errorf("goodput %d at saturation, %d at twice, %d at ten times", once, twice, tenfold)
	}
}

// A queue that stands is kept short: callers of an overloaded pool wait for a part
// of their time only, and as many are answered.
func TestStandingQueueIsShort(t *testing.T) {
	h, rng := loadHarness(t, teamOf("weavers", 1), teamOf("shops", 1))
	load := []demand{
		{perSecond: 240, request: draftRequest("weavers"), deadline: 10 * time.Second},
		{perSecond: 240, request: draftRequest("shops"), deadline: 10 * time.Second},
	}
	offer(h, rng, 15*time.Second, load...)
	clear(h.outcomes)
	offer(h, rng, 10*time.Second, load...)
	answered := h.delivered("")
	h.run(10 * time.Second)
	h.requireAllAnswered()
	h.requirePromptRefusals()
	if p95 := percentile(h.answerTimes("shops"), 0.95); p95 > 3*time.Second {
		t.Errorf("p95 of the answers: %v of 10 s", p95)
	}
	if answered < 2400*95/100 {
		t.Errorf("%d answered in 10 s, want 2400", answered)
	}
}

// Long work of one team does not starve the short work of another.
func TestLongAndShort(t *testing.T) {
	h, rng := loadHarness(t, teamOf("long", 1), teamOf("short", 1))
	long := Request{Team: "long", Model: "weave", MaxTokens: 300, Idempotent: true}
	offer(h, rng, 15*time.Second,
		demand{perSecond: 30, request: long, deadline: 12 * time.Second},
		demand{perSecond: 60, request: draftRequest("short"), deadline: 3 * time.Second})
	h.run(15 * time.Second)
	h.requireAllAnswered()
	short := h.answerTimes("short")
	if len(short) < 60*15*90/100 {
		t.Errorf("%d short answers of about 900", len(short))
	}
	if p95 := percentile(short, 0.95); p95 > 1500*time.Millisecond {
		t.Errorf("p95 of short work: %v", p95)
	}
}

// One backend server dies under load: what it ran is run elsewhere where it may
// be, and its fast refusals draw no work.
func TestServerDies(t *testing.T) {
	h, rng := loadHarness(t, teamOf("weavers", 1), teamOf("shops", 1))
	booking := draftRequest("shops")
	booking.Idempotent = false
	load := []demand{
		{perSecond: 80, request: draftRequest("weavers"), deadline: 5 * time.Second},
		{perSecond: 40, request: booking, deadline: 5 * time.Second},
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
	h.servers(serversOf(6, 8, weave1, draft1)[1:]...)
	offer(h, rng, 3*time.Second, load...)
	h.run(5 * time.Second)
	h.requireAllAnswered()
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

// A server that refuses at once looks idle. Also where nothing ejects it, it is
// left alone for a moment after each refusal and draws little work.
func TestRefusingServerDrawsLittleWork(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Policy.NoVerdicts = true
	h := newHarness(t, cfg)
	h.manifest(1, []Team{teamOf("weavers", 1)}, smallVersions())
	h.servers(serversOf(6, 8, weave1)...)
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
	offer(h, rng, 4*time.Second, demand{perSecond: 120, request: draftRequest("weavers"), deadline: 5 * time.Second})
	h.run(5 * time.Second)
	h.requireAllAnswered()
	// 20 times the backoff; about two go there before the first is refused.
	if refusals > 60 {
		t.Errorf("%d of %d requests went to the refusing server", refusals, len(h.outcomes))
	}
}

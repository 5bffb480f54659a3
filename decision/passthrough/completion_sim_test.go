package passthrough

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The engines of these tests have 12 slots and one of three speeds. They process one prompt after the other, 100 tokens
// per millisecond with the small model and 10 with the large one, and generate an event of 10 tokens every 19 ms, slower
// while they process a prompt.
const (
	endSlots      = 12
	endStep       = 10 * time.Millisecond
	endEventMS    = 19.0
	endTokens     = 10
	endSmallSpeed = 100.0
	endLargeSpeed = 10.0
)

// endKind is a kind of requests: their share of all, deadline, and ranges of prompt and response lengths in tokens.
type endKind struct {
	name                     string
	share                    float64
	route                    *Route
	minPrompt, maxPrompt     int
	minResponse, maxResponse int
}

// endTally counts the outcomes of a kind's requests.
type endTally struct{ sent, inTime, late, refused, failed int }

// endRequest is a caller's request, endJob its attempt at an engine.
type endRequest struct {
	kind              int
	h                 *harness
	id                RequestID
	hard              bool
	prompt, events    int
	done              int
	deadline, arrived time.Time
	queueUntil        time.Time
	waiting           bool
	job               *endJob
}

type endJob struct {
	r         *endRequest
	engine    *endEngine
	model     string
	sent      time.Time
	prefillMS float64
	progress  float64 // of the events of this attempt
	events    int     // whole ones
	first     time.Time
}

type endEngine struct {
	id             string
	speed          float64
	queue, running []*endJob
}

// factor is how many times as long work takes on the engine's machine: a seventh of the time, for 300 ms, 2.5 times as long
// as usual.
func (e *endEngine) factor(now time.Time) float64 {
	const busy, cycle = 300 * time.Millisecond, 2100 * time.Millisecond
	if time.Duration((now.UnixNano()+int64(hashString(e.id)%uint64(cycle)))%int64(cycle)) < busy {
		return 2.5 * e.speed
	}
	return e.speed
}

// endSim simulates callers, instances and engines on one clock.
type endSim struct {
	// rng draws the requests, which are the same with and without forecasts; draws the rest.
	rng, draws *rand.Rand
	kinds      []endKind
	tallies    []endTally
	instances  []*harness
	handled    map[*harness]int
	engines    map[string]*endEngine
	list       []*endEngine
	open       []*endRequest
	byID       map[*harness]map[RequestID]*endRequest
	now        time.Time
	exchanged  time.Time
	checked    time.Time
	// second and repeated count attempts beyond the first of a request, and those among them after one was given up.
	second, givenUp int
	// refusedEarly counts refusals that the least loaded engine could have served.
	refusedEarly int
}

func endRoute(name string, timeout, target time.Duration) *Route {
	return &Route{Name: name, Kind: KindStream, Resumable: true, MaxAttempts: 3, Timeout: timeout, TargetLatency: target,
		TargetGap: 800 * time.Millisecond, Models: []string{"small", "large"}, Backends: []Backend{{"llm", 1}}}
}

// endKinds are long and short streams, and short requests with little time.
func endKinds() []endKind {
	return []endKind{
		{"long", 0.3, endRoute("long", 18*time.Second, 4*time.Second), 4000, 14000, 300, 1120},
		{"middle", 0.3, endRoute("middle", 14*time.Second, 4*time.Second), 500, 3000, 100, 500},
		{"short", 0.4, endRoute("short", 4*time.Second, 5*time.Second), 500, 2500, 20, 100},
	}
}

// newEndSim returns a simulation of instances before engines. tokensPerEvent of 0 switches the forecasts off.
func newEndSim(t *testing.T, instances, engines, tokensPerEvent int, seed uint64) *endSim {
	s := &endSim{rng: rand.New(rand.NewPCG(seed, 3)), draws: rand.New(rand.NewPCG(seed, 4)), kinds: endKinds(), handled: map[*harness]int{}, engines: map[string]*endEngine{},
		byID: map[*harness]map[RequestID]*endRequest{}, now: testStart}
	s.tallies = make([]endTally, len(s.kinds))
	c := Config{Version: 1, Services: []Service{{Name: "llm", Slots: endSlots, TokensPerEvent: tokensPerEvent}}}
	for _, k := range s.kinds {
		c.Routes = append(c.Routes, *k.route)
	}
	list := servers("llm", engines, endSlots)
	for i, srv := range list {
		e := &endEngine{id: srv.ID, speed: []float64{0.6, 1, 1.6}[i%3]}
		s.engines[srv.ID], s.list = e, append(s.list, e)
	}
	for i := range instances {
		h := newHarness(t, Settings{Seed: uint64(i) + 1000*seed, RetryRatio: 0.9, RetrySlack: 50, RetryWindow: 10 * time.Second, SessionTTL: time.Second})
		h.tick(FleetSize{Instances: instances}, Configured{NewIndex(c)}, ServersListed{list})
		s.instances, s.byID[h] = append(s.instances, h), map[RequestID]*endRequest{}
	}
	return s
}

// simulate runs the simulation with a number of requests per second and engine.
func (s *endSim) simulate(length time.Duration, perEngine float64) {
	due := 0.0
	for until := s.now.Add(length); s.now.Before(until); {
		s.now = s.now.Add(endStep)
		for _, h := range s.instances {
			h.now = s.now
		}
		for _, e := range s.list {
			s.step(e)
		}
		s.expire()
		s.exchange()
		s.checkAttempts()
		for due += perEngine * float64(len(s.list)) * endStep.Seconds(); due >= 1; due-- {
			s.arrive()
		}
	}
}

func (s *endSim) arrive() {
	draw, kind := s.rng.Float64(), 0
	for draw >= s.kinds[kind].share && kind < len(s.kinds)-1 {
		draw -= s.kinds[kind].share
		kind++
	}
	k := s.kinds[kind]
	between := func(a, b int) int { return a + s.rng.IntN(b-a+1) }
	h := s.instances[s.rng.IntN(len(s.instances))]
	tokens := between(k.minResponse, k.maxResponse)
	estimate := int(float64(tokens) * math.Exp(0.4*s.rng.NormFloat64()))
	r := &endRequest{kind: kind, h: h, id: h.next + 1, hard: s.rng.IntN(2) == 0, prompt: between(k.minPrompt, k.maxPrompt),
		events: (tokens + endTokens - 1) / endTokens, arrived: s.now, waiting: true}
	r.deadline = s.now.Add(time.Duration((0.85 + 0.15*s.rng.Float64()) * float64(k.route.Timeout)))
	r.queueUntil = s.now.Add(MaxQueueWait(&Request{TargetTime: s.now.Add(k.route.TargetLatency), Deadline: r.deadline}, s.now))
	s.open = append(s.open, r)
	s.byID[h][r.id] = r
	s.tallies[kind].sent++
	h.arrive(k.route, func(q *Request) {
		q.Deadline, q.PromptTokens, q.ExpectedTokens, q.MaxTokens = r.deadline, r.prompt, max(estimate, 1), k.maxResponse
	})
	s.carryOut(h)
}

// carryOut carries out an instance's commands.
func (s *endSim) carryOut(h *harness) {
	for s.handled[h] < len(h.allCommands) {
		c := h.allCommands[s.handled[h]]
		s.handled[h]++
		switch c := c.(type) {
		case Dispatch:
			r := s.byID[h][c.Request]
			if c.Attempt > 1 {
				s.second++
			}
			r.waiting = false
			speed := endSmallSpeed
			if c.Model == "large" {
				speed = endLargeSpeed
			}
			e := s.engines[c.Server.ID]
			r.job = &endJob{r: r, engine: e, model: c.Model, sent: s.now, prefillMS: float64(r.prompt+r.done*endTokens) / speed}
			e.queue = append(e.queue, r.job)
		case Refuse:
			r := s.byID[h][c.Request]
			s.tallies[r.kind].refused++
			if c.Reason == ReasonNoTime && s.couldServe(r) {
				s.refusedEarly++
			}
			s.forget(r)
		case Finish:
			r := s.byID[h][c.Request]
			s.tallies[r.kind].failed++
			s.forget(r)
		}
	}
}

// couldServe reports whether an idle engine of the highest speed could serve the request with the small model.
func (s *endSim) couldServe(r *endRequest) bool {
	ms := (float64(r.prompt)/endSmallSpeed + float64(r.events)*endEventMS) * 0.6
	return time.Duration(ms*float64(time.Millisecond)) < r.deadline.Sub(s.now)
}

func (s *endSim) forget(r *endRequest) {
	delete(s.byID[r.h], r.id)
	s.removeJob(r)
	s.open = slices.DeleteFunc(s.open, func(o *endRequest) bool { return o == r })
}

func (s *endSim) removeJob(r *endRequest) {
	if j := r.job; j != nil {
		is := func(o *endJob) bool { return o == j }
		j.engine.queue, j.engine.running = slices.DeleteFunc(j.engine.queue, is), slices.DeleteFunc(j.engine.running, is)
		r.job = nil
	}
}

// expire ends requests at their deadline, and waits in queues.
func (s *endSim) expire() {
	for _, r := range slices.Clone(s.open) {
		switch {
		case !s.now.Before(r.deadline):
			s.tallies[r.kind].late++
			s.forget(r)
			r.h.tick(RequestCancelled{r.id})
			s.carryOut(r.h)
		case r.waiting && !s.now.Before(r.queueUntil):
			r.queueUntil = r.deadline
			r.h.tick(QueueWaitExpired{r.id})
			s.carryOut(r.h)
		}
	}
}

// checkAttempts does what idleWatch does in operation.
func (s *endSim) checkAttempts() {
	if s.now.Sub(s.checked) < 200*time.Millisecond {
		return
	}
	s.checked = s.now
	for _, r := range slices.Clone(s.open) {
		j := r.job
		if j == nil {
			continue
		}
		p := Progress{Since: s.now.Sub(j.sent), Begun: !j.first.IsZero(), Events: j.events}
		if j.events > 1 {
			p.Interval = s.now.Sub(j.first) / time.Duration(j.events-1)
		}
		if _, ok := r.h.world.GivesUp(s.now, r.id, p); ok {
			s.givenUp++
			s.removeJob(r)
			r.done += j.events
			r.h.tick(AttemptEnded{Request: r.id, Result: Broken, GivenUp: true, Begun: r.done > 0, Events: j.events})
			s.carryOut(r.h)
		}
	}
}

// exchange gives each instance the loads of all others at the engines, and what they know of speeds.
func (s *endSim) exchange() {
	if s.now.Sub(s.exchanged) < exchangeInterval {
		return
	}
	s.exchanged = s.now
	sums := map[uint32]PeerLoad{}
	own := make([]map[uint32]PeerLoad, len(s.instances))
	for i, h := range s.instances {
		own[i] = map[uint32]PeerLoad{}
		for _, load := range h.world.OwnLoads() {
			own[i][load.Key] = load
			sum := sums[load.Key]
			sums[load.Key] = PeerLoad{Key: load.Key, Requests: sum.Requests + load.Requests, PrefillTime: sum.PrefillTime + load.PrefillTime}
		}
	}
	for i, h := range s.instances {
		others := maps.Clone(sums)
		for key, load := range own[i] {
			sum := others[key]
			others[key] = PeerLoad{Key: key, Requests: sum.Requests - load.Requests, PrefillTime: sum.PrefillTime - load.PrefillTime}
		}
		h.tick(PeerLoads{Loads: slices.Collect(maps.Values(others)), Instances: len(s.instances) - 1})
		s.carryOut(h)
	}
}

// step simulates one step of an engine.
func (s *endSim) step(e *endEngine) {
	ms := float64(endStep.Milliseconds()) / e.factor(s.now)
	prefilled, decode := 0.0, ms
	for prefilled < ms && len(e.queue) > 0 && len(e.running) < endSlots {
		j := e.queue[0]
		used := min(ms-prefilled, j.prefillMS)
		j.prefillMS -= used
		prefilled += used
		decode -= used * (1 - decodeSpeedDuringPrefill[j.model])
		if j.prefillMS > 0 {
			break
		}
		e.queue = e.queue[1:]
		s.begin(e, j)
	}
	for _, j := range slices.Clone(e.running) {
		s.generate(j, decode)
	}
}

// begin sends the headers of a response.
func (s *endSim) begin(e *endEngine, j *endJob) {
	r := j.r
	e.running = append(e.running, j)
	j.first = s.now
	r.h.tick(FirstByte{Request: r.id, After: s.now.Sub(j.sent), HasLoad: true,
		Load: Load{Running: len(e.running), Waiting: len(e.queue), Slots: endSlots, Slowdown: e.factor(s.now)}})
	confidence := 0.6 + 0.3*s.draws.Float64()
	if r.hard && j.model == "small" {
		confidence -= 0.5
	}
	if r.done == 0 && confidence < r.h.world.ConfidenceThreshold(r.id) {
		s.removeJob(r)
		r.h.tick(AttemptEnded{Request: r.id, Result: Dropped, Confidence: confidence})
	}
	s.carryOut(r.h)
}

// generate generates for a time.
func (s *endSim) generate(j *endJob, ms float64) {
	r := j.r
	if r.job != j {
		return
	}
	j.progress += ms / endEventMS
	before := j.events
	j.events = min(int(j.progress), r.events-r.done)
	if before < 6 && j.events >= 6 {
		r.h.tick(EventIntervalMeasured{Request: r.id, EventInterval: s.now.Sub(j.first) / 5})
	}
	if r.done+j.events < r.events {
		return
	}
	s.tallies[r.kind].inTime++
	interval := s.now.Sub(j.first) / time.Duration(max(j.events-1, 1))
	events := j.events
	s.forget(r)
	r.h.tick(AttemptEnded{Request: r.id, Result: Completed, EventInterval: interval, Events: events})
	s.carryOut(r.h)
}

// simulateDay simulates a usual load, a crest at which engines are full, and the time after it.
func simulateDay(t *testing.T, instances, engines, tokensPerEvent int, seed uint64, usual, crest float64) *endSim {
	s := newEndSim(t, instances, engines, tokensPerEvent, seed)
	s.simulate(8*time.Second, usual)
	s.simulate(8*time.Second, crest)
	s.simulate(8*time.Second, usual)
	s.simulate(18*time.Second, 0)
	return s
}

// endLoads are sizes at which the instances see different parts of the load: each has from an eighth of it to a request
// every few seconds.
var endLoads = []struct{ instances, engines int }{{8, 16}, {70, 24}, {300, 24}, {880, 24}}

// TestMoreEndInTimeWithForecasts guards against streams and short requests that wait at engines where they cannot end
// before their deadline, at a crest, and against refusals of what could have been served.
func TestMoreEndInTimeWithForecasts(t *testing.T) {
	t.Parallel()
	for _, n := range endLoads {
		without, with := 0, 0
		for seed := range uint64(2) {
			off := simulateDay(t, n.instances, n.engines, 0, seed, 3, 7)
			on := simulateDay(t, n.instances, n.engines, endTokens, seed, 3, 7)
			for i := range on.tallies {
				without += off.tallies[i].sent - off.tallies[i].inTime
				with += on.tallies[i].sent - on.tallies[i].inTime
			}
			if on.refusedEarly > 0 {
				t.Errorf("%d instances, seed %d: %d requests refused that an idle engine could have served, want none", n.instances, seed, on.refusedEarly)
			}
			t.Logf("%d instances, seed %d: without %+v, with %+v, given up %d", n.instances, seed, off.tallies, on.tallies, on.givenUp)
		}
		if with >= without {
			t.Errorf("%d instances: %d requests did not end in time with forecasts, %d without; want fewer", n.instances, with, without)
		}
	}
}

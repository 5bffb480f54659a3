package passthrough

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The engines of these tests process one prompt after the other, 300 tokens per millisecond with the
// small model and 30 with the large one, and generate between the prompts' chunks of 4,000 tokens.
// The small model's response is good for one request in two, and its confidence shows which.
const (
	simEngines = 6
	simSlots   = 128
	simStep    = 5 * time.Millisecond
	simEvents  = 8 // of 15 ms each
	simTokens  = 2000
	// simCapacity is how many requests per second the engines can serve with the large model for
	// every second request: each takes 6.7 ms plus half of 67 ms.
	simCapacity = 150.0
)

// simCallerKind is a kind of callers.
type simCallerKind struct {
	team     string
	priority int
	// rate is in requests per second.
	rate float64
	// retries is how often a refused caller retries at once, whatever its retry-after time.
	retries int
}

// simTally counts the outcomes of a kind's requests.
type simTally struct {
	sent, inTarget, late, weak, refused, failed int
	// retryAfters are the retry-after times of refused callers.
	retryAfters []time.Duration
}

// value is 1 for a good response in time, half for a late one, a twentieth for a weak one.
func (t simTally) value() float64 {
	return float64(t.inTarget) + 0.5*float64(t.late) + 0.05*float64(t.weak)
}

func (t simTally) served() float64 {
	return float64(t.inTarget+t.late+t.weak) / float64(max(t.sent, 1))
}

// simJob is an attempt at an engine.
type simJob struct {
	instance  *harness
	id        RequestID
	model     string
	sent      time.Time
	prefillMS float64 // remaining prefill
	decodeMS  float64 // remaining generation
	// events is the number of events that the engine generates, from began on.
	events float64
	began  time.Time
	// version is that of the engine's software; slow is true if the engine is slow with this job.
	version string
	slow    bool
}

// simEngine is one engine.
type simEngine struct {
	queue   []*simJob
	running []*simJob
}

// simRequest is a caller's request.
type simRequest struct {
	kind          int
	hard          bool
	target        time.Time
	deadline      time.Time
	queueDeadline time.Time
	waiting       bool
	retries       int
}

// sim simulates callers, instances and engines on one clock.
type sim struct {
	rng       *rand.Rand
	route     *Route
	instances []*harness
	engines   map[string]*simEngine
	kinds     []simCallerKind
	tallies   []simTally
	requests  map[*harness]map[RequestID]*simRequest
	handled   map[*harness]int
	// oldest is the first request that may still be open.
	oldest map[*harness]RequestID
	now    time.Time
	// tokens is the length of prompts.
	tokens int
	// exchangesLoads is true if the instances report their loads to each other every
	// exchangeInterval.
	exchangesLoads bool
	exchangedAt    time.Time
	// rollout is a simulated roll-out, nil for none.
	rollout *simRollout
}

func newSim(t *testing.T, instances int, kinds []simCallerKind) *sim {
	t.Helper()
	return newSimOf(t, instances, simEngines, kinds)
}

func newSimOf(t *testing.T, instances, engines int, kinds []simCallerKind) *sim {
	t.Helper()
	s := &sim{rng: rand.New(rand.NewPCG(7, 7)), kinds: kinds, tallies: make([]simTally, len(kinds)),
		engines: map[string]*simEngine{}, requests: map[*harness]map[RequestID]*simRequest{}, handled: map[*harness]int{}, oldest: map[*harness]RequestID{}, now: testStart, tokens: simTokens}
	s.route = streamRoute()
	s.route.TargetLatency, s.route.Timeout = 2*time.Second, 8*time.Second
	s.route.Models = []string{"small", "large"}
	list := servers("llm", engines, simSlots)
	for _, srv := range list {
		s.engines[srv.ID] = &simEngine{}
	}
	for i := range instances {
		h := newHarness(t, Settings{Seed: uint64(i), RetryRatio: 0.9, RetrySlack: 50, RetryWindow: 10 * time.Second, SessionTTL: time.Second})
		h.tick(FleetSize{Instances: instances})
		c := Config{Version: 1, Services: []Service{{Name: "llm", Slots: simSlots}}, Routes: []Route{*s.route}}
		h.tick(Configured{NewIndex(c)})
		h.tick(ServersListed{list})
		s.instances = append(s.instances, h)
		s.requests[h] = map[RequestID]*simRequest{}
	}
	return s
}

// setSeed sets the seed of the random choices, for another run of the same simulation.
func (s *sim) setSeed(seed uint64) { s.rng = rand.New(rand.NewPCG(7, 7+seed)) }

// simulate runs the simulation for a time, at the kinds' rates times factor.
func (s *sim) simulate(length time.Duration, factor float64) {
	due := make([]float64, len(s.kinds))
	for until := s.now.Add(length); s.now.Before(until); {
		s.now = s.now.Add(simStep)
		for _, h := range s.instances {
			h.now = s.now
		}
		for _, srv := range s.instances[0].world.services["llm"].servers {
			s.stepEngine(s.engines[srv.ID])
		}
		s.expireRequests()
		s.exchangeLoads()
		if s.rollout != nil {
			s.rollout.step()
		}
		for i, k := range s.kinds {
			for due[i] += k.rate * factor * simStep.Seconds(); due[i] >= 1; due[i]-- {
				s.arrive(i, k.retries, s.rng.IntN(2) == 0)
			}
		}
	}
}

// exchangeInterval is how often the instances report their loads to each other, and the delay of the
// reports.
const exchangeInterval = 150 * time.Millisecond

// exchangeLoads gives each instance the load of all others at the engines.
func (s *sim) exchangeLoads() {
	if !s.exchangesLoads || s.now.Sub(s.exchangedAt) < exchangeInterval {
		return
	}
	s.exchangedAt = s.now
	own := make([][]PeerLoad, len(s.instances))
	for i, h := range s.instances {
		own[i] = h.world.OwnLoads()
	}
	for i, h := range s.instances {
		sums := map[uint32]PeerLoad{}
		for j, loads := range own {
			for _, load := range loads {
				if j != i {
					sum := sums[load.Key]
					sums[load.Key] = PeerLoad{Key: load.Key, Requests: sum.Requests + load.Requests, PrefillTime: sum.PrefillTime + load.PrefillTime}
				}
			}
		}
		h.tick(PeerLoads{Loads: slices.Collect(maps.Values(sums)), Instances: len(s.instances) - 1})
		s.carryOut(h)
	}
}

func (s *sim) arrive(kind, retries int, hard bool) {
	h := s.instances[s.rng.IntN(len(s.instances))]
	s.tallies[kind].sent++
	r := &simRequest{kind: kind, hard: hard, retries: retries, target: s.now.Add(s.route.TargetLatency), deadline: s.now.Add(s.route.Timeout), waiting: true}
	r.queueDeadline = s.now.Add(MaxQueueWait(&Request{TargetTime: r.target, Deadline: r.deadline}, s.now))
	s.requests[h][h.next+1] = r
	h.arrive(s.route, func(q *Request) {
		q.Team, q.Priority, q.PromptTokens, q.MaxTokens = s.kinds[kind].team, s.kinds[kind].priority, s.tokens, 4*simEvents
		q.PrefixHash, q.PrefixTokens = uint64(1+s.rng.IntN(200)), s.tokens/10
		if s.rollout != nil {
			q.RolloutPosition = s.rng.Float64()
		}
	})
	s.carryOut(h)
}

// expireRequests ends expired queue waits and requests whose deadline has passed.
func (s *sim) expireRequests() {
	for _, h := range s.instances {
		for s.oldest[h] <= h.next && s.requests[h][s.oldest[h]] == nil {
			s.oldest[h]++
		}
		for id := s.oldest[h]; id <= h.next; id++ {
			r := s.requests[h][id]
			if r == nil {
				continue
			}
			switch {
			case !s.now.Before(r.deadline):
				s.tallies[r.kind].failed++
				delete(s.requests[h], id)
				s.removeJob(h, id)
				h.tick(RequestCancelled{id})
			case r.waiting && !s.now.Before(r.queueDeadline):
				r.queueDeadline = r.deadline
				h.tick(QueueWaitExpired{id})
			}
		}
		s.carryOut(h)
	}
}

// removeJob removes the request's job from all engines.
func (s *sim) removeJob(h *harness, id RequestID) {
	keep := func(list []*simJob) []*simJob {
		out := list[:0]
		for _, j := range list {
			if j.instance != h || j.id != id {
				out = append(out, j)
			}
		}
		return out
	}
	for _, e := range s.engines {
		e.queue, e.running = keep(e.queue), keep(e.running)
	}
}

// carryOut carries out an instance's commands.
func (s *sim) carryOut(h *harness) {
	for s.handled[h] < len(h.allCommands) {
		c := h.allCommands[s.handled[h]]
		s.handled[h]++
		switch c := c.(type) {
		case Dispatch:
			s.requests[h][c.Request].waiting = false
			perToken := 1.0 / 300
			if c.Model == "large" {
				perToken = 1.0 / 30
			}
			e := s.engines[c.Server.ID]
			j := &simJob{instance: h, id: c.Request, model: c.Model, sent: s.now, version: c.Server.Version,
				prefillMS: float64(s.tokens) * perToken, decodeMS: simEvents * 15 * (0.5 + s.rng.Float64())}
			j.events = j.decodeMS / 15
			if s.rollout != nil {
				s.rollout.sent(j)
			}
			e.queue = append(e.queue, j)
		case Observation:
			if s.rollout != nil {
				s.rollout.observed(c)
			}
		case Refuse:
			r := s.requests[h][c.Request]
			delete(s.requests[h], c.Request)
			t := &s.tallies[r.kind]
			t.refused++
			t.retryAfters = append(t.retryAfters, c.RetryAfter)
			if r.retries > 0 {
				s.arrive(r.kind, r.retries-1, r.hard)
			}
		case Finish:
			r := s.requests[h][c.Request]
			delete(s.requests[h], c.Request)
			s.tallies[r.kind].failed++
		}
	}
}

// decodeSpeedDuringPrefill is the relative speed at which an engine generates during prefill, by the
// model of the prompt: the prefill of a chunk is added to each generation step of 4 ms.
var decodeSpeedDuringPrefill = map[string]float64{"small": 0.25, "large": 0.03}

// stepEngine simulates one step of an engine.
func (s *sim) stepEngine(e *simEngine) {
	step := float64(simStep.Milliseconds())
	decode := step
	for left := step; left > 0 && len(e.queue) > 0; {
		j := e.queue[0]
		decode = step * decodeSpeedDuringPrefill[j.model]
		used := min(left, j.prefillMS)
		j.prefillMS -= used
		left -= used
		if j.prefillMS > 0 {
			break
		}
		e.queue = e.queue[1:]
		s.begin(e, j)
	}
	kept := e.running[:0]
	for _, j := range e.running {
		j.decodeMS -= decode
		if j.decodeMS > 0 {
			kept = append(kept, j)
			continue
		}
		s.complete(j)
	}
	e.running = kept
}

// begin sends the headers of a response.
func (s *sim) begin(e *simEngine, j *simJob) {
	r := s.requests[j.instance][j.id]
	if r == nil {
		return
	}
	load := Load{Running: len(e.running) + 1, Waiting: len(e.queue), Slots: simSlots}
	j.instance.tick(FirstByte{Request: j.id, After: s.now.Sub(j.sent) + 50*time.Millisecond, Load: load, HasLoad: true})
	weak := r.hard && j.model == "small"
	confidence := 0.6 + 0.3*s.rng.Float64()
	if weak {
		confidence -= 0.5
	}
	if confidence < j.instance.world.ConfidenceThreshold(j.id) {
		j.instance.tick(AttemptEnded{Request: j.id, Result: Dropped})
		s.carryOut(j.instance)
		return
	}
	if s.now.After(r.target) {
		r.target = time.Time{} // late
	}
	j.began = s.now
	e.running = append(e.running, j)
	s.carryOut(j.instance)
}

func (s *sim) complete(j *simJob) {
	r := s.requests[j.instance][j.id]
	if r == nil {
		return
	}
	delete(s.requests[j.instance], j.id)
	t := &s.tallies[r.kind]
	switch {
	case r.hard && j.model == "small":
		t.weak++
	case r.target.IsZero():
		t.late++
	default:
		t.inTarget++
	}
	if s.rollout != nil {
		s.rollout.completed(j)
	}
	j.instance.tick(AttemptEnded{Request: j.id, Result: Completed, EventInterval: seconds(s.now.Sub(j.began).Seconds() / j.events)})
	s.carryOut(j.instance)
}

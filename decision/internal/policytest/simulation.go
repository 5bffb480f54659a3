package policytest

import (
	"math/rand/v2"
	"time"

	"masticplank.example/decision"
)

// Policy makes the decisions of one instance; *decision.World is the real one.
type Policy interface {
	Tick(now time.Time, in []decision.Event) []decision.Command
}

// start is the time of the first tick.
var start = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

// The intervals and delays of the model. Load reports are sent every
// reportInterval and arrive after reportLag, cache events likewise every
// cacheInterval after cacheLag, and verdicts arrive at the peers after peerLag.
// cacheEventLoss is the probability that an instance misses a cache event. A
// rating takes ratingTimeMin plus a uniformly distributed time up to
// ratingTimeSpan. After the last arrival the simulation runs on for drainTime.
const (
	tick           = 10 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	reportLag      = 250 * time.Millisecond
	cacheInterval  = 200 * time.Millisecond
	cacheLag       = 300 * time.Millisecond
	cacheEventLoss = 0.05
	peerLag        = time.Second
	ratingTimeMin  = 40 * time.Millisecond
	ratingTimeSpan = 80 * time.Millisecond
	drainTime      = 30 * time.Second
)

// pendingEvent is an event that has not reached its instance yet.
type pendingEvent struct {
	at       time.Duration
	instance int
	event    decision.Event
}

// simulation is one run of one policy under one load.
type simulation struct {
	load       Load
	rng        *rand.Rand
	policies   []Policy
	engines    []*engine
	engineByID map[decision.ServerID]*engine
	// now is the time since start.
	now time.Duration
	// inbox holds the events for the next tick of each instance.
	inbox [][]decision.Event
	// pending holds events by the tick in which they arrive.
	pending map[time.Duration][]pendingEvent
	// callers holds the requests without an answer.
	callers map[decision.RequestID]*caller
	results *Results
}

// Run runs the load with one policy per instance, made by newPolicy, and returns
// the results.
func Run(l Load, seed uint64, newPolicy func(seed uint64) Policy) *Results {
	sim := &simulation{
		load:       l,
		rng:        rand.New(rand.NewPCG(seed, 0xbe4c)),
		engineByID: make(map[decision.ServerID]*engine),
		inbox:      make([][]decision.Event, l.Instances),
		pending:    make(map[time.Duration][]pendingEvent),
		callers:    make(map[decision.RequestID]*caller),
		results:    newResults(l),
	}
	servers := l.servers()
	for _, s := range servers {
		e := newEngine(s)
		sim.engines = append(sim.engines, e)
		sim.engineByID[s.ID] = e
	}
	for i := range l.Instances {
		sim.policies = append(sim.policies, newPolicy(seed*100+uint64(i)+1))
		sim.inbox[i] = []decision.Event{
			decision.FreshnessChanged{Fresh: true},
			decision.ManifestApplied{Generation: 1, Teams: teams(), Versions: versions()},
			decision.ServersListed{Servers: servers},
		}
	}
	sim.run(l.jobs(seed))
	return sim.results
}

func (sim *simulation) run(jobs []*job) {
	for sim.now = 0; sim.now < sim.load.Duration+drainTime; sim.now += tick {
		sim.applyFaults()
		for len(jobs) > 0 && jobs[0].arrived <= sim.now {
			sim.arrive(jobs[0])
			jobs = jobs[1:]
		}
		sim.publishReports()
		for _, p := range sim.pending[sim.now] {
			sim.inbox[p.instance] = append(sim.inbox[p.instance], p.event)
		}
		delete(sim.pending, sim.now)
		for _, e := range sim.engines {
			e.step(tick, sim.onFirstToken, sim.onAttemptEnd)
		}
		sim.tickPolicies()
	}
	for _, c := range sim.callers {
		sim.results.recordUnanswered(c)
	}
	for _, e := range sim.engines {
		sim.results.promptBlocks += e.lookups
		sim.results.cachedBlocks += e.hits
	}
}

// applyFaults slows servers down as the load specifies.
func (sim *simulation) applyFaults() {
	if sim.load.SlowFactor == 0 || sim.now != sim.load.SlowFrom {
		return
	}
	sim.engines[0].slowFactor = sim.load.SlowFactor
	sim.engines[sim.load.Small].slowFactor = sim.load.SlowFactor
}

func (sim *simulation) arrive(j *job) {
	sim.callers[j.ID] = &caller{job: j, held: map[decision.AttemptID]bool{}}
	sim.results.recordArrival(j)
	sim.send(j.instance, decision.RequestArrived{Request: j.Request})
}

// send delivers an event to an instance in its next tick.
func (sim *simulation) send(instance int, e decision.Event) {
	sim.inbox[instance] = append(sim.inbox[instance], e)
}

// sendAfter delivers an event to an instance after a delay, in the next tick at
// the earliest.
func (sim *simulation) sendAfter(instance int, e decision.Event, after time.Duration) {
	at := (sim.now + after).Truncate(tick)
	if at <= sim.now {
		at = sim.now + tick
	}
	sim.pending[at] = append(sim.pending[at], pendingEvent{at, instance, e})
}

// publishReports sends load reports and cache events with their delays and
// losses.
func (sim *simulation) publishReports() {
	for _, e := range sim.engines {
		if sim.now%reportInterval == 0 {
			ev := decision.LoadReported{Server: e.ID, Running: len(e.running), Queued: len(e.queued), At: start.Add(sim.now)}
			for i := range sim.policies {
				sim.sendAfter(i, ev, reportLag)
			}
		}
		if sim.now%cacheInterval != 0 {
			continue
		}
		ev, ok := e.cacheEvent()
		if !ok {
			continue
		}
		for i := range sim.policies {
			if sim.rng.Float64() >= cacheEventLoss {
				sim.sendAfter(i, ev, cacheLag)
			}
		}
	}
}

// tickPolicies ticks the policy of every instance and executes its commands.
func (sim *simulation) tickPolicies() {
	for i, p := range sim.policies {
		in := sim.inbox[i]
		sim.inbox[i] = nil
		for _, cmd := range p.Tick(start.Add(sim.now), in) {
			sim.execute(i, cmd)
		}
	}
}

func (sim *simulation) execute(instance int, cmd decision.Command) {
	switch c := cmd.(type) {
	case decision.Dispatch:
		sim.dispatch(instance, c)
	case decision.Deliver:
		sim.finish(c.Request, func(caller *caller) { sim.results.recordDelivery(caller, c.Attempt, sim.now) })
	case decision.Refuse:
		sim.finish(c.Request, func(caller *caller) { sim.results.recordRefusal(caller, c) })
	case decision.Fail:
		sim.finish(c.Request, func(caller *caller) { sim.results.recordFailure(caller) })
	case decision.CancelAttempt:
		sim.cancel(instance, c)
	case decision.ShareVerdict:
		sim.results.observeVerdict(c.Verdict, sim.now)
		for i := range sim.policies {
			if i != instance {
				sim.sendAfter(i, c.Verdict, peerLag)
			}
		}
	}
}

// finish calls f for the caller of a request that has ended, and forgets the
// caller.
func (sim *simulation) finish(id decision.RequestID, f func(*caller)) {
	c := sim.callers[id]
	if c == nil {
		sim.results.InvalidCommands++
		return
	}
	f(c)
	delete(sim.callers, id)
}

func (sim *simulation) dispatch(instance int, d decision.Dispatch) {
	c := sim.callers[d.Request]
	e := sim.engineByID[d.Server]
	if c == nil || e == nil {
		sim.results.InvalidCommands++
		return
	}
	a := &attempt{job: c.job, id: d.Attempt, version: d.Version, instance: instance}
	if sim.currentFault() == FaultErrors && d.Version == smallNew {
		a.fails = c.job.failDraw < 0.25
	}
	c.recordDispatch(d)
	sim.results.recordDispatch(c.job, d.Version, sim.now)
	e.enqueue(a)
}

// currentFault is the current fault of smallNew.
func (sim *simulation) currentFault() FaultKind {
	if sim.now < sim.load.FaultFrom {
		return NoFault
	}
	return sim.load.Fault
}

func (sim *simulation) onFirstToken(_ *engine, a *attempt) {
	sim.send(a.instance, decision.FirstToken{Request: a.job.ID, Attempt: a.id})
	if c := sim.callers[a.job.ID]; c != nil && !c.held[a.id] && c.firstToken == 0 {
		c.firstToken = sim.now
	}
}

func (sim *simulation) onAttemptEnd(_ *engine, a *attempt) {
	c := sim.callers[a.job.ID]
	end := decision.AttemptEnded{Request: a.job.ID, Attempt: a.id, Result: decision.AttemptCompleted, Tokens: a.job.tokens}
	if a.fails {
		end.Result = decision.AttemptFailed
		end.Tokens = 0
	}
	if c != nil {
		c.cost += prices[a.version] * float64(end.Tokens) / 1000
		end.ResponseStarted = !a.fails && !c.held[a.id]
	}
	sim.send(a.instance, end)
	if a.fails {
		sim.results.recordBadAnswer(a.version, sim.now)
		return
	}
	sim.rateAnswer(c, a)
}

// rateAnswer determines the quality of an answer and, if the instance asked for
// a rating, sends it one.
func (sim *simulation) rateAnswer(c *caller, a *attempt) {
	if c == nil || a.version == "" {
		return
	}
	quality := a.job.quality(a.version, sim.currentFault())
	c.qualities[a.id] = quality
	budget, asked := c.ratingBudgets[a.id]
	if !asked {
		return
	}
	rating := min(max(quality+ratingNoise*sim.rng.NormFloat64(), 0), 1)
	if sim.currentFault() == FaultRatings && rating < 0.6 {
		sim.results.recordBadAnswer(a.version, sim.now)
	}
	ev := decision.AnswerRated{Request: a.job.ID, Attempt: a.id, Team: a.job.Team,
		Class: a.job.Class, Version: a.version, Score: rating}
	delay := ratingTimeMin + time.Duration(sim.rng.Float64()*float64(ratingTimeSpan))
	if delay > budget {
		ev.Late, ev.Score, delay = true, 0, budget
	}
	sim.sendAfter(a.instance, ev, delay)
}

func (sim *simulation) cancel(instance int, c decision.CancelAttempt) {
	for _, e := range sim.engines {
		a := e.cancel(c.Request, c.Attempt)
		if a == nil {
			continue
		}
		if caller := sim.callers[c.Request]; caller != nil {
			caller.cost += prices[a.version] * max(float64(a.job.tokens)-a.remaining, 0) / 1000
		}
		sim.send(instance, decision.AttemptEnded{Request: c.Request, Attempt: c.Attempt, Result: decision.AttemptCancelled})
		return
	}
}

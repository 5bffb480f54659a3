package policytest

import (
	"math/rand/v2"
	"time"

	"masticplank.example/decision"
)

// Policy is the seam: the real one is *decision.World.
type Policy interface {
	Tick(now time.Time, in []decision.Event) []decision.Command
}

// start is the time of the first tick.
var start = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

// The periods and lags of the model.
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

// later is an event under way.
type pendingEvent struct {
	at       time.Duration
	instance int
	event    decision.Event
}

// bench is one run of one policy under one load.
type simulation struct {
	load       Load
	rng        *rand.Rand
	policies   []Policy
	engines    []*engine
	engineByID map[decision.ServerID]*engine
	now        time.Duration
	inbox      [][]decision.Event
	// wait holds events under way by the tick in which they arrive.
	pending map[time.Duration][]pendingEvent
	callers map[decision.RequestID]*caller
	results *Results
}

// Run measures a policy, one of which is made for each instance.
func Run(l Load, seed uint64, newPolicy func(seed uint64) Policy) *Results {
	b := &simulation{
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
		b.engines = append(b.engines, e)
		b.engineByID[s.ID] = e
	}
	for i := range l.Instances {
		b.policies = append(b.policies, newPolicy(seed*100+uint64(i)+1))
		b.inbox[i] = []decision.Event{
			decision.FreshnessChanged{Fresh: true},
			decision.ManifestApplied{Generation: 1, Teams: teams(), Versions: versions()},
			decision.ServersListed{Servers: servers},
		}
	}
	b.run(l.jobs(seed))
	return b.results
}

func (b *simulation) run(jobs []*job) {
	for b.now = 0; b.now < b.load.Duration+drainTime; b.now += tick {
		b.applyFaults()
		for len(jobs) > 0 && jobs[0].arrived <= b.now {
			b.arrive(jobs[0])
			jobs = jobs[1:]
		}
		b.publishReports()
		for _, l := range b.pending[b.now] {
			b.inbox[l.instance] = append(b.inbox[l.instance], l.event)
		}
		delete(b.pending, b.now)
		for _, e := range b.engines {
			e.step(tick, b.onFirst, b.onEnd)
		}
		b.tickPolicies()
	}
	for _, c := range b.callers {
		b.results.unanswered(c)
	}
	for _, e := range b.engines {
		b.results.promptBlocks += e.lookups
		b.results.cachedBlocks += e.hits
	}
}

// faults applies the load's slow servers.
func (b *simulation) applyFaults() {
	if b.load.SlowFactor == 0 || b.now != b.load.SlowFrom {
		return
	}
	b.engines[0].slowFactor = b.load.SlowFactor
	b.engines[b.load.Small].slowFactor = b.load.SlowFactor
}

func (b *simulation) arrive(j *job) {
	b.callers[j.ID] = &caller{job: j, held: map[decision.AttemptID]bool{}}
	b.results.arrived(j)
	b.send(j.instance, decision.RequestArrived{Request: j.Request})
}

// tell puts an event in an instance's next tick.
func (b *simulation) send(instance int, e decision.Event) {
	b.inbox[instance] = append(b.inbox[instance], e)
}

// tellLater does so after a time.
func (b *simulation) sendAfter(instance int, e decision.Event, after time.Duration) {
	at := (b.now + after).Truncate(tick)
	if at <= b.now {
		at = b.now + tick
	}
	b.pending[at] = append(b.pending[at], pendingEvent{at, instance, e})
}

// report sends load reports and cache events, late and with losses.
func (b *simulation) publishReports() {
	for _, e := range b.engines {
		if b.now%reportInterval == 0 {
			ev := decision.LoadReported{Server: e.ID, Running: len(e.running), Queued: len(e.queued), At: start.Add(b.now)}
			for i := range b.policies {
				b.sendAfter(i, ev, reportLag)
			}
		}
		if b.now%cacheInterval != 0 {
			continue
		}
		ev, ok := e.cacheEvent()
		if !ok {
			continue
		}
		for i := range b.policies {
			if b.rng.Float64() >= cacheEventLoss {
				b.sendAfter(i, ev, cacheLag)
			}
		}
	}
}

// decide ticks every instance and carries out what it commands.
func (b *simulation) tickPolicies() {
	for i, p := range b.policies {
		in := b.inbox[i]
		b.inbox[i] = nil
		for _, cmd := range p.Tick(start.Add(b.now), in) {
			b.execute(i, cmd)
		}
	}
}

func (b *simulation) execute(instance int, cmd decision.Command) {
	switch c := cmd.(type) {
	case decision.Dispatch:
		b.dispatch(instance, c)
	case decision.Deliver:
		b.finish(c.Request, func(x *caller) { b.results.delivered(x, c.Attempt, b.now) })
	case decision.Refuse:
		b.finish(c.Request, func(x *caller) { b.results.refused(x, c) })
	case decision.Fail:
		b.finish(c.Request, func(x *caller) { b.results.failed(x) })
	case decision.CancelAttempt:
		b.cancel(instance, c)
	case decision.ShareVerdict:
		b.results.verdict(c.Verdict, b.now)
		for i := range b.policies {
			if i != instance {
				b.sendAfter(i, c.Verdict, peerLag)
			}
		}
	}
}

func (b *simulation) finish(id decision.RequestID, f func(*caller)) {
	c := b.callers[id]
	if c == nil {
		b.results.InvalidCommands++
		return
	}
	f(c)
	delete(b.callers, id)
}

func (b *simulation) dispatch(instance int, d decision.Dispatch) {
	c := b.callers[d.Request]
	e := b.engineByID[d.Server]
	if c == nil || e == nil {
		b.results.InvalidCommands++
		return
	}
	r := &attempt{job: c.job, id: d.Attempt, version: d.Version, instance: instance}
	if b.currentFault() == FaultErrors && d.Version == smallNew {
		r.fails = c.job.failDraw < 0.25
	}
	c.recordDispatch(d)
	b.results.dispatched(c.job, d.Version, b.now)
	e.enqueue(r)
}

// bad is what is wrong with smallNew now.
func (b *simulation) currentFault() FaultKind {
	if b.now < b.load.FaultFrom {
		return NoFault
	}
	return b.load.Fault
}

func (b *simulation) onFirst(_ *engine, r *attempt) {
	b.send(r.instance, decision.FirstToken{Request: r.job.ID, Attempt: r.id})
	if c := b.callers[r.job.ID]; c != nil && !c.held[r.id] && c.firstToken == 0 {
		c.firstToken = b.now
	}
}

func (b *simulation) onEnd(_ *engine, r *attempt) {
	c := b.callers[r.job.ID]
	end := decision.AttemptEnded{Request: r.job.ID, Attempt: r.id, Result: decision.AttemptCompleted, Tokens: r.job.tokens}
	if r.fails {
		end.Result = decision.AttemptFailed
		end.Tokens = 0
	}
	if c != nil {
		c.cost += prices[r.version] * float64(end.Tokens) / 1000
		end.ResponseStarted = !r.fails && !c.held[r.id]
	}
	b.send(r.instance, end)
	if r.fails {
		b.results.badAnswer(r.version, b.now)
		return
	}
	b.rateAnswer(c, r)
}

// rate has an answer rated where that was asked for.
func (b *simulation) rateAnswer(c *caller, r *attempt) {
	if c == nil || r.version == "" {
		return
	}
	score := r.job.quality(r.version, b.currentFault())
	c.scores[r.id] = score
	budget, asked := c.ratingBudgets[r.id]
	if !asked {
		return
	}
	rated := min(max(score+ratingNoise*b.rng.NormFloat64(), 0), 1)
	if b.currentFault() == FaultRatings && rated < 0.6 {
		b.results.badAnswer(r.version, b.now)
	}
	ev := decision.AnswerRated{Request: r.job.ID, Attempt: r.id, Team: r.job.Team,
		Class: r.job.Class, Version: r.version, Score: rated}
	takes := ratingTimeMin + time.Duration(b.rng.Float64()*float64(ratingTimeSpan))
	if takes > budget {
		ev.Late, ev.Score, takes = true, 0, budget
	}
	b.sendAfter(r.instance, ev, takes)
}

func (b *simulation) cancel(instance int, c decision.CancelAttempt) {
	for _, e := range b.engines {
		r := e.cancel(c.Request, c.Attempt)
		if r == nil {
			continue
		}
		if x := b.callers[c.Request]; x != nil {
			x.cost += prices[r.version] * max(float64(r.job.tokens)-r.remaining, 0) / 1000
		}
		b.send(instance, decision.AttemptEnded{Request: c.Request, Attempt: c.Attempt, Result: decision.AttemptCancelled})
		return
	}
}

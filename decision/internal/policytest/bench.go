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
	tick         = 10 * time.Millisecond
	reportEvery  = 500 * time.Millisecond
	reportLag    = 250 * time.Millisecond
	cacheEvery   = 200 * time.Millisecond
	cacheLag     = 300 * time.Millisecond
	cacheLoss    = 0.05
	peerLag      = time.Second
	rateTimeMin  = 40 * time.Millisecond
	rateTimeSpan = 80 * time.Millisecond
	drain        = 30 * time.Second
)

// later is an event under way.
type later struct {
	at       time.Duration
	instance int
	event    decision.Event
}

// bench is one run of one policy under one load.
type bench struct {
	load     Load
	rng      *rand.Rand
	policies []Policy
	engines  []*engine
	byID     map[decision.ServerID]*engine
	now      time.Duration
	inbox    [][]decision.Event
	// wait holds events under way by the tick in which they arrive.
	wait    map[time.Duration][]later
	callers map[decision.RequestID]*caller
	tally   *Tally
}

// Run measures a policy, one of which is made for each instance.
func Run(l Load, seed uint64, newPolicy func(seed uint64) Policy) *Tally {
	b := &bench{
		load:    l,
		rng:     rand.New(rand.NewPCG(seed, 0xbe4c)),
		byID:    make(map[decision.ServerID]*engine),
		inbox:   make([][]decision.Event, l.Instances),
		wait:    make(map[time.Duration][]later),
		callers: make(map[decision.RequestID]*caller),
		tally:   newTally(l),
	}
	servers := l.servers()
	for _, s := range servers {
		e := newEngine(s)
		b.engines = append(b.engines, e)
		b.byID[s.ID] = e
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
	return b.tally
}

func (b *bench) run(jobs []*job) {
	for b.now = 0; b.now < b.load.Length+drain; b.now += tick {
		b.faults()
		for len(jobs) > 0 && jobs[0].arrived <= b.now {
			b.arrive(jobs[0])
			jobs = jobs[1:]
		}
		b.report()
		for _, l := range b.wait[b.now] {
			b.inbox[l.instance] = append(b.inbox[l.instance], l.event)
		}
		delete(b.wait, b.now)
		for _, e := range b.engines {
			e.step(tick, b.onFirst, b.onEnd)
		}
		b.decide()
	}
	for _, c := range b.callers {
		b.tally.lost(c)
	}
	for _, e := range b.engines {
		b.tally.blocks += e.asked
		b.tally.cached += e.hits
	}
}

// faults applies the load's slow servers.
func (b *bench) faults() {
	if b.load.SlowFactor == 0 || b.now != b.load.SlowFrom {
		return
	}
	b.engines[0].slow = b.load.SlowFactor
	b.engines[b.load.Small].slow = b.load.SlowFactor
}

func (b *bench) arrive(j *job) {
	b.callers[j.ID] = &caller{job: j, held: map[decision.AttemptID]bool{}}
	b.tally.arrived(j)
	b.tell(j.instance, decision.RequestArrived{Request: j.Request})
}

// tell puts an event in an instance's next tick.
func (b *bench) tell(instance int, e decision.Event) {
	b.inbox[instance] = append(b.inbox[instance], e)
}

// tellLater does so after a time.
func (b *bench) tellLater(instance int, e decision.Event, after time.Duration) {
	at := (b.now + after).Truncate(tick)
	if at <= b.now {
		at = b.now + tick
	}
	b.wait[at] = append(b.wait[at], later{at, instance, e})
}

// report sends load reports and cache events, late and with losses.
func (b *bench) report() {
	for _, e := range b.engines {
		if b.now%reportEvery == 0 {
			ev := decision.LoadReported{Server: e.ID, Running: len(e.running), Queued: len(e.queued), At: start.Add(b.now)}
			for i := range b.policies {
				b.tellLater(i, ev, reportLag)
			}
		}
		if b.now%cacheEvery != 0 {
			continue
		}
		ev, ok := e.changes()
		if !ok {
			continue
		}
		for i := range b.policies {
			if b.rng.Float64() >= cacheLoss {
				b.tellLater(i, ev, cacheLag)
			}
		}
	}
}

// decide ticks every instance and carries out what it commands.
func (b *bench) decide() {
	for i, p := range b.policies {
		in := b.inbox[i]
		b.inbox[i] = nil
		for _, cmd := range p.Tick(start.Add(b.now), in) {
			b.carryOut(i, cmd)
		}
	}
}

func (b *bench) carryOut(instance int, cmd decision.Command) {
	switch c := cmd.(type) {
	case decision.Dispatch:
		b.dispatch(instance, c)
	case decision.Deliver:
		b.answered(c.Request, func(x *caller) { b.tally.delivered(x, c.Attempt, b.now) })
	case decision.Refuse:
		b.answered(c.Request, func(x *caller) { b.tally.refused(x, c) })
	case decision.Fail:
		b.answered(c.Request, func(x *caller) { b.tally.failed(x) })
	case decision.CancelAttempt:
		b.cancel(instance, c)
	case decision.ShareVerdict:
		b.tally.verdict(c.Verdict, b.now)
		for i := range b.policies {
			if i != instance {
				b.tellLater(i, c.Verdict, peerLag)
			}
		}
	}
}

func (b *bench) answered(id decision.RequestID, f func(*caller)) {
	c := b.callers[id]
	if c == nil {
		b.tally.Broken++
		return
	}
	f(c)
	delete(b.callers, id)
}

func (b *bench) dispatch(instance int, d decision.Dispatch) {
	c := b.callers[d.Request]
	e := b.byID[d.Server]
	if c == nil || e == nil {
		b.tally.Broken++
		return
	}
	r := &run{job: c.job, attempt: d.Attempt, version: d.Version, origin: instance}
	if b.bad() == BadErrors && d.Version == smallNew {
		r.failed = c.job.fate < 0.25
	}
	c.plan(d)
	b.tally.dispatched(c.job, d.Version, b.now)
	e.start(r)
}

// bad is what is wrong with smallNew now.
func (b *bench) bad() BadKind {
	if b.now < b.load.BadFrom {
		return NotBad
	}
	return b.load.Bad
}

func (b *bench) onFirst(_ *engine, r *run) {
	b.tell(r.origin, decision.FirstToken{Request: r.job.ID, Attempt: r.attempt})
	if c := b.callers[r.job.ID]; c != nil && !c.held[r.attempt] && c.first == 0 {
		c.first = b.now
	}
}

func (b *bench) onEnd(_ *engine, r *run) {
	c := b.callers[r.job.ID]
	end := decision.AttemptEnded{Request: r.job.ID, Attempt: r.attempt, Result: decision.AttemptCompleted, Tokens: r.job.tokens}
	if r.failed {
		end.Result = decision.AttemptFailed
		end.Tokens = 0
	}
	if c != nil {
		c.cost += prices[r.version] * float64(end.Tokens) / 1000
		end.ResponseStarted = !r.failed && !c.held[r.attempt]
	}
	b.tell(r.origin, end)
	if r.failed {
		b.tally.badAnswer(r.version, b.now)
		return
	}
	b.rate(c, r)
}

// rate has an answer rated where that was asked for.
func (b *bench) rate(c *caller, r *run) {
	if c == nil || r.version == "" {
		return
	}
	score := r.job.quality(r.version, b.bad())
	c.scores[r.attempt] = score
	budget, asked := c.rated[r.attempt]
	if !asked {
		return
	}
	rated := min(max(score+ratingNoise*b.rng.NormFloat64(), 0), 1)
	if b.bad() == BadRatings && rated < 0.6 {
		b.tally.badAnswer(r.version, b.now)
	}
	ev := decision.AnswerRated{Request: r.job.ID, Attempt: r.attempt, Team: r.job.Team,
		Class: r.job.Class, Version: r.version, Score: rated}
	takes := rateTimeMin + time.Duration(b.rng.Float64()*float64(rateTimeSpan))
	if takes > budget {
		ev.Late, ev.Score, takes = true, 0, budget
	}
	b.tellLater(r.origin, ev, takes)
}

func (b *bench) cancel(instance int, c decision.CancelAttempt) {
	for _, e := range b.engines {
		r := e.cancel(c.Request, c.Attempt)
		if r == nil {
			continue
		}
		if x := b.callers[c.Request]; x != nil {
			x.cost += prices[r.version] * max(float64(r.job.tokens)-r.left, 0) / 1000
		}
		b.tell(instance, decision.AttemptEnded{Request: c.Request, Attempt: c.Attempt, Result: decision.AttemptCancelled})
		return
	}
}

package cascade

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The simulated engines process one prompt after the other, 183 tokens per millisecond with the smallest model and 18 with
// the largest. The smallest model's response is weak for 44 in 100 requests, and its confidence shows which.
const (
	simEngines      = 60
	simSlots        = 48 // of each engine
	smallPerToken   = 1.0 / 183_000
	largePerToken   = 1.0 / 18_000
	hardFraction    = 0.44
	goodConfidence  = 0.54
	secondsPerEvent = 0.03
	reportInterval  = 0.15
	// simCapacity is how many times the usual load the engines can serve with good responses.
	simCapacity = 2.7
	// lostEngines is how many engines are lost on a day of faults.
	lostEngines = 20
)

// simKind is a kind of requests; rate is per second at the usual load.
type simKind struct {
	Class
	rate, tokens, events, target, deadline float64
}

var simKinds = []simKind{
	{Class{0, "summary"}, 174, 826, 42, 2, 20},
	{Class{1, "draft"}, 50, 8000, 55, 3, 25},
	{Class{2, "tag"}, 80, 2368, 3, 4, 5},
}

// simTally counts the outcomes of a kind's requests.
type simTally struct{ sent, inTarget, late, weak, failed float64 }

func (t simTally) credit() float64 { return (t.inTarget + t.late/3 + t.weak/20) / t.sent }

// simCall is a request in the simulation; its next event is at due.
type simCall struct {
	Request
	due      float64
	kind     *simKind
	tally    *simTally
	instance int
	hard     bool
	large    bool
	held     float64 // prefill that its engine still has to do for it
}

type simEvents []*simCall

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].due < e[j].due }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(*simCall)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sim simulates callers, instances and engines.
type sim struct {
	rng       *rand.Rand
	now       float64
	busyUntil []float64 // of each engine
	planners  []Planner
	own       []float64 // outstanding prefill of each instance
	running   float64
	calls     simEvents
	waiting   map[uint64]*simCall
	reports   []Pool
	tallies   []simTally
	next      uint64
	// off switches the part off: each instance goes by its own requests. budgetSpent leaves no second attempt.
	off, budgetSpent bool
	// blind instances get no reports: the first ones of the fleet.
	blind      int
	maxBacklog float64
	// waits and vain are how many requests waited for a larger model, and how many of them did not get one.
	waits, vain int
}

func newSim(instances int) *sim {
	return &sim{rng: rand.New(rand.NewPCG(1, uint64(instances))), planners: make([]Planner, instances), own: make([]float64, instances),
		busyUntil: make([]float64, simEngines), waiting: map[uint64]*simCall{}, tallies: make([]simTally, len(simKinds))}
}

func at(seconds float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func (s *sim) backlog() float64 {
	sum := 0.0
	for _, until := range s.busyUntil {
		sum += max(until-s.now, 0)
	}
	return sum / float64(len(s.busyUntil))
}

// pool is what an instance knows: reports of 0.15 to 0.45 s ago; without any, the load that the engines stated a second ago.
func (s *sim) pool(instance int) Pool {
	intervals, shared := 1+instance%3, true
	if instance < s.blind {
		intervals, shared = 7, false
	}
	engines := float64(len(s.busyUntil))
	p := Pool{Backlog: s.own[instance] / engines}
	if i := len(s.reports) - intervals; i >= 0 {
		p = s.reports[i]
	} else {
		shared = false
	}
	p.Capacity, p.Instances, p.Shared = engines, len(s.planners), shared
	if s.off {
		p = Pool{Backlog: s.own[instance] / engines, Capacity: engines, Instances: 1}
	}
	return p
}

// run simulates some seconds at a multiple of the usual load.
func (s *sim) run(length, factor float64) {
	for until := s.now + length; s.now < until; {
		step := s.now + 0.01
		for k := range simKinds {
			for expected := simKinds[k].rate * factor * 0.01; s.rng.Float64() < expected; expected-- {
				s.arrive(k)
			}
		}
		for len(s.calls) > 0 && s.calls[0].due <= step {
			c := heap.Pop(&s.calls).(*simCall)
			s.now = c.due
			s.begin(c)
		}
		s.now = step
		s.maxBacklog = max(s.maxBacklog, s.backlog())
		if int(step/reportInterval) > int((step-0.01)/reportInterval) {
			s.reports = append(s.reports, Pool{Backlog: s.backlog(), Utilization: s.running / float64(simSlots*len(s.busyUntil))})
		}
		for i := range s.planners {
			s.release(i)
		}
	}
}

func (s *sim) arrive(kind int) {
	k := &simKinds[kind]
	s.next++
	tokens := k.tokens * min(s.rng.ExpFloat64(), 5)
	c := &simCall{kind: k, tally: &s.tallies[kind], instance: s.rng.IntN(len(s.planners)), hard: s.rng.Float64() < hardFraction}
	c.Request = Request{ID: s.next, Class: k.Class, Prefill: tokens * largePerToken, Doubt: 1 + s.rng.Float64(), Target: at(s.now + k.target), Deadline: at(s.now + k.deadline)}
	if c.hard {
		c.Doubt = s.rng.Float64()
	}
	c.tally.sent++
	p, pool := &s.planners[c.instance], s.pool(c.instance)
	p.Record(at(s.now), k.Class, Work{c.Prefill, tokens + 7*k.events, k.target})
	s.send(c, s.budgetSpent && !s.off && s.rng.Float64() < p.ShareAtOnce(at(s.now), pool, c.Request))
}

// send queues the prompt at the better of two engines.
func (s *sim) send(c *simCall, large bool) {
	c.large, c.held = large, c.Prefill
	if !large {
		c.held *= smallPerToken / largePerToken
	}
	e, other := s.rng.IntN(len(s.busyUntil)), s.rng.IntN(len(s.busyUntil))
	if s.busyUntil[other] < s.busyUntil[e] {
		e = other
	}
	s.busyUntil[e] = max(s.busyUntil[e], s.now) + c.held
	s.own[c.instance] += c.held
	c.due = s.busyUntil[e]
	heap.Push(&s.calls, c)
}

// begin handles the start of a response, and the end of those whose kind is nil.
func (s *sim) begin(c *simCall) {
	if c.kind == nil {
		s.running--
		return
	}
	s.own[c.instance] -= c.held
	if !c.large && c.Doubt < 1 && !s.budgetSpent && s.escalates(c) {
		return
	}
	switch now := at(s.now); {
	case now.After(c.Deadline):
		c.tally.failed++
	case c.hard && !c.large:
		c.tally.weak++
	case now.After(c.Target):
		c.tally.late++
	default:
		c.tally.inTarget++
	}
	s.running++
	heap.Push(&s.calls, &simCall{due: s.now + c.kind.events*secondsPerEvent})
}

// escalates reports whether the response is dropped for a larger model, now or after a wait.
func (s *sim) escalates(c *simCall) bool {
	p, pool, now := &s.planners[c.instance], s.pool(c.instance), at(s.now)
	if share, _ := p.Share(now, pool, c.Request); c.Doubt >= share || c.due > 1e9 {
		return false
	}
	if p.HasRoom(now, pool, c.Request) {
		s.send(c, true)
		return true
	}
	p.Wait(now, pool, c.Request)
	s.waiting[c.ID] = c
	return true
}

func (s *sim) release(instance int) {
	p := &s.planners[instance]
	if !p.DueForRelease(at(s.now)) {
		return
	}
	for _, r := range p.Release(at(s.now), s.pool(instance), s.rng.Float64) {
		c := s.waiting[r.ID]
		delete(s.waiting, r.ID)
		c.Doubt = 1 // it does not wait again
		s.waits++
		if !r.Larger {
			s.vain++
		}
		s.send(c, r.Larger)
	}
}

// measure runs the load, and then lets all requests end.
func (s *sim) measure(length, factor float64) {
	s.reset()
	s.run(length, factor)
	s.run(4, 0)
}

func (s *sim) reset() { s.tallies, s.maxBacklog = make([]simTally, len(simKinds)), 0; s.rebind() }

// rebind lets requests in progress count for nothing.
func (s *sim) rebind() {
	for _, c := range s.calls {
		c.tally = &simTally{}
	}
	for _, c := range s.waiting {
		c.tally = &simTally{}
	}
}

// goodput is the credit per second, each request weighed by its response's size.
func (s *sim) goodput(length float64) float64 {
	sum := 0.0
	for i, t := range s.tallies {
		sum += t.credit() * t.sent * simKinds[i].events
	}
	return sum / length
}

// overload simulates 2.6 times the usual load with a third of the engines lost.
func overload(instances, blind int, off bool) *sim {
	s := newSim(instances)
	s.busyUntil = s.busyUntil[lostEngines:]
	s.blind, s.off = blind, off
	s.run(3, 1)
	s.measure(8, 2.6)
	return s
}

// TestMostUrgentGetLargerModels guards against weak and late responses for the most urgent callers in an overload, with reports
// that come, at one instance that gets none, and with reports that are all lost: then each instance does no worse than by its
// own requests.
func TestMostUrgentGetLargerModels(t *testing.T) {
	for _, instances := range []int{8, 70, 300, 880} {
		for _, blind := range []int{0, 1, instances} {
			t.Run(fmt.Sprintf("%d instances, %d without reports", instances, blind), func(t *testing.T) {
				s, want := overload(instances, blind, false), 0.95
				if blind == instances {
					want = overload(instances, blind, true).tallies[0].credit()
				}
				t.Logf("goodput %.0f, backlog up to %.2f s, %d of %d waits in vain", s.goodput(8), s.maxBacklog, s.vain, s.waits)
				s.checkOrder(t)
				if got := s.tallies[0]; got.credit() < want {
					t.Errorf("credit %.2f of the most urgent kind, want at least %.2f", got.credit(), want)
				}
			})
		}
	}
}

// checkOrder fails the test if a less urgent kind is served more often than a more urgent one by over 5 in 100.
func (s *sim) checkOrder(t *testing.T) {
	t.Helper()
	best := 1.0
	for i, got := range s.tallies {
		served := (got.inTarget + got.late) / got.sent
		t.Logf("%s: %.0f sent, %.2f in target, %.2f late, %.2f weak, %.2f failed: credit %.2f", simKinds[i].Route, got.sent, got.inTarget/got.sent, got.late/got.sent, got.weak/got.sent, got.failed/got.sent, got.credit())
		if served > best+0.05 {
			t.Errorf("%.2f of %s served well, want at most 0.05 more than the %.2f of a more urgent kind", served, simKinds[i].Route, best)
		}
		best = min(best, served)
	}
}

// TestGoodputHoldsAboveCapacity guards against goodput that collapses above the engines' capacity.
func TestGoodputHoldsAboveCapacity(t *testing.T) {
	for _, instances := range []int{8, 70, 880} {
		full := 0.0
		for _, factor := range []float64{1, 1.5, 3} {
			s := newSim(instances)
			s.run(3, simCapacity)
			s.measure(8, factor*simCapacity)
			s.checkOrder(t)
			got := s.goodput(8)
			t.Logf("%d instances, %.1f times the capacity: goodput %.0f, backlog up to %.2f s, %d of %d waits in vain", instances, factor, got, s.maxBacklog, s.vain, s.waits)
			if full = max(full, got); got < 0.9*full {
				t.Errorf("%d instances, %.1f times the capacity: goodput %.0f, want at least 0.9 of %.0f", instances, factor, got, full)
			}
		}
	}
}

// TestRestartOfAllDoesNotFillEngines guards against engines that are filled by the callers that return together after all
// instances have restarted, when no instance knows of another's requests.
func TestRestartOfAllDoesNotFillEngines(t *testing.T) {
	for _, instances := range []int{8, 70, 300, 880} {
		s := newSim(instances)
		s.run(1, 8)
		s.run(5, 4)
		t.Logf("%d instances: backlog up to %.2f s", instances, s.maxBacklog)
		s.checkOrder(t)
		if limit := simKinds[0].target; s.maxBacklog > limit {
			t.Errorf("%d instances: %.2f s of prefill at all engines, want at most the most urgent kind's target of %.1f s", instances, s.maxBacklog, limit)
		}
	}
}

// TestIdleEnginesGiveGoodResponsesWithoutBudget guards against weak responses beside idle engines while the retry budget is
// spent, and against engines filled by requests that need no larger model.
func TestIdleEnginesGiveGoodResponsesWithoutBudget(t *testing.T) {
	for _, instances := range []int{8, 70, 300, 880} {
		for _, c := range []struct{ factor, maxWeak float64 }{{0.5, 0.1}, {1, 0.2}, {2.6, 1}} {
			s := newSim(instances)
			s.budgetSpent = true
			s.run(2, c.factor)
			s.measure(6, c.factor)
			weak, sent := 0.0, 0.0
			for _, t := range s.tallies {
				weak, sent = weak+t.weak, sent+t.sent
			}
			t.Logf("%d instances, load %.1f: %.2f weak, backlog up to %.2f s", instances, c.factor, weak/sent, s.maxBacklog)
			if weak > c.maxWeak*sent {
				t.Errorf("%d instances, load %.1f: %.2f weak responses, want at most %.2f", instances, c.factor, weak/sent, c.maxWeak)
			}
			if limit := simKinds[0].target / 2; s.maxBacklog > limit {
				t.Errorf("%d instances, load %.1f: %.2f s of prefill at all engines, want at most half of the shortest target", instances, c.factor, s.maxBacklog)
			}
		}
	}
}

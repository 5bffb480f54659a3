package passthrough

import (
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

// ends are the ends that stand in the status topic, in order.
func ends(l *fakeLog) []passthrough.Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []passthrough.Phase
	for _, r := range l.records {
		if _, _, phase, ok, err := (fakeRecords{}).Status(r); ok && err == nil && phase.Ended() {
			out = append(out, phase)
		}
	}
	return out
}

var testOrder = passthrough.Order{Service: "shop", Target: "v2", Duration: 20 * time.Second}

func (p *parts) listServers() {
	p.list.take(entry("one", "server shop v1 ready"))
	p.list.take(entry("two", "server shop v2 ready"))
}

func (p *parts) see(version string, bad bool, count int) {
	for range count {
		p.observations.observed(passthrough.Observation{Service: "shop", Route: "r", Version: version, Bad: bad})
	}
}

func TestRestartedInstanceCarriesTheRolloutOn(t *testing.T) {
	clock, status, observations := newFakeClock(), &fakeLog{}, &fakeLog{}
	a := newParts("a", clock, status, observations)
	a.listServers()
	a.rollouts.ordered(testOrder, 1)
	a.rollouts.advance(t.Context(), a.rollouts.open["shop"])
	clock.pass(10 * time.Second)
	a.see("v2", false, 30)
	a.see("v1", false, 300)
	a.rollouts.advance(t.Context(), a.rollouts.open["shop"])
	if err := observations.Append(t.Context(), keyedlog.Anywhere, a.observations.due()...); err != nil {
		t.Fatal(err)
	}
	b := newParts("b", clock, status, observations)
	b.listServers()
	b.rollouts.ordered(testOrder, 1)
	tl := b.observations.reader(clock, b.rollouts.active)
	if err := tl.once(t.Context()); err != nil {
		t.Fatal(err)
	}
	clock.pass(9500 * time.Millisecond)
	b.rollouts.advance(t.Context(), b.rollouts.open["shop"])
	if got := b.rollouts.open["shop"].ended; got != passthrough.PhaseCompleted {
		t.Errorf("the instance that began late has %v", got)
	}
}

func TestNoCompletionWithoutTheNewServers(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	p := newParts("a", clock, status, &fakeLog{})
	p.list.take(entry("one", "server shop v1 ready"))
	p.rollouts.ordered(testOrder, 1)
	clock.pass(19500 * time.Millisecond)
	p.rollouts.advance(t.Context(), p.rollouts.open["shop"])
	if got := ends(status); len(got) != 0 {
		t.Errorf("ended with %v", got)
	}
}

// TestEndReachesInstancesThatDoNotWrite holds for an instance that reads the store by its
// collector: it takes an end over from the topic, though it would not have judged so.
func TestEndReachesInstancesThatDoNotWrite(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	writer, follower := newParts("a", clock, status, &fakeLog{}), newParts("b", clock, status, &fakeLog{})
	follower.rollouts.writes = func() bool { return false }
	tl := follower.rollouts.reader(status)
	for _, p := range []*parts{writer, follower} {
		p.listServers()
		p.rollouts.ordered(testOrder, 1)
	}
	step := func() {
		t.Helper()
		writer.rollouts.advance(t.Context(), writer.rollouts.open["shop"])
		if err := tl.once(t.Context()); err != nil {
			t.Fatal(err)
		}
		follower.rollouts.advance(t.Context(), follower.rollouts.open["shop"])
	}
	step()
	clock.pass(5 * time.Second)
	writer.see("v2", true, 20)
	step()
	if got := follower.rollouts.open["shop"].ended; got != passthrough.PhaseReverted {
		t.Errorf("the follower has %v", got)
	}
	if n := len(ends(status)); n != 1 {
		t.Errorf("%d ends written", n)
	}
}

// TestNoCompletionBeforeTheOthersCanTell ends an outage of the store at the end of a
// roll-out: an instance that saw little of the new version waits for the others' word.
func TestNoCompletionBeforeTheOthersCanTell(t *testing.T) {
	for _, c := range []struct {
		good, bad int
		want      passthrough.Phase
	}{{2, 1, 0}, {0, 0, 0}, {cleanAnswers, 0, passthrough.PhaseCompleted}} {
		clock, status, observations := newFakeClock(), &fakeLog{}, &fakeLog{}
		a, b := newParts("a", clock, status, observations), newParts("b", clock, status, observations)
		for _, p := range []*parts{a, b} {
			p.listServers()
			p.rollouts.ordered(testOrder, 1)
			p.rollouts.advance(t.Context(), p.rollouts.open["shop"])
		}
		a.see("v2", false, c.good)
		a.see("v2", true, c.bad)
		b.see("v2", true, 8)
		clock.pass(testOrder.Duration)
		a.observations.regained(6 * time.Second)
		a.observations.sound(clock.Now())
		r := a.rollouts.open["shop"]
		a.rollouts.advance(t.Context(), r)
		if r.ended != c.want {
			t.Errorf("%+v: ended as %v at once", c, r.ended)
		}
		if err := observations.Append(t.Context(), keyedlog.Anywhere, b.observations.due()...); err != nil {
			t.Fatal(err)
		}
		a.observations.takeAll(observations.records)
		clock.pass(gossipTime)
		a.observations.sound(clock.Now())
		a.rollouts.advance(t.Context(), r)
		if c.want == 0 && r.ended != passthrough.PhaseReverted {
			t.Errorf("%+v: ended as %v by the others' word", c, r.ended)
		}
	}
}

// TestNoCompletionRightAfterAPause holds that an instance which was suspended for most of a roll-out, and
// finds the others' words unwritten, waits for them before it completes a version.
func TestNoCompletionRightAfterAPause(t *testing.T) {
	clock, status, observations := newFakeClock(), &fakeLog{}, &fakeLog{}
	a, b := newParts("a", clock, status, observations), newParts("b", clock, status, observations)
	for _, p := range []*parts{a, b} {
		p.listServers()
		p.rollouts.ordered(testOrder, 1)
		p.rollouts.look(t.Context())
	}
	b.see("v2", true, 8)
	clock.pass(testOrder.Duration) // a stands still, and b cannot write
	a.observations.sound(clock.Now())
	a.rollouts.look(t.Context())
	r := a.rollouts.open["shop"]
	if r.ended != 0 {
		t.Fatalf("ended as %v at once", r.ended)
	}
	if err := observations.Append(t.Context(), keyedlog.Anywhere, b.observations.due()...); err != nil {
		t.Fatal(err)
	}
	a.observations.takeAll(observations.records)
	clock.pass(gossipTime)
	a.observations.sound(clock.Now())
	a.rollouts.look(t.Context())
	if r.ended != passthrough.PhaseReverted {
		t.Errorf("ended as %v by the others' word", r.ended)
	}
}

// TestNoCompletionWhileNothingCanBeWritten holds that an instance whose own set does not
// reach the store takes its view of the others' for a part only.
func TestNoCompletionWhileNothingCanBeWritten(t *testing.T) {
	clock, status, observations := newFakeClock(), &fakeLog{}, &fakeLog{}
	p := newParts("a", clock, status, observations)
	p.listServers()
	p.rollouts.ordered(testOrder, 1)
	r := p.rollouts.open["shop"]
	p.rollouts.advance(t.Context(), r)
	p.see("v2", false, 2)
	clock.pass(testOrder.Duration)
	p.observations.sound(clock.Now())
	p.observations.unwritten()
	p.rollouts.advance(t.Context(), r)
	if r.ended != 0 {
		t.Fatalf("ended as %v", r.ended)
	}
	clock.pass(gossipTime)
	p.observations.sound(clock.Now())
	p.rollouts.advance(t.Context(), r)
	if r.ended != passthrough.PhaseCompleted {
		t.Errorf("ended as %v once all can be told", r.ended)
	}
}

// TestHeldRolloutEndsOnceItsVersionIsCleared holds a version in doubt past its time, and has it
// get all new work for a while before the old servers are stopped.
func TestHeldRolloutEndsOnceItsVersionIsCleared(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	p := newParts("a", clock, status, &fakeLog{})
	p.listServers()
	p.rollouts.ordered(testOrder, 1)
	p.rollouts.known = true // as after a read of the status topic
	r := p.rollouts.open["shop"]
	paced := func(count int, x float64) {
		for range count {
			s := passthrough.LogRatioStats{N: 1, Sum: x, Squares: x * x}
			p.observations.observed(passthrough.Observation{Service: "shop", Route: "r", Version: "v2", EventInterval: s})
		}
	}
	look := func() passthrough.Phase {
		p.observations.sound(clock.Now())
		p.rollouts.advance(t.Context(), r)
		return r.ended
	}
	look()
	paced(15, 0.05)
	paced(15, 1.05)
	clock.pass(19500 * time.Millisecond)
	if got := look(); got != 0 || !r.plan.Held {
		t.Fatalf("in doubt: ended %v, plan %+v", got, r.plan)
	}
	paced(60, 0)
	clock.pass(6 * time.Second)
	if got := look(); got != 0 || r.plan.CompleteAt.IsZero() || r.plan.Held {
		t.Fatalf("cleared: ended %v, plan %+v", got, r.plan)
	}
	clock.pass(lateLead)
	if got := look(); got != passthrough.PhaseCompleted {
		t.Errorf("at last: ended %v", got)
	}
}

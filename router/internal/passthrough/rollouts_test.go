package passthrough

import (
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

// ends are the ends that stand in the status topic, in order.
func storedEnds(l *fakeLog) []passthrough.Phase {
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
	p.servers.apply(entry("one", "server shop v1 ready"))
	p.servers.apply(entry("two", "server shop v2 ready"))
}

func (p *parts) observeMany(version string, bad bool, count int) {
	for range count {
		p.observations.recordAnswer(passthrough.Observation{Service: "shop", Route: "r", Version: version, Bad: bad})
	}
}

func TestRestartedInstanceCarriesTheRolloutOn(t *testing.T) {
	clock, status, observations := newFakeClock(), &fakeLog{}, &fakeLog{}
	a := newParts("a", clock, status, observations)
	a.listServers()
	a.rollouts.applyOrder(testOrder, 1)
	a.rollouts.advance(t.Context(), a.rollouts.open["shop"])
	clock.advance(10 * time.Second)
	a.observeMany("v2", false, 30)
	a.observeMany("v1", false, 300)
	a.rollouts.advance(t.Context(), a.rollouts.open["shop"])
	if err := observations.Append(t.Context(), keyedlog.Anywhere, a.observations.pendingRecords()...); err != nil {
		t.Fatal(err)
	}
	b := newParts("b", clock, status, observations)
	b.listServers()
	b.rollouts.applyOrder(testOrder, 1)
	reader := b.observations.reader(clock, b.rollouts.active)
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	clock.advance(9500 * time.Millisecond)
	b.rollouts.advance(t.Context(), b.rollouts.open["shop"])
	if got := b.rollouts.open["shop"].ended; got != passthrough.PhaseCompleted {
		t.Errorf("the instance that began late has %v", got)
	}
}

func TestNoCompletionWithoutTheNewServers(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	p := newParts("a", clock, status, &fakeLog{})
	p.servers.apply(entry("one", "server shop v1 ready"))
	p.rollouts.applyOrder(testOrder, 1)
	clock.advance(19500 * time.Millisecond)
	p.rollouts.advance(t.Context(), p.rollouts.open["shop"])
	if got := storedEnds(status); len(got) != 0 {
		t.Errorf("ended with %v", got)
	}
}

// TestEndReachesInstancesThatDoNotWrite holds for an instance that reads the store by its
// collector: it takes an end over from the topic, though it would not have judged so.
func TestEndReachesInstancesThatDoNotWrite(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	writer, follower := newParts("a", clock, status, &fakeLog{}), newParts("b", clock, status, &fakeLog{})
	follower.rollouts.writesRegister = func() bool { return false }
	reader := follower.rollouts.reader(status)
	for _, p := range []*parts{writer, follower} {
		p.listServers()
		p.rollouts.applyOrder(testOrder, 1)
	}
	step := func() {
		t.Helper()
		writer.rollouts.advance(t.Context(), writer.rollouts.open["shop"])
		if err := reader.readOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
		follower.rollouts.advance(t.Context(), follower.rollouts.open["shop"])
	}
	step()
	clock.advance(5 * time.Second)
	writer.observeMany("v2", true, 20)
	step()
	if got := follower.rollouts.open["shop"].ended; got != passthrough.PhaseReverted {
		t.Errorf("the follower has %v", got)
	}
	if n := len(storedEnds(status)); n != 1 {
		t.Errorf("%d ends written", n)
	}
}

// TestNoCompletionBeforeTheOthersCanTell ends an outage of the store at the end of a
// roll-out: an instance that saw little of the new version waits for the others' word.
func TestNoCompletionBeforeTheOthersCanTell(t *testing.T) {
	for _, c := range []struct {
		good, bad int
		want      passthrough.Phase
	}{{2, 1, 0}, {0, 0, 0}, {minCleanAnswers, 0, passthrough.PhaseCompleted}} {
		clock, status, observations := newFakeClock(), &fakeLog{}, &fakeLog{}
		a, b := newParts("a", clock, status, observations), newParts("b", clock, status, observations)
		for _, p := range []*parts{a, b} {
			p.listServers()
			p.rollouts.applyOrder(testOrder, 1)
			p.rollouts.advance(t.Context(), p.rollouts.open["shop"])
		}
		a.observeMany("v2", false, c.good)
		a.observeMany("v2", true, c.bad)
		b.observeMany("v2", true, 8)
		clock.advance(testOrder.Duration)
		a.observations.onRecovery(6 * time.Second)
		a.observations.markRead(clock.Now())
		r := a.rollouts.open["shop"]
		a.rollouts.advance(t.Context(), r)
		if r.ended != c.want {
			t.Errorf("%+v: ended as %v at once", c, r.ended)
		}
		if err := observations.Append(t.Context(), keyedlog.Anywhere, b.observations.pendingRecords()...); err != nil {
			t.Fatal(err)
		}
		a.observations.applySnapshot(observations.records)
		clock.advance(propagationTime)
		a.observations.markRead(clock.Now())
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
		p.rollouts.applyOrder(testOrder, 1)
		p.rollouts.advanceAll(t.Context())
	}
	b.observeMany("v2", true, 8)
	clock.advance(testOrder.Duration) // a stands still, and b cannot write
	a.observations.markRead(clock.Now())
	a.rollouts.advanceAll(t.Context())
	r := a.rollouts.open["shop"]
	if r.ended != 0 {
		t.Fatalf("ended as %v at once", r.ended)
	}
	if err := observations.Append(t.Context(), keyedlog.Anywhere, b.observations.pendingRecords()...); err != nil {
		t.Fatal(err)
	}
	a.observations.applySnapshot(observations.records)
	clock.advance(propagationTime)
	a.observations.markRead(clock.Now())
	a.rollouts.advanceAll(t.Context())
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
	p.rollouts.applyOrder(testOrder, 1)
	r := p.rollouts.open["shop"]
	p.rollouts.advance(t.Context(), r)
	p.observeMany("v2", false, 2)
	clock.advance(testOrder.Duration)
	p.observations.markRead(clock.Now())
	p.observations.markIncomplete()
	p.rollouts.advance(t.Context(), r)
	if r.ended != 0 {
		t.Fatalf("ended as %v", r.ended)
	}
	clock.advance(propagationTime)
	p.observations.markRead(clock.Now())
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
	p.rollouts.applyOrder(testOrder, 1)
	p.rollouts.statusRead = true // as after a read of the status topic
	r := p.rollouts.open["shop"]
	paced := func(count int, x float64) {
		for range count {
			s := passthrough.LogRatioStats{N: 1, Sum: x, Squares: x * x}
			p.observations.recordAnswer(passthrough.Observation{Service: "shop", Route: "r", Version: "v2", EventInterval: s})
		}
	}
	look := func() passthrough.Phase {
		p.observations.markRead(clock.Now())
		p.rollouts.advance(t.Context(), r)
		return r.ended
	}
	look()
	paced(15, 0.05)
	paced(15, 1.05)
	clock.advance(19500 * time.Millisecond)
	if got := look(); got != 0 || !r.plan.Held {
		t.Fatalf("in doubt: ended %v, plan %+v", got, r.plan)
	}
	paced(60, 0)
	clock.advance(6 * time.Second)
	if got := look(); got != 0 || r.plan.CompleteAt.IsZero() || r.plan.Held {
		t.Fatalf("cleared: ended %v, plan %+v", got, r.plan)
	}
	clock.advance(heldRolloutLead)
	if got := look(); got != passthrough.PhaseCompleted {
		t.Errorf("at last: ended %v", got)
	}
}

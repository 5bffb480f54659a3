package passthrough

import (
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

func TestStoreSharesCrashesWithPeers(t *testing.T) {
	clock, observations := newFakeClock(), &fakeLog{}
	a, b := newParts("a", clock, &fakeLog{}, observations), newParts("b", clock, &fakeLog{}, observations)
	reader := b.observations.reader(clock, b.rollouts.active)
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		a.observations.recordCrash(passthrough.CrashSuspected{Fingerprint: 9})
	}
	if err := observations.Append(t.Context(), keyedlog.Anywhere, a.observations.pendingRecords()...); err != nil {
		t.Fatal(err)
	}
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	route := &passthrough.Route{Name: "r", Kind: passthrough.KindIdempotent, MaxAttempts: 2, Timeout: time.Second, TargetLatency: time.Second}
	tk := b.driver.open(passthrough.Request{Route: route, Service: "shop", Fingerprint: 9, Deadline: clock.Now().Add(time.Second), TargetTime: clock.Now().Add(time.Second)})
	if c, ok := (<-tk.commands).(passthrough.Refuse); !ok || c.Reason != passthrough.ReasonQuarantined {
		t.Errorf("got %+v", c)
	}
}

// TestVersionThatTurnsBadLateIsFoundSoon holds for a version with a long good start.
func TestVersionThatTurnsBadLateIsFoundSoon(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	p := newParts("a", clock, status, &fakeLog{})
	p.listServers()
	p.rollouts.applyOrder(testOrder, 1)
	r := p.rollouts.open["shop"]
	step := func(good, bad int) {
		clock.advance(400 * time.Millisecond)
		p.observeMany("v2", false, good)
		p.observeMany("v2", true, bad)
		p.observeMany("v1", false, 40)
		p.rollouts.advance(t.Context(), r)
	}
	p.rollouts.advance(t.Context(), r)
	for range 30 { // 12 s
		step(5, 0)
	}
	bad := 0
	for ; r.ended == 0 && bad < 50; bad++ {
		step(1, 1)
	}
	if r.ended != passthrough.PhaseReverted || bad > 20 {
		t.Errorf("ended %v after %d bad answers", r.ended, bad)
	}
}

// TestOldNotesOnCrashesDoNotCount holds for an instance that starts long after a crash, and
// for the store, which must not keep what nobody needs.
func TestOldNotesOnCrashesDoNotCount(t *testing.T) {
	clock, observations := newFakeClock(), &fakeLog{}
	a := newParts("a", clock, &fakeLog{}, observations)
	for range 3 {
		a.observations.recordCrash(passthrough.CrashSuspected{Fingerprint: 9})
	}
	write := func() {
		t.Helper()
		if err := observations.Append(t.Context(), keyedlog.Anywhere, a.observations.pendingRecords()...); err != nil {
			t.Fatal(err)
		}
	}
	write()
	late := newParts("late", clock, &fakeLog{}, observations)
	if err := late.observations.reader(clock, late.rollouts.active).readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	route := &passthrough.Route{Name: "r", Kind: passthrough.KindIdempotent, MaxAttempts: 2, Timeout: time.Second, TargetLatency: time.Second}
	tk := late.driver.open(passthrough.Request{Route: route, Service: "shop", Fingerprint: 9, Deadline: clock.Now().Add(time.Second), TargetTime: clock.Now().Add(time.Second)})
	if c, ok := (<-tk.commands).(passthrough.Refuse); !ok || c.Reason == passthrough.ReasonQuarantined {
		t.Errorf("got %+v", c)
	}
	clock.advance(recordLifetime + time.Second)
	write()
	if snap, err := observations.Newest(t.Context()); err != nil || len(snap.Records) != 0 {
		t.Errorf("the store keeps %v, %v", snap.Records, err)
	}
}

// TestWhatAProcessSawOutlivesIt kills an instance after it saw bad answers: they still
// count, beside those that it sees once it has started again.
func TestWhatAProcessSawOutlivesIt(t *testing.T) {
	clock, status, observations := newFakeClock(), &fakeLog{}, &fakeLog{}
	write := func(p *parts) {
		if err := observations.Append(t.Context(), keyedlog.Anywhere, p.observations.pendingRecords()...); err != nil {
			t.Fatal(err)
		}
	}
	start := func() *parts {
		p := newParts("a", clock, status, observations)
		p.listServers()
		p.rollouts.applyOrder(testOrder, 1)
		p.observations.applySnapshot(observations.records)
		p.rollouts.advance(t.Context(), p.rollouts.open["shop"])
		return p
	}
	before := start()
	before.observeMany("v2", true, 4)
	write(before)
	clock.advance(5 * time.Second)
	after := start()
	after.observeMany("v2", true, 2)
	write(after)
	clock.advance(time.Second)
	after.rollouts.advance(t.Context(), after.rollouts.open["shop"])
	if got := storedEnds(status); len(got) != 1 || got[0] != passthrough.PhaseReverted {
		t.Errorf("ends %v after six bad answers by two processes", got)
	}
	clock.advance(recordLifetime + time.Second)
	dropped := 0
	for _, r := range after.observations.pendingRecords() {
		if len(r.Value) == 0 {
			dropped++
		}
	}
	if dropped != 2 {
		t.Errorf("%d sets are dropped, want those of both processes", dropped)
	}
}

// TestReaderTakesABadVersionBackInTheEnd leaves the register to others, who do not see what
// this instance sees.
func TestReaderTakesABadVersionBackInTheEnd(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	p := newParts("a", clock, status, &fakeLog{})
	p.rollouts.writesRegister = func() bool { return false }
	p.listServers()
	p.rollouts.applyOrder(testOrder, 1)
	r := p.rollouts.open["shop"]
	p.rollouts.advance(t.Context(), r)
	p.observeMany("v2", true, 8)
	p.rollouts.advance(t.Context(), r)
	if got := storedEnds(status); len(got) != 0 {
		t.Fatalf("ends %v at once", got)
	}
	clock.advance(revertTimeout)
	p.rollouts.advance(t.Context(), r)
	if got := storedEnds(status); len(got) != 1 || got[0] != passthrough.PhaseReverted {
		t.Errorf("ends %v", got)
	}
}

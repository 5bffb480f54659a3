package passthrough

import (
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

// TestStoreSharesCrashesWithPeers checks that a request which crashed servers at one instance is
// quarantined at another.
func TestStoreSharesCrashesWithPeers(t *testing.T) {
	clock, observations := newFakeClock(), &fakeLog{}
	a, b := newTestInstance("a", clock, &fakeLog{}, observations), newTestInstance("b", clock, &fakeLog{}, observations)
	reader := b.observations.reader(clock, b.rollouts.active)
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		a.observations.recordCrash(passthrough.CrashSuspected{Fingerprint: 9})
	}
	if err := observations.Append(t.Context(), keyedlog.AnyPosition, a.observations.pendingRecords()...); err != nil {
		t.Fatal(err)
	}
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	route := &passthrough.Route{Name: "r", Kind: passthrough.KindIdempotent, MaxAttempts: 2, Timeout: time.Second, TargetLatency: time.Second}
	tk := b.driver.open(passthrough.Request{Route: route, Service: "shop", Fingerprint: 9, Deadline: clock.Now().Add(time.Second), TargetTime: clock.Now().Add(time.Second)})
	if c, ok := (<-tk.commands).(passthrough.Refuse); !ok || c.Reason != passthrough.ReasonQuarantined {
		t.Errorf("command %+v, want a refusal as quarantined", c)
	}
}

// TestVersionThatTurnsBadLateIsFoundSoon guards against a late verdict on a version that begins to fail
// after many good responses.
func TestVersionThatTurnsBadLateIsFoundSoon(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	p := newTestInstance("a", clock, status, &fakeLog{})
	p.listServers()
	p.rollouts.applyOrder(testOrder, 1)
	r := p.rollouts.byService["shop"]
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
		t.Errorf("ended as %v after %d bad responses, want reverted after 20 at most", r.ended, bad)
	}
}

// TestOldCrashRecordsAreIgnored checks that an instance which starts after a crash does not count its
// record, and that the record is deleted from the store after recordLifetime.
func TestOldCrashRecordsAreIgnored(t *testing.T) {
	clock, observations := newFakeClock(), &fakeLog{}
	a := newTestInstance("a", clock, &fakeLog{}, observations)
	for range 3 {
		a.observations.recordCrash(passthrough.CrashSuspected{Fingerprint: 9})
	}
	write := func() {
		t.Helper()
		if err := observations.Append(t.Context(), keyedlog.AnyPosition, a.observations.pendingRecords()...); err != nil {
			t.Fatal(err)
		}
	}
	write()
	late := newTestInstance("late", clock, &fakeLog{}, observations)
	if err := late.observations.reader(clock, late.rollouts.active).readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	route := &passthrough.Route{Name: "r", Kind: passthrough.KindIdempotent, MaxAttempts: 2, Timeout: time.Second, TargetLatency: time.Second}
	tk := late.driver.open(passthrough.Request{Route: route, Service: "shop", Fingerprint: 9, Deadline: clock.Now().Add(time.Second), TargetTime: clock.Now().Add(time.Second)})
	if c, ok := (<-tk.commands).(passthrough.Refuse); !ok || c.Reason == passthrough.ReasonQuarantined {
		t.Errorf("command %+v, want a refusal for another reason than quarantine", c)
	}
	clock.advance(recordLifetime + time.Second)
	write()
	if snap, err := observations.Newest(t.Context()); err != nil || len(snap.Records) != 0 {
		t.Errorf("the store still has %v, error %v", snap.Records, err)
	}
}

// TestObservationsSurviveARestart guards against losing an instance's observations if it is killed: the
// bad responses that it saw before count together with those that it sees after the restart.
func TestObservationsSurviveARestart(t *testing.T) {
	clock, status, observations := newFakeClock(), &fakeLog{}, &fakeLog{}
	write := func(p *testInstance) {
		if err := observations.Append(t.Context(), keyedlog.AnyPosition, p.observations.pendingRecords()...); err != nil {
			t.Fatal(err)
		}
	}
	start := func() *testInstance {
		p := newTestInstance("a", clock, status, observations)
		p.listServers()
		p.rollouts.applyOrder(testOrder, 1)
		p.observations.applySnapshot(observations.records)
		p.rollouts.advance(t.Context(), p.rollouts.byService["shop"])
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
	after.rollouts.advance(t.Context(), after.rollouts.byService["shop"])
	if got := storedEnds(status); len(got) != 1 || got[0] != passthrough.PhaseReverted {
		t.Errorf("ends %v after six bad responses seen by two processes, want one revert", got)
	}
	clock.advance(recordLifetime + time.Second)
	deleted := 0
	for _, r := range after.observations.pendingRecords() {
		if len(r.Value) == 0 {
			deleted++
		}
	}
	if deleted != 2 {
		t.Errorf("%d sets are deleted, want those of both processes", deleted)
	}
}

// TestNonWriterRevertsBadVersionAfterTimeout guards against a bad version that is not reverted because
// only an instance that does not write the register sees it fail: that instance reverts it after
// revertTimeout.
func TestNonWriterRevertsBadVersionAfterTimeout(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	p := newTestInstance("a", clock, status, &fakeLog{})
	p.rollouts.writesRegister = func() bool { return false }
	p.listServers()
	p.rollouts.applyOrder(testOrder, 1)
	r := p.rollouts.byService["shop"]
	p.rollouts.advance(t.Context(), r)
	p.observeMany("v2", true, 8)
	p.rollouts.advance(t.Context(), r)
	if got := storedEnds(status); len(got) != 0 {
		t.Fatalf("ends %v before the timeout, want none", got)
	}
	clock.advance(revertTimeout)
	p.rollouts.advance(t.Context(), r)
	if got := storedEnds(status); len(got) != 1 || got[0] != passthrough.PhaseReverted {
		t.Errorf("ends %v after the timeout, want one revert", got)
	}
}

package passthrough

import (
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

const orderValue = "order shop v2 20"

// restoredFleet is a set of instances on topics that can be restored from a backup.
type restoredFleet struct {
	t                              *testing.T
	clock                          *fakeClock
	operator, status, observations *fakeLog
	instances                      []*restoredInstance
}

type restoredInstance struct {
	*testInstance
	operatorReader, statusReader, observationsReader *topicReader
}

func newRestoredFleet(t *testing.T, names ...string) *restoredFleet {
	t.Helper()
	f := &restoredFleet{t: t, clock: newFakeClock(), operator: &fakeLog{era: 1}, status: &fakeLog{era: 1}, observations: &fakeLog{era: 1}}
	f.operator.add("config", "config 1")
	for _, name := range names {
		f.start(name)
	}
	f.step()
	return f
}

func (f *restoredFleet) start(name string) *restoredInstance {
	p := newTestInstance(name, f.clock, f.status, f.observations)
	p.listServers()
	i := &restoredInstance{testInstance: p, operatorReader: p.operator.reader(f.operator, f.clock),
		statusReader: p.rollouts.reader(f.status), observationsReader: p.observations.reader(f.clock, p.rollouts.active)}
	f.instances = append(f.instances, i)
	return i
}

// step makes each instance read all topics, advance its roll-outs and write its records.
func (f *restoredFleet) step() {
	f.t.Helper()
	for _, i := range f.instances {
		for _, reader := range []*topicReader{i.operatorReader, i.statusReader, i.observationsReader} {
			mustRead(f.t, reader)
		}
	}
	for _, i := range f.instances {
		i.rollouts.advanceAll(f.t.Context())
		if err := f.observations.Append(f.t.Context(), keyedlog.AnyPosition, i.observations.pendingRecords()...); err != nil {
			f.t.Fatal(err)
		}
	}
	f.clock.advance(400 * time.Millisecond)
}

// TestOrderWrittenAgainIsTheSameRollout guards against starting a roll-out again because the operator
// writes its order again after a restore, at another offset: its time continues, and earlier observations
// count, also at an instance that knows only the new offset.
func TestOrderWrittenAgainIsTheSameRollout(t *testing.T) {
	f := newRestoredFleet(t, "a", "b")
	backedUp := len(f.operator.records)
	f.operator.add("other", "x")
	f.operator.add("order/shop", orderValue)
	f.step()
	f.instances[0].observeMany("v2", true, 1)
	f.instances[1].observeMany("v2", true, 2)
	for range 3 {
		f.step()
	}
	r := f.instances[0].rollouts.byService["shop"]
	orderedAt := r.orderedAt
	f.operator.restore(backedUp)
	f.status.restore(0)
	f.observations.restore(0)
	f.step()
	f.operator.add("order/shop", orderValue)
	for range 6 {
		f.step()
	}
	f.start("c")
	for range 3 {
		f.step()
	}
	for _, i := range f.instances {
		if seen := i.observations.view(i.rollouts.byService["shop"], f.clock.Now()); seen.newCounts.Bad != 3 {
			t.Errorf("%s: counts %d bad responses, want 3", i.observations.instance, seen.newCounts.Bad)
		}
	}
	if f.instances[0].rollouts.byService["shop"] != r || r.orderedAt != orderedAt {
		t.Error("the roll-out was started again")
	}
	f.instances[2].observeMany("v2", true, 10)
	for range 4 {
		f.step()
	}
	for _, i := range f.instances {
		if got := i.rollouts.byService["shop"].ended; got != passthrough.PhaseReverted {
			t.Errorf("%s: ended as %v, want reverted", i.observations.instance, got)
		}
	}
}

// TestEndOfARolloutIsWrittenAgainOnce checks that an end which a restored store lacks is written again
// by one instance, and that no other end is written.
func TestEndOfARolloutIsWrittenAgainOnce(t *testing.T) {
	f := newRestoredFleet(t, "a", "b", "c")
	f.operator.add("order/shop", orderValue)
	f.step()
	backedUp := len(f.status.records)
	f.instances[0].observeMany("v2", true, 20)
	for range 8 {
		f.step()
	}
	if got := storedEnds(f.status); len(got) != 1 || got[0] != passthrough.PhaseReverted {
		t.Fatalf("ends %v before the restore, want one revert", got)
	}
	f.status.restore(backedUp)
	f.operator.restore(len(f.operator.records))
	f.observations.restore(0)
	for range 8 {
		f.step()
	}
	late := f.start("late")
	for range 60 { // past the order's end
		f.step()
	}
	if got := storedEnds(f.status); len(got) != 1 || got[0] != passthrough.PhaseReverted {
		t.Errorf("ends %v after the restore, want one revert", got)
	}
	if got := late.rollouts.byService["shop"].ended; got != passthrough.PhaseReverted {
		t.Errorf("an instance that started after the restore ended as %v, want reverted", got)
	}
}

// TestRestoredCountsDoNotReplaceLaterOnes checks that the earlier counts in a restored store do not replace
// the later counts that an instance has read from its peers, even before the peers write again.
func TestRestoredCountsDoNotReplaceLaterOnes(t *testing.T) {
	f := newRestoredFleet(t, "a", "b")
	f.operator.add("order/shop", orderValue)
	f.step()
	f.instances[0].observeMany("v2", true, 1)
	f.step()
	f.step()
	backedUp := len(f.observations.records)
	f.instances[0].observeMany("v2", true, 3)
	f.step()
	f.step()
	f.observations.restore(backedUp)
	mustRead(t, f.instances[1].observationsReader)
	if seen := f.instances[1].observations.view(f.instances[1].rollouts.byService["shop"], f.clock.Now()); seen.newCounts.Bad != 4 {
		t.Errorf("%d bad responses are counted, want 4", seen.newCounts.Bad)
	}
	f.step()
	last := f.start("last")
	f.step()
	if seen := last.observations.view(last.rollouts.byService["shop"], f.clock.Now()); seen.newCounts.Bad != 4 {
		t.Errorf("an instance that started after the restore counts %d bad responses, want 4", seen.newCounts.Bad)
	}
}

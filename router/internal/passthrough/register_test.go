package passthrough

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

// TestRegisterHoldsOneEnd guards against two ends of one roll-out: b writes an end between a's read of
// the register and its write.
func TestRegisterHoldsOneEnd(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	a, b := newTestInstance("a", clock, status, &fakeLog{}), newTestInstance("b", clock, status, &fakeLog{})
	for _, p := range []*testInstance{a, b} {
		p.listServers()
		p.rollouts.applyOrder(testOrder, 1)
		p.rollouts.advance(t.Context(), p.rollouts.byService["shop"])
	}
	a.observeMany("v2", true, 20) // only a finds the version bad; b would complete it
	clock.advance(19500 * time.Millisecond)
	a.observations.markRead(clock.Now())
	b.observations.markRead(clock.Now())
	status.beforeAppend = func() { b.rollouts.advance(t.Context(), b.rollouts.byService["shop"]) }
	a.rollouts.advance(t.Context(), a.rollouts.byService["shop"])
	a.rollouts.advance(t.Context(), a.rollouts.byService["shop"])
	if got := storedEnds(status); len(got) != 1 {
		t.Fatalf("the register holds %d ends, want one", len(got))
	}
	if x, y := a.rollouts.byService["shop"].ended, b.rollouts.byService["shop"].ended; x != y || x == 0 {
		t.Errorf("a ended as %v, b as %v, want the same", x, y)
	}
}

// TestUnknownWriteResultIsReadBack guards against a second end if a write took effect but its result
// was lost: the register is read before anything is written again.
func TestUnknownWriteResultIsReadBack(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	p := newTestInstance("a", clock, status, &fakeLog{})
	p.listServers()
	p.rollouts.applyOrder(testOrder, 1)
	r := p.rollouts.byService["shop"]
	p.rollouts.advance(t.Context(), r)
	clock.advance(19500 * time.Millisecond)
	p.observations.markRead(clock.Now())
	status.appendDespiteErr, status.appendErrs = true, []error{keyedlog.ErrUnknown}
	p.rollouts.advance(t.Context(), r)
	if r.ended != 0 {
		t.Error("ended although the result of the write is unknown")
	}
	p.rollouts.advance(t.Context(), r)
	if got := storedEnds(status); len(got) != 1 || r.ended != passthrough.PhaseCompleted {
		t.Errorf("ends %v in the register, %v at the instance, want completed", got, r.ended)
	}
}

// TestRandomRegisterWrites guards against two ends of one roll-out, an instance that applies another end
// than the register holds, and the completion of a version that was reported to fail. Seeded random
// sequences: instances plan, lose results of writes, cannot read the register, and restart, in any
// order.
func TestRandomRegisterWrites(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomRegister(t, seed) })
	}
}

func runRandomRegister(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	clock, status, observations := newFakeClock(), &fakeLog{}, &fakeLog{}
	bad := seed%2 == 0
	start := func(i int) *testInstance {
		p := newTestInstance(fmt.Sprint("instance-", i), clock, status, observations)
		p.listServers()
		p.rollouts.applyOrder(testOrder, 1)
		if err := p.observations.reader(clock, p.rollouts.active).readOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
		return p
	}
	if bad { // an earlier instance saw bad responses and shared its counts
		first := start(9)
		first.rollouts.advance(t.Context(), first.rollouts.byService["shop"])
		first.observeMany("v2", true, 10)
		if err := observations.Append(t.Context(), keyedlog.AnyPosition, first.observations.pendingRecords()...); err != nil {
			t.Fatal(err)
		}
	}
	var fleet []*testInstance
	for i := range 3 {
		fleet = append(fleet, start(i))
	}
	for range 400 {
		clock.advance(time.Duration(rng.IntN(150)) * time.Millisecond)
		i := rng.IntN(len(fleet))
		p := fleet[i]
		switch rng.IntN(12) {
		case 0:
			status.appendErrs = append(status.appendErrs, keyedlog.ErrUnknown)
			status.appendDespiteErr = rng.IntN(2) == 0
		case 1:
			status.newestErrs = append(status.newestErrs, keyedlog.ErrNotApplied)
		case 2:
			if rng.IntN(6) == 0 {
				fleet[i] = start(i)
			}
		case 3:
			p.observeMany("v1", false, 5)
		case 4:
			p.observeMany("v2", bad, 2)
		case 5, 6:
			if err := observations.Append(t.Context(), keyedlog.AnyPosition, p.observations.pendingRecords()...); err != nil {
				t.Fatal(err)
			}
		case 7, 8:
			if err := p.observations.reader(clock, p.rollouts.active).readOnce(t.Context()); err != nil {
				t.Fatal(err)
			}
		case 9:
			// Another instance advances between the next read of the register and its write.
			other := fleet[rng.IntN(len(fleet))]
			status.beforeAppend = func() {
				if r := other.rollouts.byService["shop"]; other != p && r.ended == 0 {
					other.rollouts.advance(t.Context(), r)
				}
			}
		default:
			if r := p.rollouts.byService["shop"]; r.ended == 0 {
				p.rollouts.advance(t.Context(), r)
			}
		}
	}
	status.appendErrs, status.newestErrs, status.appendDespiteErr = nil, nil, false
	clock.advance(20 * time.Second)
	for _, p := range fleet {
		for range 3 {
			if r := p.rollouts.byService["shop"]; r.ended == 0 {
				p.rollouts.advance(t.Context(), r)
			}
		}
	}
	got := storedEnds(status)
	if len(got) != 1 {
		t.Fatalf("the register holds the ends %v, want one", got)
	}
	for i, p := range fleet {
		if known := p.rollouts.byService["shop"].ended; known != got[0] {
			t.Errorf("instance %d ended as %v, the register holds %v", i, known, got[0])
		}
	}
	if bad && got[0] == passthrough.PhaseCompleted {
		t.Error("a version that failed throughout was completed")
	}
}

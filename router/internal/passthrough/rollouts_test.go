package passthrough

import (
	"fmt"
	"math/rand/v2"
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
		p.board.observed(passthrough.Observed{Service: "shop", Route: "r", Version: version, Bad: bad})
	}
}

func TestRegisterHoldsOneEnd(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	a, b := newParts("a", clock, status, &fakeLog{}), newParts("b", clock, status, &fakeLog{})
	for _, p := range []*parts{a, b} {
		p.listServers()
		p.rollouts.ordered(testOrder, 1)
		p.rollouts.advance(t.Context(), p.rollouts.open["shop"])
	}
	a.see("v2", true, 20) // a alone finds it bad; b would complete it
	clock.pass(19500 * time.Millisecond)
	a.board.sound(clock.Now())
	b.board.sound(clock.Now())
	status.beforeAppend = func() { b.rollouts.advance(t.Context(), b.rollouts.open["shop"]) }
	a.rollouts.advance(t.Context(), a.rollouts.open["shop"])
	a.rollouts.advance(t.Context(), a.rollouts.open["shop"])
	if got := ends(status); len(got) != 1 {
		t.Fatalf("the register holds %d ends", len(got))
	}
	if x, y := a.rollouts.open["shop"].ended, b.rollouts.open["shop"].ended; x != y || x == 0 {
		t.Errorf("a ended with %v, b with %v", x, y)
	}
}

func TestLostAnswerOfTheEndIsReadBack(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	p := newParts("a", clock, status, &fakeLog{})
	p.listServers()
	p.rollouts.ordered(testOrder, 1)
	r := p.rollouts.open["shop"]
	p.rollouts.advance(t.Context(), r)
	clock.pass(19500 * time.Millisecond)
	p.board.sound(clock.Now())
	status.lose, status.appended = true, []error{keyedlog.ErrUnknown}
	p.rollouts.advance(t.Context(), r)
	if r.ended != 0 {
		t.Error("ended without knowing it")
	}
	p.rollouts.advance(t.Context(), r)
	if got := ends(status); len(got) != 1 || r.ended != passthrough.PhaseCompleted {
		t.Errorf("ends %v, known %v", got, r.ended)
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
	if err := observations.Append(t.Context(), keyedlog.Anywhere, a.board.due()...); err != nil {
		t.Fatal(err)
	}
	b := newParts("b", clock, status, observations)
	b.listServers()
	b.rollouts.ordered(testOrder, 1)
	tl := b.board.tail(clock, b.rollouts.active)
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

// TestRegisterHistories runs seeded histories of instances that plan, lose answers, meet a
// store that is away, and restart, in any order: one end is written, nobody believes in
// another, and a version that was told to fail is never completed.
func TestRegisterHistories(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runHistory(t, seed) })
	}
}

func runHistory(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	clock, status, observations := newFakeClock(), &fakeLog{}, &fakeLog{}
	bad := seed%2 == 0
	start := func(i int) *parts {
		p := newParts(fmt.Sprint("instance-", i), clock, status, observations)
		p.listServers()
		p.rollouts.ordered(testOrder, 1)
		if err := p.board.tail(clock, p.rollouts.active).once(t.Context()); err != nil {
			t.Fatal(err)
		}
		return p
	}
	if bad { // what was seen before, and told
		first := start(9)
		first.rollouts.advance(t.Context(), first.rollouts.open["shop"])
		first.see("v2", true, 10)
		if err := observations.Append(t.Context(), keyedlog.Anywhere, first.board.due()...); err != nil {
			t.Fatal(err)
		}
	}
	var fleet []*parts
	for i := range 3 {
		fleet = append(fleet, start(i))
	}
	for range 400 {
		clock.pass(time.Duration(rng.IntN(150)) * time.Millisecond)
		i := rng.IntN(len(fleet))
		p := fleet[i]
		switch rng.IntN(12) {
		case 0:
			status.appended = append(status.appended, keyedlog.ErrUnknown)
			status.lose = rng.IntN(2) == 0
		case 1:
			status.newest = append(status.newest, keyedlog.ErrNotDone)
		case 2:
			if rng.IntN(6) == 0 {
				fleet[i] = start(i)
			}
		case 3:
			p.see("v1", false, 5)
		case 4:
			p.see("v2", bad, 2)
		case 5, 6:
			if err := observations.Append(t.Context(), keyedlog.Anywhere, p.board.due()...); err != nil {
				t.Fatal(err)
			}
		case 7, 8:
			if err := p.board.tail(clock, p.rollouts.active).once(t.Context()); err != nil {
				t.Fatal(err)
			}
		case 9:
			// Another instance comes between the next read of the register and its write.
			other := fleet[rng.IntN(len(fleet))]
			status.beforeAppend = func() {
				if r := other.rollouts.open["shop"]; other != p && r.ended == 0 {
					other.rollouts.advance(t.Context(), r)
				}
			}
		default:
			if r := p.rollouts.open["shop"]; r.ended == 0 {
				p.rollouts.advance(t.Context(), r)
			}
		}
	}
	status.appended, status.newest, status.lose = nil, nil, false
	clock.pass(20 * time.Second)
	for _, p := range fleet {
		for range 3 {
			if r := p.rollouts.open["shop"]; r.ended == 0 {
				p.rollouts.advance(t.Context(), r)
			}
		}
	}
	got := ends(status)
	if len(got) != 1 {
		t.Fatalf("the register holds %v", got)
	}
	for i, p := range fleet {
		if known := p.rollouts.open["shop"].ended; known != got[0] {
			t.Errorf("instance %d has %v, the register %v", i, known, got[0])
		}
	}
	if bad && got[0] == passthrough.PhaseCompleted {
		t.Error("a version that failed throughout was completed")
	}
}

func TestBoardTellsCrashesToTheOthers(t *testing.T) {
	clock, observations := newFakeClock(), &fakeLog{}
	a, b := newParts("a", clock, &fakeLog{}, observations), newParts("b", clock, &fakeLog{}, observations)
	tl := b.board.tail(clock, b.rollouts.active)
	if err := tl.once(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		a.board.crashed(passthrough.CrashSeen{Fingerprint: 9})
	}
	if err := observations.Append(t.Context(), keyedlog.Anywhere, a.board.due()...); err != nil {
		t.Fatal(err)
	}
	if err := tl.once(t.Context()); err != nil {
		t.Fatal(err)
	}
	route := &passthrough.Route{Name: "r", Kind: passthrough.KindIdempotent, MaxAttempts: 2, Timeout: time.Second, Target: time.Second}
	tk := b.driver.open(passthrough.Request{Route: route, Service: "shop", Fingerprint: 9, Deadline: clock.Now().Add(time.Second), Target: clock.Now().Add(time.Second)})
	if c, ok := (<-tk.commands).(passthrough.Refuse); !ok || c.Reason != passthrough.ReasonQuarantined {
		t.Errorf("got %+v", c)
	}
}

// TestEndReachesInstancesThatDoNotWrite holds for an instance that reads the store by its
// collector: it takes an end over from the topic, though it would not have judged so.
func TestEndReachesInstancesThatDoNotWrite(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	writer, follower := newParts("a", clock, status, &fakeLog{}), newParts("b", clock, status, &fakeLog{})
	follower.rollouts.writes = func() bool { return false }
	tl := follower.rollouts.tail(status)
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

// TestVersionThatTurnsBadLateIsFoundSoon holds for a version with a long good start.
func TestVersionThatTurnsBadLateIsFoundSoon(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	p := newParts("a", clock, status, &fakeLog{})
	p.listServers()
	p.rollouts.ordered(testOrder, 1)
	r := p.rollouts.open["shop"]
	step := func(good, bad int) {
		clock.pass(400 * time.Millisecond)
		p.see("v2", false, good)
		p.see("v2", true, bad)
		p.see("v1", false, 40)
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
		a.board.crashed(passthrough.CrashSeen{Fingerprint: 9})
	}
	write := func() {
		t.Helper()
		if err := observations.Append(t.Context(), keyedlog.Anywhere, a.board.due()...); err != nil {
			t.Fatal(err)
		}
	}
	write()
	late := newParts("late", clock, &fakeLog{}, observations)
	if err := late.board.tail(clock, late.rollouts.active).once(t.Context()); err != nil {
		t.Fatal(err)
	}
	route := &passthrough.Route{Name: "r", Kind: passthrough.KindIdempotent, MaxAttempts: 2, Timeout: time.Second, Target: time.Second}
	tk := late.driver.open(passthrough.Request{Route: route, Service: "shop", Fingerprint: 9, Deadline: clock.Now().Add(time.Second), Target: clock.Now().Add(time.Second)})
	if c, ok := (<-tk.commands).(passthrough.Refuse); !ok || c.Reason == passthrough.ReasonQuarantined {
		t.Errorf("got %+v", c)
	}
	clock.pass(noteLife + time.Second)
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
		if err := observations.Append(t.Context(), keyedlog.Anywhere, p.board.due()...); err != nil {
			t.Fatal(err)
		}
	}
	start := func() *parts {
		p := newParts("a", clock, status, observations)
		p.listServers()
		p.rollouts.ordered(testOrder, 1)
		p.board.takeAll(observations.records)
		p.rollouts.advance(t.Context(), p.rollouts.open["shop"])
		return p
	}
	before := start()
	before.see("v2", true, 4)
	write(before)
	clock.pass(5 * time.Second)
	after := start()
	after.see("v2", true, 2)
	write(after)
	clock.pass(time.Second)
	after.rollouts.advance(t.Context(), after.rollouts.open["shop"])
	if got := ends(status); len(got) != 1 || got[0] != passthrough.PhaseReverted {
		t.Errorf("ends %v after six bad answers by two processes", got)
	}
	clock.pass(noteLife + time.Second)
	dropped := 0
	for _, r := range after.board.due() {
		if len(r.Value) == 0 {
			dropped++
		}
	}
	if dropped != 2 {
		t.Errorf("%d sheets are dropped, want those of both processes", dropped)
	}
}

// TestReaderTakesABadVersionBackInTheEnd leaves the register to others, who do not see what
// this instance sees.
func TestReaderTakesABadVersionBackInTheEnd(t *testing.T) {
	clock, status := newFakeClock(), &fakeLog{}
	p := newParts("a", clock, status, &fakeLog{})
	p.rollouts.writes = func() bool { return false }
	p.listServers()
	p.rollouts.ordered(testOrder, 1)
	r := p.rollouts.open["shop"]
	p.rollouts.advance(t.Context(), r)
	p.see("v2", true, 8)
	p.rollouts.advance(t.Context(), r)
	if got := ends(status); len(got) != 0 {
		t.Fatalf("ends %v at once", got)
	}
	clock.pass(revertAnyway)
	p.rollouts.advance(t.Context(), r)
	if got := ends(status); len(got) != 1 || got[0] != passthrough.PhaseReverted {
		t.Errorf("ends %v", got)
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
		a.board.regained(6 * time.Second)
		a.board.sound(clock.Now())
		r := a.rollouts.open["shop"]
		a.rollouts.advance(t.Context(), r)
		if r.ended != c.want {
			t.Errorf("%+v: ended as %v at once", c, r.ended)
		}
		if err := observations.Append(t.Context(), keyedlog.Anywhere, b.board.due()...); err != nil {
			t.Fatal(err)
		}
		a.board.takeAll(observations.records)
		clock.pass(gossipTime)
		a.board.sound(clock.Now())
		a.rollouts.advance(t.Context(), r)
		if c.want == 0 && r.ended != passthrough.PhaseReverted {
			t.Errorf("%+v: ended as %v by the others' word", c, r.ended)
		}
	}
}

// TestNoCompletionWhileNothingCanBeWritten holds that an instance whose own sheet does not
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
	p.board.sound(clock.Now())
	p.board.unwritten()
	p.rollouts.advance(t.Context(), r)
	if r.ended != 0 {
		t.Fatalf("ended as %v", r.ended)
	}
	clock.pass(gossipTime)
	p.board.sound(clock.Now())
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
			s := passthrough.Shift{N: 1, Sum: x, Squares: x * x}
			p.board.observed(passthrough.Observed{Service: "shop", Route: "r", Version: "v2", Pace: s})
		}
	}
	look := func() passthrough.Phase {
		p.board.sound(clock.Now())
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

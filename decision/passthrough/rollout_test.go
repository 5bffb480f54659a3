package passthrough

import (
	"math"
	"testing"
	"time"
)

func TestPlan(t *testing.T) {
	o := Order{Service: "llm", Target: "v2", Duration: 24 * time.Second}
	limit := ExposureLimit{Share: 0.15, Tolerance: 30}
	tests := []struct {
		at    time.Duration
		bad   bool
		phase Phase
		first bool
	}{
		{0, false, PhaseCanary, true},
		{11 * time.Second, false, PhaseCanary, true},
		{12 * time.Second, false, PhaseCanary, false},
		{22 * time.Second, false, PhaseCanary, false},
		{23 * time.Second, false, PhaseCompleted, false},
		{3 * time.Second, true, PhaseReverted, true},
		{23 * time.Second, true, PhaseReverted, false},
	}
	for _, tt := range tests {
		r := PlanRollout(o, testStart, tt.at, limit, Counts{Good: 10}, Counts{Good: 500}, tt.bad)
		if r.Phase != tt.phase || r.FirstHalf != tt.first {
			t.Errorf("%v bad %v: phase %v, first half %v", tt.at, tt.bad, r.Phase, r.FirstHalf)
		}
		if r.Phase == PhaseCanary && r.Share > limit.Share {
			t.Errorf("canary gets %v of %v", r.Share, limit.Share)
		}
	}
}

// TestExposureStaysInItsLimit plays roll-outs of versions that never show a bad answer, and
// holds what they get up to the deadline against the limit.
func TestExposureStaysInItsLimit(t *testing.T) {
	limit := ExposureLimit{Share: 0.15, Tolerance: 30}
	for _, duration := range []time.Duration{12 * time.Second, 16 * time.Second, 24 * time.Second, 60 * time.Second} {
		for _, perSecond := range []int{20, 50, 200} {
			b := newRolloutHarness(t)
			long, short := streamRoute(), streamRoute()
			long.Name, short.Name = "long", "short"
			b.configure(long, short)
			list := servers("llm", 8, 4000)
			for i := range 4 {
				list[i].Version = "v2"
			}
			c := Config{Version: 2, Services: []Service{{Name: "llm", Slots: 4000}}}
			b.tick(Configured{NewIndex(c)}, ServersListed{list})
			o := Order{Service: "llm", Target: "v2", Duration: duration}
			start := b.now
			var fresh, old Counts
			type job struct {
				id    RequestID
				until time.Time
			}
			var jobs []job
			step := time.Second / time.Duration(perSecond)
			for i := 0; b.now.Sub(start) < duration; i++ {
				elapsed := b.now.Sub(start)
				b.tick(RolloutUpdated{PlanRollout(o, b.now, elapsed, limit, fresh, old, false)})
				keep := jobs[:0]
				for _, j := range jobs {
					if j.until.After(b.now) {
						keep = append(keep, j)
						continue
					}
					b.tick(AttemptEnded{Request: j.id, Result: Completed})
				}
				jobs = keep
				route, took := long, 4*time.Second
				if i%2 == 0 {
					route, took = short, 500*time.Millisecond
				}
				id := b.arrive(route, func(r *Request) { r.RolloutPosition = float64(i*37%100) / 100 })
				if b.dispatched(id).Server.Version == "v2" {
					fresh.Good++
				} else {
					old.Good++
				}
				jobs = append(jobs, job{id, b.now.Add(took)})
				b.advance(step)
			}
			total := float64(fresh.Total() + old.Total())
			if most := limit.Share*total + limit.Tolerance; float64(fresh.Total()) > most {
				t.Errorf("%v at %d a second: the new version got %d of %.0f, allowed %.0f", duration, perSecond, fresh.Total(), total, most)
			}
			if fresh.Total() < int(0.04*total) {
				t.Errorf("%v at %d a second: the new version got %d of %.0f", duration, perSecond, fresh.Total(), total)
			}
		}
	}
}

func TestJudge(t *testing.T) {
	tests := []struct {
		name       string
		fresh, old Counts
		want       bool
	}{
		{"nothing seen", Counts{}, Counts{}, false},
		{"a few failures", Counts{Good: 3, Bad: 4}, Counts{Good: 100}, false},
		{"all fail and nothing is seen of the old one", Counts{Bad: 8}, Counts{}, true},
		{"half fail", Counts{Good: 6, Bad: 6}, Counts{Good: 100, Bad: 2}, true},
		{"a third fails late", Counts{Good: 30, Bad: 14}, Counts{Good: 400, Bad: 8}, true},
		{"both fail alike", Counts{Good: 20, Bad: 6}, Counts{Good: 200, Bad: 60}, false},
		{"good with noise", Counts{Good: 60, Bad: 5}, Counts{Good: 600, Bad: 30}, false},
	}
	for _, tt := range tests {
		if got := IsBad(tt.fresh, tt.old); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestFaultsDoNotHideAFailingVersion holds that a version which fails 45 of 82 answers is bad,
// though a fault has cut off a quarter of the old version's: counts of both kinds in one.
func TestFaultsDoNotHideAFailingVersion(t *testing.T) {
	if !IsBad(Counts{Good: 32, Bad: 50}, Counts{Good: 2400, Bad: 870}) {
		t.Error("a version that fails half of its answers passes beside an old one that a fault strikes")
	}
}

// TestVerdictOutlastsAFaultOfTheOldVersion holds that a version which was found bad is not let in again
// since the old one's answers are cut off too: it gets nothing that could clear it.
func TestVerdictOutlastsAFaultOfTheOldVersion(t *testing.T) {
	var e Evidence
	now := testStart
	look := func(fresh, old Counts) bool {
		now = now.Add(400 * time.Millisecond)
		return e.Evaluate(now, map[string]VersionCounts{"route": {New: fresh, Old: old}})
	}
	if look(Counts{Good: 20, Bad: 2}, Counts{Good: 800, Bad: 10}) {
		t.Fatal("bad by two of 22 answers")
	}
	if !look(Counts{Good: 30, Bad: 30}, Counts{Good: 1000, Bad: 20}) {
		t.Fatal("not bad by half of the answers")
	}
	for i := range 40 {
		if !look(Counts{Good: 30, Bad: 30}, Counts{Good: 1000, Bad: 20 + 100*i}) {
			t.Fatalf("let in again after %v", now.Sub(testStart))
		}
	}
}

// TestSilenceIsNoEvidenceOnAVersion holds that answers given up in an overload, which
// strike every version, do not hide a bad one.
func TestSilenceIsNoEvidenceOnAVersion(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(streamRoute())
	b.tick(ServersListed{servers("llm", 3, 8)},
		RolloutUpdated{Rollout{Order: Order{Service: "llm", Target: "v2"}, Phase: PhaseCanary, Share: 0.1}})
	id := b.arrive(streamRoute(), nil)
	b.tick(AttemptEnded{Request: id, Result: Broken})
	for _, c := range b.allCommands {
		if o, ok := c.(Observation); ok && o.Bad {
			t.Fatalf("silence was told as bad: %+v", o)
		}
	}
	b.tick(AttemptEnded{Request: id, Result: Failed})
	bad := 0
	for _, c := range b.allCommands {
		if o, ok := c.(Observation); ok && o.Bad {
			bad++
		}
	}
	if bad != 1 {
		t.Errorf("%d bad answers told, want the failure alone", bad)
	}
}

// TestLongPromptsDoNotMakeAVersionSlow holds for times to a first event as good versions had
// them: eight answers of one route, some with long prompts on a cold cache.
func TestLongPromptsDoNotMakeAVersionSlow(t *testing.T) {
	for _, ratios := range [][]float64{{2, 3, 9, 2.5, 6, 4, 2, 3}, {1, 12, 8, 2, 9, 1.5, 3, 5, 2, 4, 1, 2}} {
		var c Counts
		for _, ratio := range ratios {
			c = c.Add(Observation{FirstByte: singleRatio(ratio), EventInterval: singleRatio(1.1)})
		}
		if IsBad(c, Counts{Good: 100}) {
			t.Errorf("judged bad by %v", ratios)
		}
	}
	var slow Counts
	for _, ratio := range []float64{3.1, 3.6, 4.2, 3.4, 3.8} {
		slow = slow.Add(Observation{EventInterval: singleRatio(ratio)})
	}
	if !IsBad(slow, Counts{Good: 100}) {
		t.Error("five answers at three and a half times the pace were not enough")
	}
}

// TestVersionThatEndsNothingIsFound holds for a version whose streams do not end within the
// roll-out: the pace of their first events is told.
func TestVersionThatEndsNothingIsFound(t *testing.T) {
	b := newRolloutHarness(t)
	b.tick(canaryUpdate(true))
	var told Counts
	take := func(out []Command) {
		for _, c := range out {
			if o, ok := c.(Observation); ok && o.Version == "v2" {
				told = told.Add(o)
			}
		}
	}
	for i := range 24 {
		id := b.arrive(streamRoute(), func(r *Request) { r.RolloutPosition = 0.9 })
		take(b.tick(EventIntervalMeasured{Request: id, EventInterval: 40 * time.Millisecond}))
		take(b.tick(AttemptEnded{Request: id, Result: Completed, EventInterval: 40 * time.Millisecond}))
		if i%4 == 3 { // these go on and on
			id := b.arrive(streamRoute(), func(r *Request) { r.RolloutPosition = 0.1 })
			take(b.tick(EventIntervalMeasured{Request: id, EventInterval: 400 * time.Millisecond}))
		}
	}
	if told.Total() != 0 || told.EventInterval.N != 6 {
		t.Errorf("told %+v, want paces alone", told)
	}
	if !IsBad(told, Counts{Good: 24}) {
		t.Error("six streams at ten times the pace were not enough")
	}
}

// one is the shift of a single ratio.
func singleRatio(ratio float64) LogRatioStats {
	var s LogRatioStats
	s.add(math.Log(ratio))
	return s
}

// slowBench runs answers of the old and the new version and returns what was told of the
// new one.
func playTimes(t *testing.T, fresh func(i int) (first, pace time.Duration)) Counts {
	b := newRolloutHarness(t)
	b.tick(canaryUpdate(true))
	var told Counts
	run := func(share float64, first, pace time.Duration) {
		id := b.arrive(streamRoute(), func(r *Request) { r.RolloutPosition = share })
		b.advance(first)
		b.tick(FirstByte{Request: id, After: first})
		for _, c := range b.tick(AttemptEnded{Request: id, Result: Completed, EventInterval: pace}) {
			if o, ok := c.(Observation); ok && o.Version == "v2" {
				told = told.Add(o)
			}
		}
	}
	for i := range 60 {
		// Times to a first event spread sixfold, by the length of prompts.
		spread := time.Duration(1 + i%6)
		run(0.9, 50*time.Millisecond*spread, 40*time.Millisecond)
		if i%4 == 0 {
			first, pace := fresh(i)
			run(0.1, first*spread, pace)
		}
	}
	return told
}

func TestSlowVersionIsFoundBySpreadTimes(t *testing.T) {
	tests := []struct {
		name        string
		first, pace time.Duration
		want        bool
	}{
		{"like the old one", 50 * time.Millisecond, 40 * time.Millisecond, false},
		{"cold cache", 90 * time.Millisecond, 45 * time.Millisecond, false},
		{"eight times as slow", 400 * time.Millisecond, 320 * time.Millisecond, true},
		{"three times as slow between events", 50 * time.Millisecond, 120 * time.Millisecond, true},
	}
	for _, tt := range tests {
		told := playTimes(t, func(int) (time.Duration, time.Duration) { return tt.first, tt.pace })
		if got := IsBad(told, Counts{Good: 60}); got != tt.want {
			t.Errorf("%s: judged bad %v, want %v: %+v", tt.name, got, tt.want, told)
		}
	}
}

// TestLittleSeenOfABadVersionIsEnoughAtTheEnd holds that two bad answers of seven stop a
// completion, and that one alone, or a usual share of many, does not.
func TestLittleSeenOfABadVersionIsEnoughAtTheEnd(t *testing.T) {
	order, limit := Order{Duration: 8 * time.Second}, ExposureLimit{Share: 0.2, Tolerance: 30}
	old := Counts{Good: 115}
	cases := []struct {
		fresh Counts
		want  Phase
	}{
		{Counts{Good: 7, Bad: 3}, PhaseReverted},
		{Counts{Good: 5, Bad: 2}, PhaseReverted},
		{Counts{Good: 30, Bad: 2}, PhaseCompleted},
		{Counts{Good: 9, Bad: 1}, PhaseCompleted},
		{Counts{Good: 60, Bad: 4}, PhaseCompleted},
	}
	for _, c := range cases {
		if got := PlanRollout(order, testStart, order.Duration, limit, c.fresh, old, IsBad(c.fresh, old)); got.Phase != c.want {
			t.Errorf("%+v: phase %v, want %v", c.fresh, got.Phase, c.want)
		}
		if got := PlanRollout(order, testStart, order.Duration/2, limit, c.fresh, old, IsBad(c.fresh, old)); got.Phase != PhaseCanary {
			t.Errorf("%+v: phase %v halfway", c.fresh, got.Phase)
		}
	}
}

// TestVersionInDoubtIsHeld holds that a version which looks slow, but not beyond chance, is
// neither completed nor taken back at the end, and gets nothing more once it may have given all
// the bad answers that are borne.
func TestVersionInDoubtIsHeld(t *testing.T) {
	order, limit := Order{Duration: 20 * time.Second}, ExposureLimit{Share: 0.1, Tolerance: 30}
	old := Counts{Good: 4000}
	// The paces are e^0.55 = 1.7 times the usual in the mean, and spread.
	doubtful := func(n int) Counts {
		var c Counts
		for i := range n {
			x := 0.05
			if i%2 == 0 {
				x = 1.05
			}
			c.Good++
			c.EventInterval.add(x)
		}
		return c
	}
	cases := []struct {
		name  string
		fresh Counts
		at    time.Duration
		held  bool
		share bool
		phase Phase
	}{
		{"at the end", doubtful(30), order.Duration, true, true, PhaseCanary},
		{"long after it", doubtful(30), 3 * order.Duration, true, true, PhaseCanary},
		{"before the end", doubtful(30), order.Duration / 2, false, true, PhaseCanary},
		{"with all borne", doubtful(90), order.Duration / 2, false, false, PhaseCanary},
		{"with all borne, at the end", doubtful(90), order.Duration, true, false, PhaseCanary},
		{"nothing seen of its pace", Counts{Good: 30}, order.Duration, false, true, PhaseCompleted},
	}
	for _, c := range cases {
		got := PlanRollout(order, testStart, c.at, limit, c.fresh, old, false)
		if got.Phase != c.phase || got.Held != c.held || (got.Share > 0) != c.share {
			t.Errorf("%s: %+v", c.name, got)
		}
		if c.phase == PhaseCanary && !got.CompleteAt.IsZero() {
			t.Errorf("%s: requests lead over to a version in doubt", c.name)
		}
	}
}

package passthrough

import (
	"math"
	"testing"
	"time"
)

// TestPlanRollout guards against a phase that does not follow from the time and the verdict,
// and against a canary with more than its share.
func TestPlanRollout(t *testing.T) {
	o := Order{Service: "llm", Target: "v2", Duration: 24 * time.Second}
	limit := ExposureLimit{Share: 0.15, Tolerance: 30}
	tests := []struct {
		at        time.Duration
		bad       bool
		phase     Phase
		firstHalf bool
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
		if r.Phase != tt.phase || r.FirstHalf != tt.firstHalf {
			t.Errorf("%v bad %v: phase %v, first half %v", tt.at, tt.bad, r.Phase, r.FirstHalf)
		}
		if r.Phase == PhaseCanary && r.Share > limit.Share {
			t.Errorf("the canary gets a share of %v, want at most %v", r.Share, limit.Share)
		}
	}
}

// TestExposureStaysWithinLimit guards against giving a version more requests than the limit up to
// the deadline, for versions that never show a bad response.
func TestExposureStaysWithinLimit(t *testing.T) {
	limit := ExposureLimit{Share: 0.15, Tolerance: 30}
	for _, duration := range []time.Duration{12 * time.Second, 16 * time.Second, 24 * time.Second, 60 * time.Second} {
		for _, perSecond := range []int{20, 50, 200} {
			h := newRolloutHarness(t)
			long, short := streamRoute(), streamRoute()
			long.Name, short.Name = "long", "short"
			h.configure(long, short)
			list := servers("llm", 8, 4000)
			for i := range 4 {
				list[i].Version = "v2"
			}
			c := Config{Version: 2, Services: []Service{{Name: "llm", Slots: 4000}}}
			h.tick(Configured{NewIndex(c)}, ServersListed{list})
			o := Order{Service: "llm", Target: "v2", Duration: duration}
			start := h.now
			var newCounts, oldCounts Counts
			type job struct {
				id    RequestID
				until time.Time
			}
			var jobs []job
			step := time.Second / time.Duration(perSecond)
			for i := 0; h.now.Sub(start) < duration; i++ {
				elapsed := h.now.Sub(start)
				h.tick(RolloutUpdated{PlanRollout(o, h.now, elapsed, limit, newCounts, oldCounts, false)})
				keep := jobs[:0]
				for _, j := range jobs {
					if j.until.After(h.now) {
						keep = append(keep, j)
						continue
					}
					h.tick(AttemptEnded{Request: j.id, Result: Completed})
				}
				jobs = keep
				route, took := long, 4*time.Second
				if i%2 == 0 {
					route, took = short, 500*time.Millisecond
				}
				id := h.arrive(route, func(r *Request) { r.RolloutPosition = float64(i*37%100) / 100 })
				if h.requireDispatch(id).Server.Version == "v2" {
					newCounts.Good++
				} else {
					oldCounts.Good++
				}
				jobs = append(jobs, job{id, h.now.Add(took)})
				h.advance(step)
			}
			total := float64(newCounts.Total() + oldCounts.Total())
			if allowed := limit.Share*total + limit.Tolerance; float64(newCounts.Total()) > allowed {
				t.Errorf("%v at %d requests per second: the new version got %d of %.0f, allowed %.0f", duration, perSecond, newCounts.Total(), total, allowed)
			}
			if newCounts.Total() < int(0.04*total) {
				t.Errorf("%v at %d requests per second: the new version got only %d of %.0f, want at least 0.04 of them", duration, perSecond, newCounts.Total(), total)
			}
		}
	}
}

// TestIsBad guards against wrong verdicts by the counts of good and bad responses.
func TestIsBad(t *testing.T) {
	tests := []struct {
		name                 string
		newCounts, oldCounts Counts
		want                 bool
	}{
		{"no responses", Counts{}, Counts{}, false},
		{"a few failures", Counts{Good: 3, Bad: 4}, Counts{Good: 100}, false},
		{"all fail and the old version has no responses", Counts{Bad: 8}, Counts{}, true},
		{"half fail", Counts{Good: 6, Bad: 6}, Counts{Good: 100, Bad: 2}, true},
		{"a third fails late", Counts{Good: 30, Bad: 14}, Counts{Good: 400, Bad: 8}, true},
		{"both fail alike", Counts{Good: 20, Bad: 6}, Counts{Good: 200, Bad: 60}, false},
		{"good with noise", Counts{Good: 60, Bad: 5}, Counts{Good: 600, Bad: 30}, false},
	}
	for _, tt := range tests {
		if got := IsBad(tt.newCounts, tt.oldCounts); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestFaultsDoNotHideAFailingVersion guards against excusing a version of which 50 of 82
// responses are bad because a fault makes 870 of 3,270 of the old version's bad too.
func TestFaultsDoNotHideAFailingVersion(t *testing.T) {
	if !IsBad(Counts{Good: 32, Bad: 50}, Counts{Good: 2400, Bad: 870}) {
		t.Error("a version that fails half of its responses is not judged bad while a fault affects the old one")
	}
}

// TestVerdictOutlastsAFaultOfTheOldVersion guards against giving a bad version requests again
// because the old version's responses are cut off too: the bad one gets nothing that could clear
// it.
func TestVerdictOutlastsAFaultOfTheOldVersion(t *testing.T) {
	var e Evidence
	now := testStart
	evaluate := func(newCounts, oldCounts Counts) bool {
		now = now.Add(400 * time.Millisecond)
		return e.Evaluate(now, map[string]VersionCounts{"route": {New: newCounts, Old: oldCounts}})
	}
	if evaluate(Counts{Good: 20, Bad: 2}, Counts{Good: 800, Bad: 10}) {
		t.Fatal("judged bad by two bad responses of 22, want no verdict yet")
	}
	if !evaluate(Counts{Good: 30, Bad: 30}, Counts{Good: 1000, Bad: 20}) {
		t.Fatal("not judged bad, want a verdict as half of the responses are bad")
	}
	for i := range 40 {
		if !evaluate(Counts{Good: 30, Bad: 30}, Counts{Good: 1000, Bad: 20 + 100*i}) {
			t.Fatalf("no longer judged bad after %v, want the verdict to be final", now.Sub(testStart))
		}
	}
}

// TestTimeoutIsNotCountedAsBad guards against counting attempts that time out in an overload as
// bad responses: an overload affects every version, so a bad one would not stand out.
func TestTimeoutIsNotCountedAsBad(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(streamRoute())
	h.tick(ServersListed{servers("llm", 3, 8)},
		RolloutUpdated{Rollout{Order: Order{Service: "llm", Target: "v2"}, Phase: PhaseCanary, Share: 0.1}})
	id := h.arrive(streamRoute(), nil)
	h.tick(AttemptEnded{Request: id, Result: Broken})
	for _, c := range h.allCommands {
		if o, ok := c.(Observation); ok && o.Bad {
			t.Fatalf("a timeout was reported as bad, want it not to count as bad: %+v", o)
		}
	}
	h.tick(AttemptEnded{Request: id, Result: Failed})
	bad := 0
	for _, c := range h.allCommands {
		if o, ok := c.(Observation); ok && o.Bad {
			bad++
		}
	}
	if bad != 1 {
		t.Errorf("%d bad responses reported, want only the failure", bad)
	}
}

// TestLongPromptsDoNotMakeAVersionSlow guards against reverting good versions by their times to the
// first byte: eight or twelve responses of one route, some with long prompts and a cold cache, with
// ratios that good versions may have.
func TestLongPromptsDoNotMakeAVersionSlow(t *testing.T) {
	for _, ratios := range [][]float64{{2, 3, 9, 2.5, 6, 4, 2, 3}, {1, 12, 8, 2, 9, 1.5, 3, 5, 2, 4, 1, 2}} {
		var c Counts
		for _, ratio := range ratios {
			c = c.Add(Observation{FirstByte: singleRatio(ratio), EventInterval: singleRatio(1.1)})
		}
		if IsBad(c, Counts{Good: 100}) {
			t.Errorf("judged bad by times to the first byte of %v times the old version's, want no verdict", ratios)
		}
	}
	var slow Counts
	for _, ratio := range []float64{3.1, 3.6, 4.2, 3.4, 3.8} {
		slow = slow.Add(Observation{EventInterval: singleRatio(ratio)})
	}
	if !IsBad(slow, Counts{Good: 100}) {
		t.Error("not judged bad by five responses with three and a half times the event interval")
	}
}

// TestVersionWithoutCompletedStreamsIsJudged guards against completing a version whose streams are
// so slow that none ends within the roll-out: the intervals of their first events are reported.
func TestVersionWithoutCompletedStreamsIsJudged(t *testing.T) {
	h := newRolloutHarness(t)
	h.tick(canaryUpdate(true))
	var reported Counts
	collect := func(out []Command) {
		for _, c := range out {
			if o, ok := c.(Observation); ok && o.Version == "v2" {
				reported = reported.Add(o)
			}
		}
	}
	for i := range 24 {
		id := h.arrive(streamRoute(), func(r *Request) { r.RolloutPosition = 0.9 })
		collect(h.tick(EventIntervalMeasured{Request: id, EventInterval: 40 * time.Millisecond}))
		collect(h.tick(AttemptEnded{Request: id, Result: Completed, EventInterval: 40 * time.Millisecond}))
		if i%4 == 3 { // these streams never end
			id := h.arrive(streamRoute(), func(r *Request) { r.RolloutPosition = 0.1 })
			collect(h.tick(EventIntervalMeasured{Request: id, EventInterval: 400 * time.Millisecond}))
		}
	}
	if reported.Total() != 0 || reported.EventInterval.N != 6 {
		t.Errorf("reported %+v, want only the event intervals of 6 streams", reported)
	}
	if !IsBad(reported, Counts{Good: 24}) {
		t.Error("not judged bad by six streams with ten times the event interval")
	}
}

// singleRatio returns the statistics of a single ratio.
func singleRatio(ratio float64) LogRatioStats {
	var s LogRatioStats
	s.add(math.Log(ratio))
	return s
}

// simulateResponses runs responses of the old and the new version, and returns the counts reported
// for the new one.
func simulateResponses(t *testing.T, newTimes func(i int) (firstByte, interval time.Duration)) Counts {
	h := newRolloutHarness(t)
	h.tick(canaryUpdate(true))
	var reported Counts
	run := func(position float64, firstByte, interval time.Duration) {
		id := h.arrive(streamRoute(), func(r *Request) { r.RolloutPosition = position })
		h.advance(firstByte)
		h.tick(FirstByte{Request: id, After: firstByte})
		for _, c := range h.tick(AttemptEnded{Request: id, Result: Completed, EventInterval: interval}) {
			if o, ok := c.(Observation); ok && o.Version == "v2" {
				reported = reported.Add(o)
			}
		}
	}
	for i := range 60 {
		// Times to the first byte vary sixfold, with the length of prompts.
		spread := time.Duration(1 + i%6)
		run(0.9, 50*time.Millisecond*spread, 40*time.Millisecond)
		if i%4 == 0 {
			firstByte, interval := newTimes(i)
			run(0.1, firstByte*spread, interval)
		}
	}
	return reported
}

// TestSlowVersionIsFoundDespiteSpreadTimes guards against missing a slow version, or reverting
// a good one, because the times of single responses vary with the length of prompts.
func TestSlowVersionIsFoundDespiteSpreadTimes(t *testing.T) {
	tests := []struct {
		name                string
		firstByte, interval time.Duration
		want                bool
	}{
		{"like the old version", 50 * time.Millisecond, 40 * time.Millisecond, false},
		{"cold cache", 90 * time.Millisecond, 45 * time.Millisecond, false},
		{"eight times as slow", 400 * time.Millisecond, 320 * time.Millisecond, true},
		{"three times the event interval", 50 * time.Millisecond, 120 * time.Millisecond, true},
	}
	for _, tt := range tests {
		reported := simulateResponses(t, func(int) (time.Duration, time.Duration) { return tt.firstByte, tt.interval })
		if got := IsBad(reported, Counts{Good: 60}); got != tt.want {
			t.Errorf("%s: judged bad %v, want %v: %+v", tt.name, got, tt.want, reported)
		}
	}
}

// TestFewBadResponsesPreventCompletion guards against completing a version of which little
// is known: two bad responses of seven stop a completion; one alone, or a usual fraction of many,
// does not.
func TestFewBadResponsesPreventCompletion(t *testing.T) {
	order, limit := Order{Duration: 8 * time.Second}, ExposureLimit{Share: 0.2, Tolerance: 30}
	oldCounts := Counts{Good: 115}
	cases := []struct {
		newCounts Counts
		want      Phase
	}{
		{Counts{Good: 7, Bad: 3}, PhaseReverted},
		{Counts{Good: 5, Bad: 2}, PhaseReverted},
		{Counts{Good: 30, Bad: 2}, PhaseCompleted},
		{Counts{Good: 9, Bad: 1}, PhaseCompleted},
		{Counts{Good: 60, Bad: 4}, PhaseCompleted},
	}
	for _, c := range cases {
		if got := PlanRollout(order, testStart, order.Duration, limit, c.newCounts, oldCounts, IsBad(c.newCounts, oldCounts)); got.Phase != c.want {
			t.Errorf("%+v: phase %v, want %v", c.newCounts, got.Phase, c.want)
		}
		if got := PlanRollout(order, testStart, order.Duration/2, limit, c.newCounts, oldCounts, IsBad(c.newCounts, oldCounts)); got.Phase != PhaseCanary {
			t.Errorf("%+v: phase %v halfway, want PhaseCanary", c.newCounts, got.Phase)
		}
	}
}

// TestDoubtfulVersionIsHeld guards against a wrong verdict on a version that looks slow, but so
// little that it may be chance: at the end it is neither completed nor reverted, and it gets no more
// requests once it may have given all the bad responses that are tolerated.
func TestDoubtfulVersionIsHeld(t *testing.T) {
	order, limit := Order{Duration: 20 * time.Second}, ExposureLimit{Share: 0.1, Tolerance: 30}
	oldCounts := Counts{Good: 4000}
	// The logarithms of the ratios are spread around 0.55, which is 1.7 times the usual interval.
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
		name      string
		newCounts Counts
		at        time.Duration
		held      bool
		share     bool
		phase     Phase
	}{
		{"at the end", doubtful(30), order.Duration, true, true, PhaseCanary},
		{"long after it", doubtful(30), 3 * order.Duration, true, true, PhaseCanary},
		{"before the end", doubtful(30), order.Duration / 2, false, true, PhaseCanary},
		{"with all tolerated", doubtful(90), order.Duration / 2, false, false, PhaseCanary},
		{"with all tolerated, at the end", doubtful(90), order.Duration, true, false, PhaseCanary},
		{"no event intervals", Counts{Good: 30}, order.Duration, false, true, PhaseCompleted},
	}
	for _, c := range cases {
		got := PlanRollout(order, testStart, c.at, limit, c.newCounts, oldCounts, false)
		if got.Phase != c.phase || got.Held != c.held || (got.Share > 0) != c.share {
			t.Errorf("%s: %+v", c.name, got)
		}
		if c.phase == PhaseCanary && !got.CompleteAt.IsZero() {
			t.Errorf("%s: requests switch early to a version in doubt, want no CompleteAt", c.name)
		}
	}
}

package passthrough

import (
	"testing"
	"time"
)

// fillBudget sends requests that fill the retry budget.
func (b *harness) fillRetryBudget() {
	b.t.Helper()
	for range 20 {
		b.tick(AttemptEnded{Request: b.arrive(streamRoute(), nil), Result: Completed})
	}
}

func TestSmallestModelFirstThenTheLargest(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(streamRoute())
	b.tick(ServersListed{servers("llm", 3, 8)})
	b.fillRetryBudget()
	id := b.arrive(streamRoute(), nil)
	first := b.dispatched(id)
	if bar := b.world.ConfidenceThreshold(id); first.Model != "small" || bar <= evenConfidence || bar >= 1 {
		t.Errorf("first: model %q, bar %v", first.Model, bar)
	}
	b.tick(AttemptEnded{Request: id, Result: Dropped})
	second := b.dispatched(id)
	if bar := b.world.ConfidenceThreshold(id); second.Model != "large" || bar != 0 {
		t.Errorf("second: model %q, bar %v", second.Model, bar)
	}
}

func TestNothingIsDroppedWithoutBudgetForTheRepeat(t *testing.T) {
	b := newHarness(t, Settings{Seed: 1, RetryRatio: 0, RetrySlack: 1, RetryWindow: 1e9})
	b.configure(streamRoute())
	b.tick(ServersListed{servers("llm", 3, 8)})
	id := b.arrive(streamRoute(), nil)
	b.dispatched(id)
	if bar := b.world.ConfidenceThreshold(id); bar != 0 {
		t.Errorf("bar %v with an empty budget", bar)
	}
}

func TestOneAttemptAsksTheLargest(t *testing.T) {
	b := newHarness(t, Settings{})
	route := streamRoute()
	route.MaxAttempts = 1
	b.configure(route)
	b.tick(ServersListed{servers("llm", 3, 8)})
	id := b.arrive(route, nil)
	if d, bar := b.dispatched(id), b.world.ConfidenceThreshold(id); d.Model != "large" || bar != 0 {
		t.Errorf("model %q, bar %v", d.Model, bar)
	}
}

func TestWhatMayNotRunTwiceAsksTheLargest(t *testing.T) {
	b := newHarness(t, Settings{})
	route := streamRoute()
	route.Resumable = false
	b.configure(route)
	b.tick(ServersListed{servers("llm", 3, 8)})
	id := b.arrive(route, nil)
	if d, bar := b.dispatched(id), b.world.ConfidenceThreshold(id); d.Model != "large" || bar != 0 {
		t.Errorf("model %q, bar %v", d.Model, bar)
	}
}

func TestFullServersAreAskedForTheSmallestModel(t *testing.T) {
	b := newHarness(t, Settings{})
	route := streamRoute()
	route.MaxAttempts = 1
	b.configure(route)
	b.tick(ServersListed{servers("llm", 1, 8)})
	model := ""
	for range 8 {
		model = b.dispatched(b.arrive(route, nil)).Model
	}
	if model != "small" {
		t.Errorf("the last place was given to %q", model)
	}
}

// TestOneCrowdedServerIsNoFullService sends one prompt's requests to one server: its last
// places, too, go by the cascade while the other servers have room.
func TestOneCrowdedServerIsNoFullService(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(streamRoute())
	b.tick(ServersListed{servers("llm", 8, 8)})
	b.fillRetryBudget()
	for _, s := range servers("llm", 8, 8)[1:] {
		b.tick(LoadReported{Server: s.ID, Load: Load{Running: 3, Slots: 8}})
	}
	b.tick(LoadReported{Server: "llm-0", Load: Load{Running: 7, Slots: 8}})
	crowded := b.world.servers["llm-0"]
	r := &request{Request: Request{Route: streamRoute(), Deadline: b.now.Add(time.Second)}, service: crowded.service, server: crowded}
	b.world.requests[0] = r
	r.model = b.world.chooseModel(r, occupancyOf(r.service, b.world.viewServers(r.service)).headroom(r))
	if bar := b.world.ConfidenceThreshold(0); r.model != 0 || bar == 0 {
		t.Errorf("size %d with the bar %v, want the smallest with a bar", r.model, bar)
	}
}

// TestWhatWasDroppedIsNeverAskedOfTheSmallestAgain: it would doubt its answer again.
func TestWhatWasDroppedIsNeverAskedOfTheSmallestAgain(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(streamRoute())
	b.tick(ServersListed{servers("llm", 2, 8)})
	b.fillRetryBudget()
	id := b.arrive(streamRoute(), nil)
	for range 13 {
		b.arrive(streamRoute(), nil)
	}
	b.tick(AttemptEnded{Request: id, Result: Dropped})
	if d := b.dispatched(id); d.Model != "large" {
		t.Errorf("asked of %q on full servers, want the largest", d.Model)
	}
}

// TestTheLargestModelIsKeptForTheFirstRank fills the places: the last rank loses the largest
// model first, and the bar sinks bit by bit.
func TestTheLargestModelIsKeptForTheFirstRank(t *testing.T) {
	for _, c := range []struct {
		rank        int
		taken, want float64
	}{
		{0, 0.5, 1}, {0, 0.875, 0.5}, {0, 1, 0},
		{1, 0.5, 1}, {1, 0.88, 0}, {2, 0.5, 1}, {2, 0.76, 0}, {9, 0.76, 0},
	} {
		if got := utilizationRamp.headroom(c.rank, c.taken); got < c.want-0.01 || got > c.want+0.01 {
			t.Errorf("rank %d with %v taken: room %v, want %v", c.rank, c.taken, got, c.want)
		}
	}
}

// drop ends an answer that its engine doubted.
func (b *harness) dropAnswer(id RequestID, confidence float64) {
	b.tick(AttemptEnded{Request: id, Result: Dropped, Confidence: confidence})
}

// roomyBench has engines and a retry budget that do not bind.
func newRoomyHarness(t *testing.T) *harness {
	t.Helper()
	b := newHarness(t, Settings{Seed: 1, RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, SessionTTL: time.Second})
	b.configure(streamRoute())
	b.tick(ServersListed{servers("llm", 3, 800)})
	return b
}

// TestTheMiddleModelIsAskedWhereTheSmallestWasNearlySure: a fifth of what the smallest doubts
// is a little too hard for it alone. Where the middle model doubts its answer too, the largest
// is asked, and so are all others.
func TestTheMiddleModelIsAskedWhereTheSmallestWasNearlySure(t *testing.T) {
	b := newRoomyHarness(t)
	near, far := b.arrive(streamRoute(), nil), b.arrive(streamRoute(), nil)
	b.dropAnswer(near, 0.5)
	b.dropAnswer(far, 0.1)
	if d := b.dispatched(near); d.Model != "middle" || b.world.ConfidenceThreshold(near) == 0 {
		t.Errorf("nearly sure: asked %q with the bar %v", d.Model, b.world.ConfidenceThreshold(near))
	}
	if d := b.dispatched(far); d.Model != "large" {
		t.Errorf("far from sure: asked %q", d.Model)
	}
	b.dropAnswer(near, 0.4)
	if d := b.dispatched(near); d.Model != "large" || b.world.ConfidenceThreshold(near) != 0 {
		t.Errorf("doubted twice: asked %q with the bar %v", d.Model, b.world.ConfidenceThreshold(near))
	}
}

// TestAMiddleModelThatIsNeverSureIsAskedNoMore learns from what the middle model says.
func TestAMiddleModelThatIsNeverSureIsAskedNoMore(t *testing.T) {
	b := newRoomyHarness(t)
	asked := 0
	for range 30 {
		id := b.arrive(streamRoute(), nil)
		b.dropAnswer(id, 0.5)
		if b.dispatched(id).Model == "middle" {
			asked++
			b.dropAnswer(id, 0.3)
		}
		b.tick(AttemptEnded{Request: id, Result: Completed, Confidence: 0.9})
	}
	if asked == 0 || asked > 6 {
		t.Errorf("the middle model was asked %d times in vain", asked)
	}
}

// TestNoMiddleModelWithoutAThirdAttempt: its answer could not be replaced.
func TestNoMiddleModelWithoutAThirdAttempt(t *testing.T) {
	b := newHarness(t, Settings{})
	route := streamRoute()
	route.MaxAttempts = 2
	b.configure(route)
	b.tick(ServersListed{servers("llm", 3, 8)})
	b.fillRetryBudget()
	id := b.arrive(route, nil)
	b.dropAnswer(id, 0.5)
	if d := b.dispatched(id); d.Model != "large" {
		t.Errorf("asked %q", d.Model)
	}
}

// TestInstanceThatGetsLittleDropsWeakAnswers plays one of 300 instances with a request each four
// seconds, all of them weak: half of these may be asked of a larger model.
func TestInstanceThatGetsLittleDropsWeakAnswers(t *testing.T) {
	b := newHarness(t, Settings{Seed: 1, RetryRatio: 0.765, RetrySlack: 156, RetryWindow: 10 * time.Second, SessionTTL: time.Second})
	b.tick(FleetSize{Instances: 300})
	b.configure(streamRoute())
	b.tick(ServersListed{servers("llm", 3, 8)})
	const requests = 40
	dropped := 0
	for range requests {
		b.advance(4 * time.Second)
		id := b.arrive(streamRoute(), nil)
		if b.world.ConfidenceThreshold(id) > 0 {
			dropped++
			b.tick(AttemptEnded{Request: id, Result: Dropped})
		}
		b.tick(AttemptEnded{Request: id, Result: Completed, Confidence: 1})
	}
	if dropped < requests/2 {
		t.Errorf("%d of %d weak answers could be dropped", dropped, requests)
	}
}

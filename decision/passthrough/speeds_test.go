package passthrough

import (
	"math"
	"testing"
	"time"

	"masticplank.example/decision/speed"
)

// stateSpeeds lets each server of the list state a factor.
func (h *harness) stateSpeeds(list []Server, factors ...float64) {
	for i, srv := range list {
		h.tick(LoadReported{Server: srv.ID, Load: Load{Slots: srv.Slots, Slowdown: factors[i%len(factors)]}})
		h.advance(time.Second)
		h.tick(LoadReported{Server: srv.ID, Load: Load{Slots: srv.Slots, Slowdown: factors[i%len(factors)]}})
	}
}

// newSpeedHarness returns a harness with engines that state the factors in turn.
func newSpeedHarness(t *testing.T, count int, factors ...float64) *harness {
	t.Helper()
	list := servers("llm", count, 8)
	h := newListedHarness(t, streamRoute(), list)
	h.stateSpeeds(list, factors...)
	return h
}

// TestFastServersOwnMorePrefixes guards against slow engines that get as many shared prompts as fast ones.
func TestFastServersOwnMorePrefixes(t *testing.T) {
	h := newSpeedHarness(t, 12, 0.6, 1.6)
	owned := map[float64]int{}
	for prefix := range uint64(2000) {
		views := h.world.viewServers(h.world.services["llm"])
		first := h.world.firstByHash(&request{Request: Request{PrefixHash: mix(prefix + 1)}}, views, 1, false)
		owned[views[first.index[0]].factor]++
	}
	if ratio := float64(owned[0.6]) / float64(owned[1.6]); ratio < 2.3 || ratio > 3.1 {
		t.Errorf("fast servers own %d prefixes, slow ones %d: %.1f times as many, want 2.7", owned[0.6], owned[1.6], ratio)
	}
}

// TestHotPrefixSpreadsAndReturns guards against one engine that gets all requests of a prefix, and against prompts that
// are processed at many engines for good once a prefix was hot.
func TestHotPrefixSpreadsAndReturns(t *testing.T) {
	var hot hotPrefixes
	const prefix, instances = 7, 68
	now := testStart
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		hot.add(now, prefix, 0.03, instances)
	}
	if got := hot.add(now, prefix, 0, instances); got < 5 {
		t.Errorf("a prefix that keeps four servers busy gets %d, want at least 5", got)
	}
	if got := hot.add(now, prefix+1, 0, instances); got != 1 {
		t.Errorf("an unknown prefix gets %d servers, want 1", got)
	}
	if got := hot.add(now.Add(3*hotPrefixMemory), prefix, 0, instances); got != 1 {
		t.Errorf("the prefix has %d servers long after its last request, want 1", got)
	}
}

// TestVersionOnSlowMachinesIsNotSlow guards against a good version that fails its roll-out because its servers run on
// slow machines.
func TestVersionOnSlowMachinesIsNotSlow(t *testing.T) {
	h := newSpeedHarness(t, 2, 0.6, 1.6)
	fast, slow := h.world.servers["llm-0"], h.world.servers["llm-1"]
	var baseline baselineTimes
	for range 10 {
		h.world.compareWithBaseline(fast, &baseline, loadLevel{}, 12*time.Millisecond)
	}
	got := h.world.compareWithBaseline(slow, &baseline, loadLevel{}, 32*time.Millisecond)
	if got.N != 1 || math.Abs(got.Sum) > 0.01 {
		t.Errorf("the log ratio of a slow machine's usual time is %.2f, want 0", got.Sum)
	}
	if bad := h.world.compareWithBaseline(slow, &baseline, loadLevel{}, 4*32*time.Millisecond); bad.Slow != 1 {
		t.Error("four times the usual time does not count as slow, want it to")
	}
}

// TestReportedPrefillIsInTheServersOwnTime guards against prefill that peers scale by the server's speed once more.
func TestReportedPrefillIsInTheServersOwnTime(t *testing.T) {
	h := newSpeedHarness(t, 1, 1.6)
	h.arrive(streamRoute(), func(r *Request) { r.PromptTokens = 100_000 })
	want := 1.6 * smallestPrefillPerToken * 100_000
	if got := h.world.OwnLoads()[0].PrefillTime.Seconds(); math.Abs(got-want) > 0.01*want {
		t.Errorf("%.2f s of prefill are reported, want %.2f", got, want)
	}
	h.tick(PeerLoads{Loads: []PeerLoad{{Key: h.world.servers["llm-0"].peerKey(), PrefillTime: time.Second}}})
	views := h.world.viewServers(h.world.services["llm"])
	if got := views[0].unscaledWait; math.Abs(got-want-1) > 0.01 {
		t.Errorf("a wait of %.2f s is expected, want the own %.2f and the peers' 1.00", got, want)
	}
}

// TestNoSpeedsWithoutStatements guards against services whose servers state no speeds and are treated differently for
// those of others.
func TestNoSpeedsWithoutStatements(t *testing.T) {
	h := newListedHarness(t, streamRoute(), servers("llm", 3, 8))
	h.stateSpeeds(servers("llm", 3, 8), 0)
	h.tick(PeerSpeeds{Rows: []speed.Row{{Server: 12345, Usual: 1.6, Samples: 9}}})
	if d := h.requireDispatch(h.arrive(streamRoute(), nil)); d.Speed != 0 || h.world.services["llm"].statesSpeeds {
		t.Errorf("chosen by a speed of %.1f, want none", d.Speed)
	}
	if rows := h.world.OwnSpeeds(); len(rows) != 0 {
		t.Errorf("speeds are reported: %v", rows)
	}
}

// TestRestartedServerIsAnother guards against a server that has started anew under its id, on another machine, and is
// treated as what it was.
func TestRestartedServerIsAnother(t *testing.T) {
	h := newSpeedHarness(t, 2, 1.6)
	list := servers("llm", 2, 8)
	list[0].StartTime++
	h.tick(ServersListed{list})
	if got := h.world.servers["llm-0"].usual; got != 1 {
		t.Errorf("the factor of a new process is %.1f, want 1", got)
	}
	if got := h.world.servers["llm-1"].usual; got != 1.6 {
		t.Errorf("the factor of the other server is %.1f, want 1.6", got)
	}
}

// TestBusyPlainServerIsAvoided guards against requests for a plain server whose machine is busy at this moment, beside
// others that are not.
func TestBusyPlainServerIsAvoided(t *testing.T) {
	list := servers("shop", 3, 8)
	h := newListedHarness(t, plainRoute(), list)
	h.stateSpeeds(list, 1)
	h.tick(LoadReported{Server: "shop-1", Load: Load{Slots: 8, Slowdown: 2.5}})
	for range 2 {
		if d := h.requireDispatch(h.arrive(plainRoute(), nil)); d.Server.ID == "shop-1" {
			t.Errorf("sent to the busy server, with a factor of %.1f", d.Speed)
		}
	}
	h.advance(speed.StatementTTL)
	h.tick()
	if got, _ := h.world.speedFactors(h.world.servers["shop-1"]); got != 1 {
		t.Errorf("the factor is %.1f after the statement has expired, want 1", got)
	}
}

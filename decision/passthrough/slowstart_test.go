package passthrough

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The limits of the tests' servers in slow start: 15 requests in a second from all instances.
const (
	testSlowStartDuration = 3 * time.Second
	testSlowStartRate     = 6.9
	testSlowStartBurst    = 1.5
	testSlowStartSlack    = 5.0
	testSlowStartLimit    = testSlowStartRate*testSlowStartBurst + testSlowStartSlack
	// testSlowStartQuota is how many of them the holder lets through at once.
	testSlowStartQuota = 6
)

// slowStartConfig returns a configuration with a service whose servers need a slow start.
func slowStartConfig() Config {
	return Config{Version: 1, Routes: []Route{*streamRoute()},
		Services: []Service{{Name: "llm", Slots: 1000, SlowStartDuration: testSlowStartDuration, SlowStartRate: testSlowStartRate}}}
}

// newSlowStartHarness returns an instance named self in failure domain "a", and the names of the
// neighbours that it knows: "i0", "i1" and so on, count of them.
func newSlowStartHarness(t *testing.T, self string, count int) (*harness, []string) {
	t.Helper()
	h := newHarness(t, Settings{
		Seed: 1, Domain: "a", Domains: []string{"a", "b", "c"}, SlowStartBurst: testSlowStartBurst, SlowStartSlack: testSlowStartSlack,
		RetryRatio: 0.5, RetrySlack: 5, RetryWindow: 10 * time.Second, SessionTTL: 5 * time.Second,
	})
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	h.tick(Configured{NewIndex(slowStartConfig())}, Neighbours{Self: self, Names: names})
	return h, names
}

// inSlowStart changes the servers to ones that have just started, and returns them.
func inSlowStart(list []Server) []Server {
	for i := range list {
		list[i].SlowStartRemaining = testSlowStartDuration
	}
	return list
}

// TestSlowStartQuotaKeepsTheBound guards against quotas that exceed what a server in slow
// start survives, with as many holders at once as are expected.
func TestSlowStartQuotaKeepsTheBound(t *testing.T) {
	for _, rate := range []float64{0, 0.4, 1, 2, 3.3, 6.9, 20, 100} {
		for _, burst := range []float64{1, 1.5, 3} {
			maxPerSecond := rate*burst + testSlowStartSlack
			quota := slowStartQuota(rate, maxPerSecond)
			if quota < 1 {
				t.Errorf("rate %v: a quota of %d, want at least 1", rate, quota)
			}
			if got := float64(maxHolderViews * quota); got > maxPerSecond {
				t.Errorf("rate %v, burst %v: %v requests in a second, allowed %v", rate, burst, got, maxPerSecond)
			}
		}
	}
}

// TestSlowStartLimitHoldsWithDifferingNeighbours guards against overloading a server in slow start
// when instances disagree on the holder: some know neighbours that others do not know yet, or that
// others know to be gone. All instances send a burst.
func TestSlowStartLimitHoldsWithDifferingNeighbours(t *testing.T) {
	fleets := []struct{ instances, domains int }{{8, 3}, {58, 3}, {300, 5}, {880, 24}}
	for _, f := range fleets {
		for seed := range uint64(4) {
			rng := rand.New(rand.NewPCG(seed, 1))
			neighbours := f.instances / f.domains
			var harnesses []*harness
			byName := map[string]*harness{}
			for i := range neighbours {
				h, names := newSlowStartHarness(t, fmt.Sprintf("i%d", i), neighbours)
				switch rng.IntN(3) {
				case 0: // does not know those that started recently
					names = append(names[:max(neighbours*4/5, 1)], fmt.Sprintf("i%d", i))
				case 1: // remembers some that are gone
					for j := range neighbours / 5 {
						names = append(names, fmt.Sprintf("gone%d", j))
					}
				}
				h.tick(Neighbours{Self: fmt.Sprintf("i%d", i), Names: names})
				byName[fmt.Sprintf("i%d", i)] = h
				h.tick(ServersListed{inSlowStart(inDomains(servers("llm", 1, 1000), "a"))})
				harnesses = append(harnesses, h)
			}
			var sent []time.Time
			for range 25 { // 2.5 s
				for _, h := range harnesses {
					h.advance(100 * time.Millisecond)
				}
				for _, h := range harnesses {
					for range 3 {
						sent = append(sent, sendGranted(h, h.arrive(streamRoute(), nil), byName)...)
					}
				}
			}
			total := len(sent)
			if inSecond := maxInAnySecond(sent); float64(inSecond) > testSlowStartLimit {
				t.Errorf("%d instances, seed %d: %d requests in a second, allowed %.1f", f.instances, seed, inSecond, testSlowStartLimit)
			}
			if total == 0 {
				t.Errorf("%d instances, seed %d: no instance sends to the server", f.instances, seed)
			}
		}
	}
}

// sendGranted returns when a request is sent, if it is dispatched now and gets a grant.
func sendGranted(h *harness, id RequestID, byName map[string]*harness) []time.Time {
	d, ok := h.last(id).(Dispatch)
	if !ok {
		return nil
	}
	wait, ok := obtainGrant(h, d, func(name string) *harness { return byName[name] })
	if !ok {
		return nil
	}
	return []time.Time{h.now.Add(wait)}
}

// maxInAnySecond is the largest number of the times in any second.
func maxInAnySecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	largest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// TestSlowStartMovesRequestsToOtherServers guards against refusals because of one server in
// slow start.
func TestSlowStartMovesRequestsToOtherServers(t *testing.T) {
	h, _ := newSlowStartHarness(t, "i0", 1)
	list := servers("llm", 3, 100)
	list[0].SlowStartRemaining = testSlowStartDuration
	h.tick(ServersListed{list})
	for range 100 {
		h.requireDispatch(h.arrive(streamRoute(), nil))
	}
}

// TestRequestsAreQueuedIfAllServersAreInSlowStart guards against requests that are refused or
// overtaken when all servers of a service are in slow start: they are dispatched as the quota
// allows, by priority.
func TestRequestsAreQueuedIfAllServersAreInSlowStart(t *testing.T) {
	h, _ := newSlowStartHarness(t, "i0", 1)
	h.tick(ServersListed{inSlowStart(servers("llm", 1, 100))})
	for range testSlowStartQuota {
		h.requireDispatch(h.arrive(streamRoute(), nil))
	}
	low := h.arrive(streamRoute(), func(r *Request) { r.Priority = 2 })
	high := h.arrive(streamRoute(), nil)
	if h.last(low) != nil || h.last(high) != nil {
		t.Fatalf("got %#v and %#v, want both to wait", h.last(low), h.last(high))
	}
	h.advance(slowStartWindow)
	h.tick()
	h.requireDispatch(high)
	h.requireDispatch(low)
}

// TestSlowStartNeedsKnownNeighbours guards against an instance that sends to servers in slow start
// without knowing its neighbours, as it may be one of hundreds: it refuses at once with a
// retry-after time. One that knows them sends to some of the servers without asking, and to others only with a
// grant.
func TestSlowStartNeedsKnownNeighbours(t *testing.T) {
	h, _ := newSlowStartHarness(t, "late", 1)
	h.tick(Neighbours{Self: "late", Names: []string{"i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7", "late"}})
	own := 0
	for i := range 40 {
		s := inSlowStart(servers("llm", i+1, 8))[i:]
		h.tick(ServersListed{s})
		if d := h.requireDispatch(h.arrive(streamRoute(), nil)); len(d.Holders) == 0 {
			own++
		} else if d.Holders[0] == "late" || !d.GrantRequest.SlowStart {
			t.Fatalf("asks %v with %+v, want another instance, and a question that states the slow start", d.Holders, d.GrantRequest)
		}
	}
	if own == 0 || own > 15 {
		t.Errorf("sends to %d of 40 servers without asking, want 1 to 15", own)
	}
	unaware := newHarness(t, Settings{Seed: 1, Domain: "a", SlowStartBurst: testSlowStartBurst, SlowStartSlack: testSlowStartSlack,
		RetryRatio: 0.5, RetrySlack: 5, RetryWindow: 10 * time.Second, SessionTTL: 5 * time.Second})
	unaware.tick(Configured{NewIndex(slowStartConfig())}, ServersListed{inSlowStart(servers("llm", 1, 8))})
	unaware.requireRefusal(unaware.arrive(streamRoute(), nil), ReasonSlowStart)
}

// TestSlowStartEnds guards against a slow start that never ends because the same entry is
// read again and again.
func TestSlowStartEnds(t *testing.T) {
	h, _ := newSlowStartHarness(t, "i0", 1)
	list := inSlowStart(servers("llm", 1, 100))
	for range 4 {
		h.tick(ServersListed{list})
		h.advance(testSlowStartDuration / 4)
	}
	h.advance(time.Millisecond)
	for range 20 {
		h.requireDispatch(h.arrive(streamRoute(), nil))
	}
}

// TestUnreachableServerEntersSlowStart guards against a burst at a server that has restarted before
// its entry states it: one that could not be reached enters slow start.
func TestUnreachableServerEntersSlowStart(t *testing.T) {
	h, _ := newSlowStartHarness(t, "i0", 1)
	h.tick(ServersListed{servers("llm", 1, 100)})
	h.tick(AttemptEnded{Request: h.arrive(streamRoute(), nil), Result: NotSent})
	h.advance(unreachableBackoff)
	sent := 0
	for range 20 {
		if _, ok := h.last(h.arrive(streamRoute(), nil)).(Dispatch); ok {
			sent++
		}
	}
	if sent != testSlowStartQuota {
		t.Errorf("%d requests at once, want %d", sent, testSlowStartQuota)
	}
}

// TestLostDomainEntersSlowStart guards against a burst at servers of a failure domain that restarts:
// three lost servers count as the whole domain, unless others there still respond.
func TestLostDomainEntersSlowStart(t *testing.T) {
	for _, othersRespond := range []bool{false, true} {
		h, _ := newSlowStartHarness(t, "i0", 1)
		list := inDomains(servers("llm", 12, 1000), "a", "b")
		h.tick(ServersListed{list})
		var ids []RequestID
		for len(ids) < domainLostThreshold {
			if id := h.arrive(streamRoute(), nil); h.requireDispatch(id).Server.Domain == "a" {
				ids = append(ids, id)
			}
		}
		for i, id := range ids {
			if othersRespond && i == domainLostThreshold-1 {
				h.tick(LoadReported{Server: list[10].ID})
			}
			h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true})
		}
		inSlowStart := 0
		for _, s := range h.world.servers {
			if s.inSlowStart(h.now) {
				inSlowStart++
			}
		}
		if all := inSlowStart == 6; all == othersRespond {
			t.Errorf("others respond: %v; %d of 6 servers are in slow start, want all only if no other responds", othersRespond, inSlowStart)
		}
	}
}

// TestRestartUnderTheSameIDEntersSlowStart guards against a burst at a server that restarted under
// its id: an entry with a later start puts it in slow start.
func TestRestartUnderTheSameIDEntersSlowStart(t *testing.T) {
	h, _ := newSlowStartHarness(t, "i0", 1)
	list := servers("llm", 1, 8)
	h.tick(ServersListed{list})
	restarted := servers("llm", 1, 8)
	restarted[0].StartTime = 2
	h.tick(ServersListed{restarted})
	if s := h.world.servers[list[0].ID]; !s.inSlowStart(h.now) || s.inSlowStart(h.now.Add(testSlowStartDuration)) {
		t.Errorf("in slow start until %v, want later than now and no later than testSlowStartDuration from now", s.slowStart.until)
	}
}

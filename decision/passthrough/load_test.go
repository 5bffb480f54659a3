package passthrough

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// plainCaller is one kind of requests of a load.
type plainCaller struct {
	team      string
	priority  int
	perSecond func(at time.Duration) float64
}

// plainTally counts the outcomes of a kind's requests, as its callers see them.
type plainTally struct {
	sent, inTarget, late, refused int
	// waits are the times until a refusal.
	waits []time.Duration
}

func (t plainTally) served() float64 { return float64(t.inTarget+t.late) / float64(max(t.sent, 1)) }

// simulatePlainLoad runs a load on plain servers with the given slots and service time, in
// steps of a millisecond, and returns the outcomes of each kind.
func simulatePlainLoad(t *testing.T, count, slots int, work, length time.Duration, callers []plainCaller) []plainTally {
	h := newHarness(t, Settings{})
	route := plainRoute()
	h.configure(route)
	h.tick(ServersListed{servers("shop", count, slots)})
	rng := rand.New(rand.NewPCG(3, 3))
	out := make([]plainTally, len(callers))
	kind := map[RequestID]int{}
	arrived := map[RequestID]time.Time{}
	type job struct {
		id    RequestID
		until time.Time
	}
	var jobs []job
	seen := 0
	processCommands := func() {
		for ; seen < len(h.allCommands); seen++ {
			switch c := h.allCommands[seen].(type) {
			case Dispatch:
				took := time.Duration((0.7 + 0.6*rng.Float64()) * float64(work))
				jobs = append(jobs, job{c.Request, h.now.Add(took)})
			case Refuse:
				tl := &out[kind[c.Request]]
				tl.refused++
				tl.waits = append(tl.waits, h.now.Sub(arrived[c.Request]))
			}
		}
	}
	start := h.now
	due := make([]float64, len(callers))
	for h.now.Sub(start) < length {
		h.advance(time.Millisecond)
		jobs = slices.DeleteFunc(jobs, func(j job) bool {
			if j.until.After(h.now) {
				return false
			}
			tl := &out[kind[j.id]]
			if h.now.Sub(arrived[j.id]) <= route.TargetLatency {
				tl.inTarget++
			} else {
				tl.late++
			}
			h.tick(AttemptEnded{Request: j.id, Result: Completed, EventInterval: work})
			return true
		})
		processCommands()
		for id, at := range arrived { // in operation a timer of router/internal/passthrough.Handler ends queue waits
			if r := h.world.requests[id]; r != nil && r.queued && h.now.Sub(at) >= MaxQueueWait(&Request{TargetTime: at.Add(route.TargetLatency), Deadline: at.Add(route.Timeout)}, at) {
				h.tick(QueueWaitExpired{id})
			}
			if h.world.requests[id] == nil && !slices.ContainsFunc(jobs, func(j job) bool { return j.id == id }) {
				delete(arrived, id)
			}
		}
		processCommands()
		for i, c := range callers {
			for due[i] += c.perSecond(h.now.Sub(start)) / 1000; due[i] >= 1; due[i]-- {
				out[i].sent++
				kind[h.next+1], arrived[h.next+1] = i, h.now
				h.arrive(route, func(r *Request) { r.Team, r.Priority = c.team, c.priority })
			}
		}
		processCommands()
	}
	return out
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Three servers of 6 slots that take 30 ms for each request respond to 600 requests per second.
const (
	testServers = 3
	testSlots   = 6
	testWork    = 30 * time.Millisecond
)

// TestQueueStaysShortInABurst guards against a burst that leaves a queue so long that all
// later responses come late.
func TestQueueStaysShortInABurst(t *testing.T) {
	burst := func(at time.Duration) float64 {
		if at > 2*time.Second && at < 4*time.Second {
			return 1500
		}
		return 200
	}
	got := simulatePlainLoad(t, testServers, testSlots, testWork, 7*time.Second, []plainCaller{{"a", 0, burst}})[0]
	// In the burst 3000 requests come and 1200 can be served; the other 1000 all can.
	if got.inTarget < 1900 {
		t.Errorf("%d of %d in time, want at least 1900; %d late, %d refused", got.inTarget, got.sent, got.late, got.refused)
	}
	if got.late > 50 {
		t.Errorf("%d responses came late, want at most 50: the queue is too long", got.late)
	}
	for _, w := range got.waits {
		if w > 70*time.Millisecond {
			t.Fatalf("a caller waited for %v and was then refused, want at most 70ms", w)
		}
	}
}

// TestLargeTeamDoesNotDisplaceSmallOnes guards against a large team's load that displaces
// small teams.
func TestLargeTeamDoesNotDisplaceSmallOnes(t *testing.T) {
	callers := []plainCaller{{"large", 0, constantRate(1600)}}
	for i := range 4 {
		callers = append(callers, plainCaller{fmt.Sprint("small-", i), 0, constantRate(40)})
	}
	got := simulatePlainLoad(t, testServers, testSlots, testWork, 4*time.Second, callers)
	for i, tl := range got[1:] {
		if tl.served() < 0.9 {
			t.Errorf("small team %d: %.2f served, want at least 0.9; %.2f of the large team", i, tl.served(), got[0].served())
		}
	}
	if used := got[0].inTarget + got[0].late; used < 1400 {
		t.Errorf("the large team got %d responses of the %d that were left, want at least 1400", used, 4*(600-160))
	}
}

// TestHighPriorityGoesFirstWithoutStarvingLowPriority guards against requests of low priority
// that delay those of high priority, or are starved by them.
func TestHighPriorityGoesFirstWithoutStarvingLowPriority(t *testing.T) {
	got := simulatePlainLoad(t, testServers, testSlots, testWork, 4*time.Second, []plainCaller{
		{"a", 0, constantRate(420)}, {"b", 2, constantRate(600)},
	})
	if got[0].served() < 0.93 {
		t.Errorf("high priority: %.2f served, want at least 0.93", got[0].served())
	}
	if got[1].served() < 0.1 {
		t.Errorf("low priority: %.2f served, want at least 0.1", got[1].served())
	}
}

// TestModerateLoadIsFullyServed guards against refusals and late responses at half of the
// capacity.
func TestModerateLoadIsFullyServed(t *testing.T) {
	got := simulatePlainLoad(t, testServers, testSlots, testWork, 4*time.Second, []plainCaller{{"a", 0, constantRate(300)}})[0]
	if got.refused > 0 || got.late > 0 {
		t.Errorf("%d refused, %d late of %d at half of the capacity, want none", got.refused, got.late, got.sent)
	}
}

// TestStreamsThatOutliveTheInstanceAreRefused guards against streams that are cut off when their
// instance stops: those that cannot end in time, here streams of six seconds, are refused
// at once with a retry-after time. Plain requests are still served.
func TestStreamsThatOutliveTheInstanceAreRefused(t *testing.T) {
	h := newHarness(t, Settings{})
	stream, plain := streamRoute(), plainRoute()
	h.configure(stream, plain)
	h.tick(ServersListed{append(servers("llm", 3, 8), servers("shop", 3, 8)...)})
	for range 20 {
		id := h.arrive(stream, nil)
		h.advance(6 * time.Second)
		h.tick(AttemptEnded{Request: id, Result: Completed})
	}
	h.tick(Stopping{At: h.now.Add(10 * time.Second)})
	h.requireDispatch(h.arrive(stream, nil))
	h.advance(3 * time.Second)
	if r := h.requireRefusal(h.arrive(stream, nil), ReasonStopping); r.RetryAfter <= 0 {
		t.Error("refused without a retry-after time, want one above 0")
	}
	h.requireDispatch(h.arrive(plain, nil))
}

// TestLateRequestsAreRefusedOnAllWays guards against requests that are passed on in the last tenths of a second before
// their instance stops, and are cut off: on arrival, from the queue, as a retry, or after a wait for a connection or a grant.
func TestLateRequestsAreRefusedOnAllWays(t *testing.T) {
	const responseTime, left = 200 * time.Millisecond, 500 * time.Millisecond
	newStopping := func() (*harness, *Route) {
		h := newHarness(t, Settings{})
		plain := plainRoute()
		h.configure(plain)
		h.tick(ServersListed{servers("shop", 2, 1)})
		for range 30 {
			id := h.arrive(plain, nil)
			h.advance(responseTime)
			h.tick(AttemptEnded{Request: id, Result: Completed})
		}
		h.tick(Stopping{At: h.now.Add(2 * time.Second)})
		return h, plain
	}
	t.Run("on arrival", func(t *testing.T) {
		h, plain := newStopping()
		h.requireDispatch(h.arrive(plain, nil))
		h.advance(2*time.Second - left)
		if r := h.requireRefusal(h.arrive(plain, nil), ReasonStopping); r.RetryAfter <= 0 {
			t.Error("refused without a retry-after time, want one above 0")
		}
	})
	t.Run("from the queue", func(t *testing.T) {
		h, plain := newStopping()
		long := func(r *Request) { r.Deadline = h.now.Add(10 * time.Second) }
		running := h.arrive(plain, long)
		waiting := running
		for h.last(waiting) != nil {
			waiting = h.arrive(plain, long)
		}
		h.advance(2*time.Second - left)
		h.tick(AttemptEnded{Request: running, Result: Completed})
		h.requireRefusal(waiting, ReasonStopping)
	})
	t.Run("as a retry", func(t *testing.T) {
		h, plain := newStopping()
		id := h.arrive(plain, func(r *Request) { r.Deadline = h.now.Add(10 * time.Second) })
		h.requireDispatch(id)
		h.advance(2*time.Second - left)
		h.tick(AttemptEnded{Request: id, Result: Rejected})
		h.requireRefusal(id, ReasonStopping)
	})
	t.Run("after a wait for a connection", func(t *testing.T) {
		h, plain := newStopping()
		id := h.arrive(plain, func(r *Request) { r.Deadline = h.now.Add(10 * time.Second) })
		server := h.requireDispatch(id).Server
		if !h.world.MaySend(h.now, id, server) {
			t.Fatal("a request in time may not be sent")
		}
		h.advance(2*time.Second - left)
		if h.world.MaySend(h.now, id, server) {
			t.Error("a late request may be sent")
		}
		h.tick(AttemptEnded{Request: id, Result: Withheld})
		h.requireRefusal(id, ReasonStopping)
	})
}

package passthrough

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The limits of the tests' cold servers: 15 requests in a second from all instances.
const (
	testSlowStartDuration = 3 * time.Second
	testSlowStartRate     = 6.9
	testSlowStartBurst    = 1.5
	testSlowStartSlack    = 5.0
	testSlowStartLimit    = testSlowStartRate*testSlowStartBurst + testSlowStartSlack
)

// warmUpConfig has a service whose servers start cold.
func slowStartConfig() Config {
	return Config{Version: 1, Routes: []Route{*streamRoute()},
		Services: []Service{{Name: "llm", Slots: 1000, SlowStartDuration: testSlowStartDuration, SlowStartRate: testSlowStartRate}}}
}

// newWarmUpBench is an instance in failure domain "a" with so many neighbours, itself among them.
func newSlowStartHarness(t *testing.T, self string, neighbours int) (*harness, []string) {
	t.Helper()
	b := newHarness(t, Settings{
		Seed: 1, Domain: "a", Domains: []string{"a", "b", "c"}, SlowStartBurst: testSlowStartBurst, SlowStartSlack: testSlowStartSlack,
		RetryRatio: 0.5, RetrySlack: 5, RetryWindow: 10 * time.Second, SessionTTL: 5 * time.Second,
	})
	var names []string
	for i := range neighbours {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	b.tick(Configured{NewIndex(slowStartConfig())}, Neighbours{Self: self, Names: names})
	return b, names
}

// cold says of servers that they have just started.
func inSlowStart(list []Server) []Server {
	for i := range list {
		list[i].SlowStartRemaining = testSlowStartDuration
	}
	return list
}

func TestFeedQuotaKeepsTheBound(t *testing.T) {
	for _, rate := range []float64{0, 0.4, 1, 2, 3.3, 6.9, 20, 100} {
		for _, burst := range []float64{1, 1.5, 3} {
			most := rate*burst + testSlowStartSlack
			subset, quota := slowStartQuota(rate, most)
			if subset < 1 || quota < 1 {
				t.Errorf("rate %v: a subset of %d, %d each", rate, subset, quota)
			}
			if got := float64(maxSubsetViews * subset * quota); got > most {
				t.Errorf("rate %v, burst %v: %v requests in a second, %v are borne", rate, burst, got, most)
			}
		}
	}
}

// TestColdServerUnderViewsThatDiffer plays a burst of all instances at one cold server. Some
// instances know of neighbours that others do not know yet, or no more.
func TestColdServerUnderViewsThatDiffer(t *testing.T) {
	fleets := []struct{ instances, domains int }{{8, 3}, {58, 3}, {300, 5}, {880, 24}}
	for _, f := range fleets {
		for seed := range uint64(4) {
			rng := rand.New(rand.NewPCG(seed, 1))
			near := f.instances / f.domains
			var worlds []*harness
			for i := range near {
				b, names := newSlowStartHarness(t, fmt.Sprintf("i%d", i), near)
				switch rng.IntN(3) {
				case 0: // has not heard of those that started lately
					names = append(names[:max(near*4/5, 1)], fmt.Sprintf("i%d", i))
				case 1: // remembers some that are gone
					for j := range near / 5 {
						names = append(names, fmt.Sprintf("gone%d", j))
					}
				}
				b.tick(Neighbours{Self: fmt.Sprintf("i%d", i), Names: names})
				b.tick(ServersListed{inSlowStart(inDomains(servers("llm", 1, 1000), "a"))})
				worlds = append(worlds, b)
			}
			most, feeding := 0, 0
			for range 25 { // 2.5 s
				sent := 0
				for _, b := range worlds {
					b.advance(100 * time.Millisecond)
					for range 3 {
						if _, ok := b.last(b.arrive(streamRoute(), nil)).(Dispatch); ok {
							sent++
						}
					}
				}
				feeding += sent
				most = max(most, sent)
			}
			if inSecond := maxInAnySecond(worlds); float64(inSecond) > testSlowStartLimit {
				t.Errorf("%d instances, seed %d: %d requests in a second, %.1f are borne", f.instances, seed, inSecond, testSlowStartLimit)
			}
			if feeding == 0 {
				t.Errorf("%d instances, seed %d: nobody sends to the server", f.instances, seed)
			}
		}
	}
}

// inAnySecond is the most dispatches of all instances in any second, in steps of 100 ms.
func maxInAnySecond(worlds []*harness) int {
	counts := map[int]int{}
	for _, b := range worlds {
		for _, at := range b.dispatchedAt {
			counts[int(at.Sub(testStart)/(100*time.Millisecond))]++
		}
	}
	most := 0
	const steps, horizon = 10, 100
	for from := range horizon {
		sum := 0
		for i := range steps {
			sum += counts[from+i]
		}
		most = max(most, sum)
	}
	return most
}

// TestOtherServersTakeWhatAColdOneMayNot holds that a cold server is no reason to refuse.
func TestOtherServersTakeWhatAColdOneMayNot(t *testing.T) {
	b, _ := newSlowStartHarness(t, "i0", 1)
	list := servers("llm", 3, 100)
	list[0].SlowStartRemaining = testSlowStartDuration
	b.tick(ServersListed{list})
	for range 100 {
		b.dispatched(b.arrive(streamRoute(), nil))
	}
}

// TestAllServersCold holds that, where all servers of the service are cold, what waits has its
// turn as they may get more, and by rank.
func TestAllServersCold(t *testing.T) {
	b, _ := newSlowStartHarness(t, "i0", 1)
	b.tick(ServersListed{inSlowStart(servers("llm", 1, 100))})
	for range 2 {
		b.dispatched(b.arrive(streamRoute(), nil))
	}
	low := b.arrive(streamRoute(), func(r *Request) { r.Priority = 2 })
	high := b.arrive(streamRoute(), nil)
	if b.last(low) != nil || b.last(high) != nil {
		t.Fatalf("got %#v and %#v, want both to wait", b.last(low), b.last(high))
	}
	b.advance(slowStartWindow)
	b.tick()
	b.dispatched(high)
	b.dispatched(low)
}

// TestNobodyFeedsWithoutKnowingItsNeighbours holds that an instance which has just started, and
// may be one of hundreds, refuses at once and says when to come back.
func TestNobodyFeedsWithoutKnowingItsNeighbours(t *testing.T) {
	b, _ := newSlowStartHarness(t, "late", 1)
	b.tick(Neighbours{Self: "late", Names: []string{"i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7", "late"}})
	fed, refused := 0, 0
	for i := range 40 {
		s := inSlowStart(servers("llm", i+1, 8))[i:]
		b.tick(ServersListed{s})
		switch c := b.last(b.arrive(streamRoute(), nil)).(type) {
		case Dispatch:
			fed++
		case Refuse:
			refused++
			if c.Reason != ReasonWarmingUp || c.RetryAfter <= 0 {
				t.Fatalf("refused with %+v", c)
			}
		}
	}
	if fed == 0 || fed > 25 {
		t.Errorf("feeds %d of 40 servers, refuses at %d", fed, refused)
	}
	fresh := newHarness(t, Settings{Seed: 1, Domain: "a", SlowStartBurst: testSlowStartBurst, SlowStartSlack: testSlowStartSlack,
		RetryRatio: 0.5, RetrySlack: 5, RetryWindow: 10 * time.Second, SessionTTL: 5 * time.Second})
	fresh.tick(Configured{NewIndex(slowStartConfig())}, ServersListed{inSlowStart(servers("llm", 1, 8))})
	fresh.refused(fresh.arrive(streamRoute(), nil), ReasonWarmingUp)
}

// TestServerIsWarmInTheEnd holds that the limit ends with the time that the entry gave, also
// where the same entry is read again and again.
func TestServerIsWarmInTheEnd(t *testing.T) {
	b, _ := newSlowStartHarness(t, "i0", 1)
	list := inSlowStart(servers("llm", 1, 100))
	for range 4 {
		b.tick(ServersListed{list})
		b.advance(testSlowStartDuration / 4)
	}
	b.advance(time.Millisecond)
	for range 20 {
		b.dispatched(b.arrive(streamRoute(), nil))
	}
}

// TestRefusedConnectionCountsAsAStart holds that a server which could not be reached is fed slowly
// from then on, before its entry says anything.
func TestRefusedConnectionCountsAsAStart(t *testing.T) {
	b, _ := newSlowStartHarness(t, "i0", 1)
	b.tick(ServersListed{servers("llm", 1, 100)})
	b.tick(AttemptEnded{Request: b.arrive(streamRoute(), nil), Result: NotSent})
	b.advance(unreachableBackoff)
	sent := 0
	for range 20 {
		if _, ok := b.last(b.arrive(streamRoute(), nil)).(Dispatch); ok {
			sent++
		}
	}
	if sent != 2 {
		t.Errorf("%d requests at once, want 2", sent)
	}
}

// TestLostDomainIsFedSlowly holds that three lost servers of a failure domain stand for all of it,
// unless others there still answer.
func TestLostDomainIsFedSlowly(t *testing.T) {
	for _, answers := range []bool{false, true} {
		b, _ := newSlowStartHarness(t, "i0", 1)
		list := inDomains(servers("llm", 12, 1000), "a", "b")
		b.tick(ServersListed{list})
		var ids []RequestID
		for len(ids) < domainLostThreshold {
			if id := b.arrive(streamRoute(), nil); b.dispatched(id).Server.Domain == "a" {
				ids = append(ids, id)
			}
		}
		for i, id := range ids {
			if answers && i == domainLostThreshold-1 {
				b.tick(LoadReported{Server: list[10].ID})
			}
			b.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true})
		}
		cooled := 0
		for _, s := range b.world.servers {
			if s.inSlowStart(b.now) {
				cooled++
			}
		}
		if all := cooled == 6; all == answers {
			t.Errorf("others answer: %v; %d of 6 servers are taken for cold", answers, cooled)
		}
	}
}

// TestRestartUnderTheSameIDIsCold holds that an entry with a later start is one of a cold server.
func TestRestartUnderTheSameIDIsCold(t *testing.T) {
	b, _ := newSlowStartHarness(t, "i0", 1)
	list := servers("llm", 1, 8)
	b.tick(ServersListed{list})
	again := servers("llm", 1, 8)
	again[0].StartTime = 2
	b.tick(ServersListed{again})
	if s := b.world.servers[list[0].ID]; !s.inSlowStart(b.now) || s.inSlowStart(b.now.Add(testSlowStartDuration)) {
		t.Errorf("cold until %v", s.slowStart.until)
	}
}

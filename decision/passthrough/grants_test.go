package passthrough

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// newGrantHarness returns an instance of the failure domain "a" with three others, and one shop there that states a limit,
// which is learned from a response.
func newGrantHarness(t *testing.T, self string, perSecond float64) *harness {
	t.Helper()
	h := newHarness(t, Settings{Seed: 1, Domain: "a", Domains: []string{"a", "b"}, RetryRatio: 0.5, RetrySlack: 50, RetryWindow: 10 * time.Second, SessionTTL: time.Second})
	h.configure(plainRoute())
	h.tick(ServersListed{servers("shop", 1, 50)}, FleetSize{Instances: 4}, Neighbours{Self: self, Names: []string{"edge-1", "edge-2", "edge-3", "edge-4"}})
	id := h.arrive(plainRoute(), nil)
	h.tick(AttemptEnded{Request: id, Result: Completed, Limit: &RateLimit{Limited: true, PerSecond: perSecond}})
	h.advance(5 * time.Second)
	return h
}

// holderOfShop returns the holder of the shop of newGrantHarness, and another instance.
func holderOfShop(t *testing.T) (holder, other string) {
	t.Helper()
	w := newGrantHarness(t, "edge-1", 20).world
	names := w.holders(w.servers["shop-0"])
	return names[0], names[1]
}

// TestOnlyTheHolderSendsWithoutAsking guards against requests that are sent to a rate-limited server without a grant, and
// against requests that are refused while the holder may have some left.
func TestOnlyTheHolderSendsWithoutAsking(t *testing.T) {
	holder, other := holderOfShop(t)
	h := newGrantHarness(t, other, 20)
	for range 12 {
		if d := h.requireDispatch(h.arrive(plainRoute(), nil)); len(d.Holders) == 0 || d.Holders[0] != holder {
			t.Errorf("asks %v, want %s first", d.Holders, holder)
		}
	}
	h = newGrantHarness(t, holder, 20)
	sent := 0
	for range 12 {
		if d, ok := h.last(h.arrive(plainRoute(), nil)).(Dispatch); ok {
			sent++
			if len(d.Holders) > 0 || d.GrantWait > maxGrantWait {
				t.Errorf("the holder asks %v and waits %v", d.Holders, d.GrantWait)
			}
		}
	}
	rate := limitUtilization * 20
	if most := rate*(limitBurstDuration+maxGrantWait).Seconds() + 1; sent < 1 || float64(sent) > most {
		t.Errorf("the holder sends %d at once, want 1 to %.1f", sent, most)
	}
}

// TestRefusedGrantIsNotAskedForAgainAtOnce guards against requests that ask for a grant again and again while the holder has
// none, or wait for one in vain.
func TestRefusedGrantIsNotAskedForAgainAtOnce(t *testing.T) {
	_, other := holderOfShop(t)
	h := newGrantHarness(t, other, 20)
	id := h.arrive(plainRoute(), nil)
	h.requireDispatch(id)
	h.tick(AttemptEnded{Request: id, Result: NotSent, NoGrant: true, GrantAfter: 300 * time.Millisecond})
	h.requireRefusal(id, ReasonLimited)
	if h.world.servers["shop-0"].backingOff(h.now) {
		t.Error("the server is in backoff because its holder had no grant")
	}
	h.requireRefusal(h.arrive(plainRoute(), nil), ReasonLimited)
	h.advance(300 * time.Millisecond)
	h.requireDispatch(h.arrive(plainRoute(), nil))
}

// TestGrantsKeepTheRate guards against a holder that gives peers more grants than a server's limit allows, and against one
// that gives fewer than are used.
func TestGrantsKeepTheRate(t *testing.T) {
	holder, _ := holderOfShop(t)
	h := newGrantHarness(t, holder, 20)
	ask := GrantRequest{Server: "shop-0", StartTime: 1, MaxWait: 100 * time.Millisecond}
	given := 0
	const length = 4 * time.Second
	for end := h.now.Add(length); h.now.Before(end); h.advance(10 * time.Millisecond) {
		got, ok := h.grant(ask)
		if !ok || got.Given && got.Wait > ask.MaxWait {
			t.Fatalf("got %+v, %v", got, ok)
		}
		if got.Given {
			given++
		}
	}
	if used := limitUtilization * 20 * length.Seconds(); float64(given) < used-1 || float64(given) > used+limitUtilization*20*0.5+1 {
		t.Errorf("%d grants in %v, want %.0f and a burst", given, length, used)
	}
	if _, ok := h.grant(GrantRequest{Server: "unknown"}); ok {
		t.Error("a grant for an unknown server was given")
	}
	if _, ok := h.grant(GrantRequest{Server: "shop-0", StartTime: 2}); ok {
		t.Error("a grant for another process of the server was given")
	}
}

// TestHolderLearnsFromTheQuestion guards against a holder that gives any number of grants as it has not heard of a server's
// limit or slow start yet.
func TestHolderLearnsFromTheQuestion(t *testing.T) {
	for name, ask := range map[string]GrantRequest{
		"limit":      {Limit: RateLimit{Limited: true, PerSecond: testSlowStartRate}},
		"slow start": {SlowStart: true},
	} {
		h, _ := newSlowStartHarness(t, "i0", 1)
		h.tick(ServersListed{servers("llm", 1, 1000)})
		ask.Server, ask.StartTime = "llm-0", 1
		given := 0
		for range 100 {
			if got, _ := h.grant(ask); got.Given {
				given++
			}
		}
		if given > testSlowStartQuota {
			t.Errorf("%s: %d grants at once, want %d at most", name, given, testSlowStartQuota)
		}
	}
}

// TestGrantBeforeTheConfigurationIsKnown guards against a process that has just started and ends by a question for a server
// in slow start, as it knows the server and not its service.
func TestGrantBeforeTheConfigurationIsKnown(t *testing.T) {
	h := newHarness(t, Settings{})
	h.tick(ServersListed{servers("llm", 1, 8)})
	given := 0
	for range 3 {
		if got, _ := h.grant(GrantRequest{Server: "llm-0", StartTime: 1, SlowStart: true}); got.Given {
			given++
		}
	}
	if given != 1 {
		t.Errorf("%d grants at once, want 1", given)
	}
}

// TestHoldersOfAnotherFailureDomain guards against instances that refuse requests for servers of another failure domain,
// and against a failure domain that is lost with all holders of its servers.
func TestHoldersOfAnotherFailureDomain(t *testing.T) {
	h := newHarness(t, Settings{Seed: 1, Domain: "a", Domains: []string{"a", "b"}, RetryRatio: 0.5, RetrySlack: 50, RetryWindow: 10 * time.Second, SessionTTL: time.Second})
	h.configure(plainRoute())
	list := servers("shop", 1, 50)
	list[0].Domain = "b"
	h.tick(ServersListed{list}, FleetSize{Instances: 20}, Neighbours{Self: "edge-1", Names: []string{"edge-1"}})
	id := h.arrive(plainRoute(), nil)
	h.tick(AttemptEnded{Request: id, Result: Completed, Limit: &RateLimit{Limited: true, PerSecond: 3}})
	if !h.world.LacksHolders() {
		t.Fatal("the holders of the server are known, want none")
	}
	h.requireRefusal(h.arrive(plainRoute(), nil), ReasonLimited)
	h.tick(RemoteNeighbours{Domain: "b", Names: []string{"edge-7", "edge-8", "edge-9", "edge-10"}})
	d := h.requireDispatch(h.arrive(plainRoute(), nil))
	if len(d.Holders) != homeHolders+1 || slices.Index(d.Holders, "edge-1") != homeHolders {
		t.Errorf("asks %v, want %d instances of the server's failure domain, and then the one of the other", d.Holders, homeHolders)
	}
	if got := h.world.SeniorHolders("shop-0"); fmt.Sprint(got) != fmt.Sprint(d.Holders[:homeHolders]) {
		t.Errorf("%v rank before this instance, want %v", got, d.Holders[:homeHolders])
	}
}

package passthrough

import (
	"testing"
	"time"
)

// inDomains spreads the servers over failure domains.
func inDomains(list []Server, domains ...string) []Server {
	for i := range list {
		list[i].Zone = domains[i%len(domains)]
	}
	return list
}

func TestDrainedDomainGetsNothingNew(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(streamRoute())
	list := inDomains(servers("llm", 6, 8), "a", "b", "c")
	b.tick(Listed{list}, Drained{[]string{"a"}})
	late := servers("llm", 7, 8)[6]
	b.tick(Listed{append(list, late)}) // in domain a, and listed after the order
	for range 20 {
		if d := b.dispatched(b.arrive(streamRoute(), nil)); d.Server.Zone == "a" {
			t.Fatalf("%s got a request", d.Server.ID)
		}
	}
}

func TestDrainedDomainGetsNoRetry(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(streamRoute())
	b.tick(Listed{inDomains(servers("llm", 2, 8), "a", "b")})
	b.tick(Drained{[]string{"b"}})
	id := b.arrive(streamRoute(), nil)
	b.tick(Ended{Request: id, Result: Broken, Begun: true, Cut: true})
	if d := b.dispatched(id); d.Server.Zone != "a" {
		t.Errorf("a resumed stream went to the drained failure domain")
	}
}

func TestWhatWaitsGoesElsewhere(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(plainRoute())
	b.tick(Listed{inDomains(servers("shop", 2, 1), "a", "b")})
	var running []RequestID
	for range 4 { // a place and one that waits at each
		running = append(running, b.arrive(plainRoute(), nil))
	}
	waiting := b.arrive(plainRoute(), nil)
	b.tick(Drained{[]string{"a"}})
	for _, id := range running {
		if b.dispatched(id).Server.Zone == "a" {
			b.tick(Ended{Request: id, Result: Completed})
		}
	}
	if b.last(waiting) != nil {
		t.Fatalf("got %#v though only the drained failure domain has room", b.last(waiting))
	}
	for _, id := range running {
		if b.dispatched(id).Server.Zone == "b" {
			b.tick(Ended{Request: id, Result: Completed})
		}
	}
	if d := b.dispatched(waiting); d.Server.Zone != "b" {
		t.Errorf("what waited went to %q", d.Server.Zone)
	}
}

// TestServiceWithoutServersIsRefusedAtOnce holds that callers learn at once, and when to come
// back, where the orders leave a service nothing.
func TestServiceWithoutServersIsRefusedAtOnce(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(plainRoute())
	b.tick(Listed{inDomains(servers("shop", 3, 6), "a", "b", "c")}, Drained{[]string{"a", "b", "c"}})
	if r := b.refused(b.arrive(plainRoute(), nil), ReasonNoServer); r.RetryAfter <= 0 {
		t.Errorf("come back after %v", r.RetryAfter)
	}
	b.tick(Drained{[]string{"a", "c"}})
	if d := b.dispatched(b.arrive(plainRoute(), nil)); d.Server.Zone != "b" {
		t.Errorf("went to %q", d.Server.Zone)
	}
}

func TestOrderForAnUnknownDomainChangesNothing(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(plainRoute())
	b.tick(Listed{servers("shop", 1, 6)}, Drained{[]string{"moon"}})
	b.dispatched(b.arrive(plainRoute(), nil))
}

// TestDrainedNewVersionIsNoReasonToRefuse plays a roll-out whose new servers all stand in the
// drained failure domain.
func TestDrainedNewVersionIsNoReasonToRefuse(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(streamRoute())
	list := inDomains(servers("llm", 4, 8), "a", "b")
	for i := range list {
		if list[i].Zone == "b" {
			list[i].Version = "v2"
		}
	}
	order := Order{Service: "llm", Target: "v2", Duration: 20 * time.Second}
	b.tick(Listed{list}, Drained{[]string{"b"}}, RolloutSet{Rollout{Order: order, Phase: PhaseCanary, Share: 1}})
	for range 10 {
		if d := b.dispatched(b.arrive(streamRoute(), nil)); d.Server.Zone != "a" {
			t.Fatalf("went to %q", d.Server.Zone)
		}
	}
}

// TestDomainTakenBackIsFedSlowly holds that all of a failure domain's servers count as cold once
// it is taken back, though no entry says so yet.
func TestDomainTakenBackIsFedSlowly(t *testing.T) {
	b, _ := newSlowStartHarness(t, "i0", 1)
	b.tick(Listed{inDomains(servers("llm", 2, 8), "a", "b")}, Drained{[]string{"a"}})
	b.tick(Drained{})
	near := 0
	for range 40 {
		if b.dispatched(b.arrive(streamRoute(), nil)).Server.Zone == "a" {
			near++
		}
	}
	if near == 0 || near > 2 {
		t.Errorf("%d requests at once to a server that may be cold", near)
	}
}

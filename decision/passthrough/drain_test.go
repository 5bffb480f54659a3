package passthrough

import (
	"testing"
	"time"
)

// inDomains spreads the servers over failure domains.
func inDomains(list []Server, domains ...string) []Server {
	for i := range list {
		list[i].Domain = domains[i%len(domains)]
	}
	return list
}

// TestDrainedDomainGetsNoNewRequests guards against new requests to a drained failure domain,
// also to servers that are listed after it was drained.
func TestDrainedDomainGetsNoNewRequests(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(streamRoute())
	list := inDomains(servers("llm", 6, 8), "a", "b", "c")
	h.tick(ServersListed{list}, DomainsDrained{[]string{"a"}})
	late := servers("llm", 7, 8)[6]
	h.tick(ServersListed{append(list, late)}) // in domain a, and listed after it was drained
	for range 20 {
		if d := h.requireDispatch(h.arrive(streamRoute(), nil)); d.Server.Domain == "a" {
			t.Fatalf("%s in the drained failure domain a got a request, want only servers of other domains", d.Server.ID)
		}
	}
}

// TestDrainedDomainGetsNoRetry guards against retries and resumed streams in a drained failure
// domain.
func TestDrainedDomainGetsNoRetry(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(streamRoute())
	h.tick(ServersListed{inDomains(servers("llm", 2, 8), "a", "b")})
	h.tick(DomainsDrained{[]string{"b"}})
	id := h.arrive(streamRoute(), nil)
	h.tick(AttemptEnded{Request: id, Result: Broken, Begun: true, ConnectionLost: true})
	if d := h.requireDispatch(id); d.Server.Domain != "a" {
		t.Errorf("a resumed stream went to the drained failure domain b, want a")
	}
}

// TestQueuedRequestAvoidsDrainedDomain guards against queued requests that are sent to a
// failure domain drained meanwhile.
func TestQueuedRequestAvoidsDrainedDomain(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(plainRoute())
	h.tick(ServersListed{inDomains(servers("shop", 2, 1), "a", "b")})
	var running []RequestID
	for range 4 { // a slot and one waiting request at each
		running = append(running, h.arrive(plainRoute(), nil))
	}
	waiting := h.arrive(plainRoute(), nil)
	h.tick(DomainsDrained{[]string{"a"}})
	for _, id := range running {
		if h.requireDispatch(id).Server.Domain == "a" {
			h.tick(AttemptEnded{Request: id, Result: Completed})
		}
	}
	if h.last(waiting) != nil {
		t.Fatalf("got %#v, want the request to wait, as only the drained failure domain has a free slot", h.last(waiting))
	}
	for _, id := range running {
		if h.requireDispatch(id).Server.Domain == "b" {
			h.tick(AttemptEnded{Request: id, Result: Completed})
		}
	}
	if d := h.requireDispatch(waiting); d.Server.Domain != "b" {
		t.Errorf("the queued request went to failure domain %q, want b", d.Server.Domain)
	}
}

// TestServiceWithoutServersIsRefusedAtOnce guards against callers that are queued without a
// chance, or refused without a retry-after time, if all failure domains of a service are drained.
func TestServiceWithoutServersIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(plainRoute())
	h.tick(ServersListed{inDomains(servers("shop", 3, 6), "a", "b", "c")}, DomainsDrained{[]string{"a", "b", "c"}})
	if r := h.requireRefusal(h.arrive(plainRoute(), nil), ReasonNoServer); r.RetryAfter <= 0 {
		t.Errorf("retry after %v, want more than 0", r.RetryAfter)
	}
	h.tick(DomainsDrained{[]string{"a", "c"}})
	if d := h.requireDispatch(h.arrive(plainRoute(), nil)); d.Server.Domain != "b" {
		t.Errorf("went to failure domain %q, want b", d.Server.Domain)
	}
}

// TestDrainingAnUnknownDomainChangesNothing guards against an unknown drained failure domain
// that affects others.
func TestDrainingAnUnknownDomainChangesNothing(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(plainRoute())
	h.tick(ServersListed{servers("shop", 1, 6)}, DomainsDrained{[]string{"moon"}})
	h.requireDispatch(h.arrive(plainRoute(), nil))
}

// TestDrainedNewVersionDoesNotCauseRefusals guards against refusals during a roll-out whose new
// servers are all in the drained failure domain.
func TestDrainedNewVersionDoesNotCauseRefusals(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(streamRoute())
	list := inDomains(servers("llm", 4, 8), "a", "b")
	for i := range list {
		if list[i].Domain == "b" {
			list[i].Version = "v2"
		}
	}
	order := Order{Service: "llm", Target: "v2", Duration: 20 * time.Second}
	h.tick(ServersListed{list}, DomainsDrained{[]string{"b"}}, RolloutUpdated{Rollout{Order: order, Phase: PhaseCanary, Share: 1}})
	for range 10 {
		if d := h.requireDispatch(h.arrive(streamRoute(), nil)); d.Server.Domain != "a" {
			t.Fatalf("went to failure domain %q, want a", d.Server.Domain)
		}
	}
}

// TestUndrainedDomainEntersSlowStart guards against a burst at servers that have just started:
// all servers of a failure domain enter slow start once it is no longer drained, even before an
// entry states that they have just started.
func TestUndrainedDomainEntersSlowStart(t *testing.T) {
	h, _ := newSlowStartHarness(t, "i0", 1)
	h.tick(ServersListed{inDomains(servers("llm", 2, 8), "a", "b")}, DomainsDrained{[]string{"a"}})
	h.tick(DomainsDrained{})
	count := 0
	for range 40 {
		if h.requireDispatch(h.arrive(streamRoute(), nil)).Server.Domain == "a" {
			count++
		}
	}
	if count == 0 || count > testSlowStartQuota {
		t.Errorf("%d requests at once to a server that may have just started, want 1 to %d", count, testSlowStartQuota)
	}
}

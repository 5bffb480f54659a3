package passthrough

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// brittleWorld returns the harness of the instance in a fleet with the domains and count plain servers, whose
// service states that it is brittle.
func brittleWorld(t *testing.T, domain string, domains, names []string, self string, count int) *harness {
	t.Helper()
	h := newHarness(t, Settings{Seed: 1, Domain: domain, Domains: domains, RetryRatio: 0.5, RetrySlack: 5, RetryWindow: 10 * time.Second, SessionTTL: time.Second})
	h.configure(plainRoute())
	list := servers("shop", count, shopSlots)
	h.tick(ServersListed{list})
	if names != nil {
		h.tick(Neighbours{Self: self, Names: names})
	}
	h.tick(ServerStated{Server: list[0], Brittle: true, BrittlePerSecond: 3, Sent: h.now})
	return h
}

// TestEachSlotHasOneOwner guards against servers that get more requests than they have slots, because several
// instances take the same slot for theirs, and against slots that nobody uses, or that one instance has most of.
func TestEachSlotHasOneOwner(t *testing.T) {
	for _, fleet := range []struct{ instances, domains, servers int }{{1, 1, 3}, {8, 3, 3}, {20, 1, 7}, {20, 1, 20}, {58, 3, 3}, {300, 5, 5}, {880, 24, 20}, {24, 24, 3}} {
		t.Run(fmt.Sprintf("%+v", fleet), func(t *testing.T) {
			var domains []string
			names := map[string][]string{}
			for i := range fleet.domains {
				domains = append(domains, fmt.Sprintf("domain-%02d", i))
			}
			for i := range fleet.instances {
				d := domains[i%fleet.domains]
				names[d] = append(names[d], fmt.Sprint("edge-", i))
			}
			total, without := 0, 0
			most := int(math.Ceil(maxPermitShare * float64(fleet.servers*shopSlots) / float64(fleet.instances)))
			for _, d := range domains {
				inDomain := 0
				for _, self := range names[d] {
					h := brittleWorld(t, d, domains, names[d], self, fleet.servers)
					s := h.world.services["shop"]
					h.world.updatePermits(s)
					before := inDomain
					for _, srv := range s.servers {
						inDomain += srv.permits
						others := 0
						for _, n := range s.permits.peers[srv] {
							others += n
						}
						if len(names[d]) == 1 && others > 0 {
							t.Fatalf("%s deals %d slots to peers, although it is alone in its failure domain", self, others)
						}
					}
					// Failure domains are not equally large, and an instance that has nearly what it may have gets a whole chunk.
					if own := inDomain - before; own > most+plainPermitChunk {
						t.Errorf("%s has %d permits, want %d at most", self, own, most+plainPermitChunk)
					}
				}
				total += inDomain
				if inDomain == 0 {
					without++
				}
			}
			if want := fleet.servers * shopSlots; total != want {
				t.Errorf("%d slots belong to instances, want %d", total, want)
			}
			if fleet.servers*shopSlots >= fleet.domains && without > 0 {
				t.Errorf("%d failure domains have no slot, although there are enough", without)
			}
		})
	}
}

// TestPeerWithPermitsIsAsked checks that a request for which this instance has no permit is offered to its
// neighbours that have one, and not sent by itself.
func TestPeerWithPermitsIsAsked(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("edge-", i))
	}
	direct, offered := 0, 0
	for _, self := range names {
		h := brittleWorld(t, "a", []string{"a", "b"}, names, self, 3)
		own := 0
		s := h.world.services["shop"]
		h.world.updatePermits(s)
		for _, srv := range s.servers {
			own += srv.permits
		}
		for i := range own + 3 {
			id := h.arrive(plainRoute(), nil)
			d, ok := h.commands[id][0].(Dispatch)
			if !ok {
				t.Fatalf("%s: request %d got %#v, want a dispatch", self, i, h.commands[id][0])
			}
			if len(d.Peers) == 0 {
				direct++
			} else {
				offered++
			}
			if len(d.Peers) > 0 && i < own || len(d.Peers) == 0 && i >= own {
				t.Errorf("%s has %d permits; request %d is offered to %v", self, own, i, d.Peers)
			}
			for _, name := range d.Peers {
				if name == self {
					t.Errorf("%s offers a request to itself", self)
				}
			}
		}
	}
	if direct != 9 || offered != 120 {
		t.Errorf("%d requests sent directly and %d offered, want 9, half of the slots, and 120", direct, offered)
	}
}

// TestPermitsAreGivenBack guards against permits that are lost with requests that end in any way, or with a
// service that is no longer brittle.
func TestPermitsAreGivenBack(t *testing.T) {
	ends := map[string]func(h *harness, id RequestID){
		"completed": func(h *harness, id RequestID) { h.tick(AttemptEnded{Request: id, Result: Completed}) },
		"rejected":  func(h *harness, id RequestID) { h.tick(AttemptEnded{Request: id, Result: Rejected}) },
		"broken": func(h *harness, id RequestID) {
			h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true})
		},
		"not sent":  func(h *harness, id RequestID) { h.tick(AttemptEnded{Request: id, Result: NotSent}) },
		"withheld":  func(h *harness, id RequestID) { h.tick(AttemptEnded{Request: id, Result: Withheld}) },
		"no path":   func(h *harness, id RequestID) { h.tick(AttemptEnded{Request: id, Result: NotSent, PathLost: true}) },
		"cancelled": func(h *harness, id RequestID) { h.tick(RequestCancelled{Request: id}) },
		"no longer brittle": func(h *harness, id RequestID) {
			h.advance(time.Second)
			h.tick(ServerStated{Server: h.world.services["shop"].servers[0].Server, Sent: h.now})
			h.tick(AttemptEnded{Request: id, Result: Completed})
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			h := brittleWorld(t, "a", []string{"a"}, []string{"edge-1"}, "edge-1", 3)
			id := h.arrive(plainRoute(), nil)
			used := func() int {
				n := 0
				for _, s := range h.world.services["shop"].servers {
					n += s.permitsUsed
				}
				return n
			}
			if used() != 1 {
				t.Fatalf("%d permits used by a request, want 1", used())
			}
			end(h, id)
			h.tick(RequestCancelled{Request: id}) // a request that was sent again has another permit until then
			if used() != 0 {
				t.Errorf("%d permits used after the request, want 0", used())
			}
		})
	}
	h := brittleWorld(t, "a", []string{"a"}, []string{"edge-1"}, "edge-1", 1)
	server := h.world.services["shop"].servers[0].Server
	for range shopSlots {
		if !h.world.TakePermitForPeer(h.now, server.ID) {
			t.Fatal("a peer got no permit, although some are free")
		}
	}
	if h.world.TakePermitForPeer(h.now, server.ID) {
		t.Errorf("a peer got permit %d of %d", shopSlots+1, shopSlots)
	}
	h.tick(PeerPermitReleased{server})
	if !h.world.TakePermitForPeer(h.now, server.ID) {
		t.Error("a peer got no permit after one was given back")
	}
}

// TestQueuedRequestGetsAPeersPermit guards against requests that wait for ever, also after the brittle time, because a
// peer's request gave its permit back while they were queued.
func TestQueuedRequestGetsAPeersPermit(t *testing.T) {
	h := brittleWorld(t, "a", []string{"a"}, []string{"edge-1"}, "edge-1", 1)
	server := h.world.services["shop"].servers[0].Server
	for range shopSlots {
		if !h.world.TakePermitForPeer(h.now, server.ID) {
			t.Fatal("a peer got no permit, although some are free")
		}
	}
	for i := range shopSlots {
		id := h.arrive(plainRoute(), nil)
		if len(h.commands[id]) > 0 {
			t.Fatalf("request %d got %#v, want it queued", i, h.commands[id][0])
		}
		h.tick(PeerPermitReleased{server})
		h.requireDispatch(id)
	}
}

// TestBrittleStatement checks when the statement begins and ends: responses overtake each other, and a service
// of which nothing is heard is not brittle for ever.
func TestBrittleStatement(t *testing.T) {
	h := newListedHarness(t, plainRoute(), servers("shop", 3, 8))
	server := h.world.services["shop"].servers[0].Server
	state := func(brittle bool, sent time.Time) bool {
		h.tick(ServerStated{Server: server, Brittle: brittle, BrittlePerSecond: 2, Sent: sent})
		return h.world.services["shop"].isBrittle(h.now)
	}
	before := h.now
	h.advance(time.Second)
	if state(false, h.now) {
		t.Error("brittle without a statement")
	}
	if !state(true, h.now) {
		t.Error("not brittle after a statement")
	}
	if !state(false, before) {
		t.Error("a response to an earlier request ends the statement")
	}
	h.advance(time.Second)
	if state(false, h.now) {
		t.Error("a response to a later request does not end the statement")
	}
	state(true, h.now)
	h.advance(brittleTTL)
	h.tick()
	if h.world.services["shop"].isBrittle(h.now) {
		t.Errorf("brittle %v after the last statement", brittleTTL)
	}
	changes := 0
	for _, c := range h.allCommands {
		if _, ok := c.(BrittleChanged); ok {
			changes++
		}
	}
	if changes != 3 {
		t.Errorf("%d changes reported, want 3", changes)
	}
}

// TestPeersHearOfBrittleServers guards against an instance that has not heard a statement itself and sends as it
// always does, and against a statement that goes round between instances after its end.
func TestPeersHearOfBrittleServers(t *testing.T) {
	h := newHarness(t, Settings{Seed: 1, RetryRatio: 5, RetrySlack: 500, RetryWindow: 10 * time.Second, SessionTTL: 5 * time.Second})
	list := servers("shop", 1, shopSlots)
	h.tick(Configured{NewIndex(Config{Version: 1, Services: []Service{{Name: "shop"}}, Routes: []Route{*onceRoute()}})}, ServersListed{list})
	isBrittle := func() bool { return h.world.services["shop"].isBrittle(h.now) }
	h.tick(PeerBrittle{map[string]float64{"shop": 2, "unknown": 1}})
	if !isBrittle() || len(h.world.OwnBrittle()) != 0 {
		t.Errorf("brittle %v, told the others %v, want it known and not passed on", isBrittle(), h.world.OwnBrittle())
	}
	h.tick(ServerStated{Server: list[0], Sent: h.now.Add(-time.Second)})
	if !isBrittle() {
		t.Error("a response to an earlier request ends the statement")
	}
	h.advance(time.Second)
	h.tick(ServerStated{Server: list[0], Brittle: true, BrittlePerSecond: 2, Sent: h.now})
	if got := h.world.OwnBrittle(); got["shop"] != 2 {
		t.Errorf("told the others %v, want the statement", got)
	}
	h.advance(brittleReportPeriod)
	h.tick()
	if got := h.world.OwnBrittle(); len(got) != 0 {
		t.Errorf("told the others %v after %v, want nothing", got, brittleReportPeriod)
	}
	h.tick(ServerStated{Server: list[0], Sent: h.now}, PeerBrittle{map[string]float64{"shop": 2}})
	if isBrittle() {
		t.Error("a peer's report that is older than the end revives the statement")
	}
	h.advance(brittleEndHold)
	h.tick(PeerBrittle{map[string]float64{"shop": 2}})
	if !isBrittle() {
		t.Error("a new statement is not heard")
	}
}

// TestBrittleEnginesKeepSlotsFree guards against engines that are filled up to their last slot by instances
// whose knowledge of each other is some tenths of a second old, and against a retry at the next full engine.
func TestBrittleEnginesKeepSlotsFree(t *testing.T) {
	const slots = 20
	list := servers("llm", 1, slots)
	h := newHarness(t, Settings{Seed: 1, RetryRatio: 5, RetrySlack: 500, RetryWindow: 10 * time.Second, SessionTTL: 5 * time.Second})
	c := Config{Version: 1, Services: []Service{{Name: "llm", Slots: slots}}, Routes: []Route{*streamRoute()}}
	h.tick(Configured{NewIndex(c)})
	h.tick(ServersListed{list}, ServerStated{Server: list[0], Brittle: true, BrittlePerSecond: 2, Sent: h.now})
	dispatched := 0
	for range 2 * slots {
		id := h.arrive(streamRoute(), nil)
		if len(h.commands[id]) > 0 {
			if _, ok := h.commands[id][0].(Dispatch); ok {
				dispatched++
			}
		}
	}
	if want := int(engineUtilization * slots); dispatched != want {
		t.Errorf("%d requests sent to an engine with %d slots, want %d", dispatched, slots, want)
	}
	h.tick(AttemptEnded{Request: 1, Result: Rejected})
	h.advance(time.Second)
	if got := h.world.services["llm"].servers[0]; got.usable(h.now) {
		t.Error("an engine that has rejected a request gets another one within a second")
	}
}

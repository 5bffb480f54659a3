package passthrough

import (
	"fmt"
	"testing"
	"time"

	"masticplank.example/decision/reach"
)

// newPathHarness returns a harness with a stream route to six engines, of which half are in each of two
// failure domains.
func newPathHarness(t *testing.T) (*harness, []Server) {
	t.Helper()
	list := servers("llm", 6, 8)
	for i := range list {
		list[i].Domain = []string{"a", "b"}[i%2]
	}
	return newListedHarness(t, streamRoute(), list), list
}

// dial reports the same outcome of connections to the servers.
func (h *harness) dial(outcome DialOutcome, to ...Server) []Command {
	var out []Command
	for _, s := range to {
		out = append(out, h.tick(DialEnded{Server: s, Outcome: outcome})...)
	}
	return out
}

func (h *harness) wantPath(want reach.State) {
	h.t.Helper()
	if got, _ := h.world.Path(); got != want {
		h.t.Fatalf("path %v, want %v", got, want)
	}
}

// TestPathIsLostIfPeersReachServers checks the way from the first connections that fail to a lost path, and
// back.
func TestPathIsLostIfPeersReachServers(t *testing.T) {
	for _, outcome := range []DialOutcome{DialFailed, DialSlow} {
		h, list := newPathHarness(t)
		h.dial(outcome, list[0], list[0])
		h.wantPath(reach.Up)
		h.dial(outcome, list[1])
		h.wantPath(reach.Suspect)
		if plan := h.world.PlanPath(h.now, list[1].ID); !plan.Direct || !plan.ViaPeer {
			t.Errorf("plan %+v while the path is suspect, want both ways", plan)
		}
		h.dial(TunnelSucceeded, list[1])
		h.wantPath(reach.Lost)
		h.dial(DialFailed, list[2])
		h.wantPath(reach.Lost)
		h.dial(DialSucceeded, list[2])
		h.wantPath(reach.Up)
		if plan := h.world.PlanPath(h.now, list[2].ID); plan != (reach.Plan{Direct: true}) {
			t.Errorf("plan %+v after the path is back, want direct connections only", plan)
		}
		if plan := h.world.PlanPath(h.now, list[1].ID); !plan.Direct {
			t.Errorf("plan %+v for a server not reached since, want a direct connection", plan)
		}
	}
}

// TestServersThatAreDownAreNoLostPath guards against requests that are sent through peers because some
// servers are down, while others are reached.
func TestServersThatAreDownAreNoLostPath(t *testing.T) {
	h, list := newPathHarness(t)
	for range 10 {
		h.dial(DialFailed, list[0])
		h.dial(DialSucceeded, list[1])
		h.dial(DialFailed, list[2])
		h.wantPath(reach.Up)
	}
}

// TestNoPeerIsAskedWhileServersAreDownForAll guards against a wave of useless requests to peers when the
// servers cannot be reached by anyone.
func TestNoPeerIsAskedWhileServersAreDownForAll(t *testing.T) {
	h, list := newPathHarness(t)
	h.dial(DialFailed, list...)
	h.dial(TunnelFailed, list...)
	h.wantPath(reach.Suspect)
	const pause = 700 * time.Millisecond
	for _, s := range list {
		if plan := h.world.PlanPath(h.now, s.ID); plan.ViaPeer || !plan.Direct {
			t.Errorf("%s: plan %+v after peers could not reach it either, want direct connections only", s.ID, plan)
		}
	}
	h.advance(pause)
	if plan := h.world.PlanPath(h.now, list[0].ID); !plan.ViaPeer {
		t.Errorf("plan %+v after %v, want peers to be asked again", plan, pause)
	}
}

// TestServersThatAreDownForAllDoNotHideALostPath guards against an instance that asks no peer for any server, because
// peers could not connect to two that are down for all.
func TestServersThatAreDownForAllDoNotHideALostPath(t *testing.T) {
	h, list := newPathHarness(t)
	h.dial(DialFailed, list...)
	h.dial(TunnelFailed, list[0], list[1])
	if plan := h.world.PlanPath(h.now, list[2].ID); !plan.ViaPeer {
		t.Errorf("plan %+v for a server that peers have not missed, want them to be asked", plan)
	}
	h.dial(TunnelSucceeded, list[2])
	h.wantPath(reach.Lost)
	h.dial(TunnelFailed, list[0])
	if plan := h.world.PlanPath(h.now, list[3].ID); !plan.ViaPeer || plan.Direct {
		t.Errorf("plan %+v while the path is lost, want peers only", plan)
	}
}

// TestServersThatCrashAreNoLostPath guards against instances that all refuse their requests, as each of them does not
// reach a few servers that have crashed and hears from the others that they have no path either.
func TestServersThatCrashAreNoLostPath(t *testing.T) {
	list := servers("llm", 18, 8)
	h := newListedHarness(t, streamRoute(), list)
	h.dial(DialFailed, list[0], list[1], list[2])
	h.dial(PeersCutOff, list[2])
	if plan := h.world.PlanPath(h.now, list[3].ID); !plan.Direct || h.world.HasNoWay(h.now) {
		t.Errorf("plan %+v with 3 of 18 servers unreached, want direct connections", plan)
	}
	h.dial(DialFailed, list[3:9]...)
	h.dial(PeersCutOff, list[8])
	if plan := h.world.PlanPath(h.now, list[0].ID); plan.Direct || !h.world.HasNoWay(h.now) {
		t.Errorf("plan %+v with 9 of 18 servers unreached, want no way", plan)
	}
}

// TestRequestsAreRefusedWhileNobodyHasAPath guards against requests that try one server after the other,
// directly and through peers, while no instance reaches any.
func TestRequestsAreRefusedWhileNobodyHasAPath(t *testing.T) {
	h, list := newPathHarness(t)
	h.dial(DialFailed, list[:len(list)/2]...)
	h.dial(PeersCutOff, list[1])
	if plan := h.world.PlanPath(h.now, list[0].ID); plan != (reach.Plan{}) || !h.world.HasNoWay(h.now) {
		t.Errorf("plan %+v, want no way", plan)
	}
	h.advance(reach.ProbeInterval)
	if plan := h.world.PlanPath(h.now, list[0].ID); plan != (reach.Plan{Probe: true}) {
		t.Errorf("plan %+v after %v, want a probe", plan, reach.ProbeInterval)
	}
	h.dial(DialSucceeded, list[0])
	if plan := h.world.PlanPath(h.now, list[0].ID); plan != (reach.Plan{Direct: true}) {
		t.Errorf("plan %+v after the path is back, want direct connections", plan)
	}
}

// TestLostPathIsProbedAtABoundedRate guards against a direct connection for each request while the path is
// lost.
func TestLostPathIsProbedAtABoundedRate(t *testing.T) {
	h, list := newPathHarness(t)
	h.dial(DialFailed, list...)
	h.dial(TunnelSucceeded, list[0])
	probes := 0
	for range 1000 {
		h.advance(time.Millisecond)
		plan := h.world.PlanPath(h.now, list[0].ID)
		if plan.Direct {
			t.Fatalf("plan %+v while the path is lost, want no direct connection but probes", plan)
		}
		if plan.Probe {
			probes++
		}
	}
	if probes < 4 || probes > 5 {
		t.Errorf("%d probes in a second, want one each %v", probes, reach.ProbeInterval)
	}
}

// dispatchAll opens a request for each of count fingerprints and returns the server of each.
func (h *harness) dispatchAll(count int) map[RequestID]Server {
	h.t.Helper()
	out := map[RequestID]Server{}
	for i := range count {
		id := RequestID(1000 + i)
		h.tick(RequestArrived{Request: Request{ID: id, Route: streamRoute(), Service: "llm", Fingerprint: uint64(i + 1),
			PrefixHash: uint64(i+1) * 0x9e3779b97f4a7c15, PromptTokens: 100, MaxTokens: 100, RolloutPosition: 0.5,
			TargetTime: h.now.Add(4 * time.Second), Deadline: h.now.Add(20 * time.Second)}})
		d, ok := h.commands[id][0].(Dispatch)
		if !ok {
			h.t.Fatalf("request %d got %#v, want a dispatch", id, h.commands[id][0])
		}
		out[id] = d.Server
	}
	return out
}

// TestCutOffInstanceConcludesNothing guards against an instance that is cut off from all servers, takes its
// broken and failed connections for crashes, and afterwards keeps the servers out, refuses requests as
// having crashed servers, or tells the others that a new version fails.
func TestCutOffInstanceConcludesNothing(t *testing.T) {
	h := newHarness(t, Settings{Seed: 1, RetryRatio: 5, RetrySlack: 500, RetryWindow: 10 * time.Second, SessionTTL: 5 * time.Second,
		SlowStartBurst: 1.5, SlowStartSlack: 5, Domain: "a", Domains: []string{"a", "b"}})
	c := Config{Version: 1, Services: []Service{{Name: "llm", Slots: 8, SlowStartDuration: 9 * time.Second, SlowStartRate: 10}}, Routes: []Route{*streamRoute()}}
	h.tick(Configured{NewIndex(c)})
	list := servers("llm", 8, 8)
	for i := range list {
		list[i].Domain = []string{"a", "b"}[i%2]
		list[i].Version = []string{"v1", "v2"}[i/4]
	}
	h.tick(ServersListed{list})
	h.tick(RolloutUpdated{Rollout{Order: Order{Service: "llm", Target: "v2", Duration: time.Minute}, Phase: PhaseCanary, Share: 1}})
	running := h.dispatchAll(30)
	h.allCommands = nil
	h.advance(time.Second)
	for id := range running {
		h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true, Confidence: -1})
	}
	h.dial(DialFailed, list...)
	h.dial(TunnelSucceeded, list[0])
	h.wantPath(reach.Lost)
	h.advance(2 * heldReportDelay)
	h.tick()
	reported := map[string]bool{}
	for _, c := range h.allCommands {
		switch c := c.(type) {
		case CrashSuspected:
			reported[running[RequestID(1000+c.Fingerprint-1)].ID] = true
		case Observation:
			if c.ConnectionLost {
				reported[c.Server] = true
			}
		}
	}
	// The connections to the first server are taken for a crash: nothing tells them from one yet.
	if len(reported) > 1 {
		t.Errorf("told the others that %v have failed, want one server at most", reported)
	}
	for _, s := range h.world.servers {
		if !s.usable(h.now) || s.health.ejected(h.now) || s.inSlowStart(h.now) {
			t.Errorf("%s: usable %v, ejected %v, in slow start %v, want it as before", s.ID, s.usable(h.now), s.health.ejected(h.now), s.inSlowStart(h.now))
		}
	}
	for fingerprint := range uint64(30) {
		if h.world.crashes.quarantined(fingerprint+1, h.now) {
			t.Errorf("request %d is quarantined", fingerprint+1)
		}
	}
}

// TestFailuresWhileThePathIsLostSayNothing guards against ejections and backoffs by attempts that end while
// the path is lost, or were sent before it was back.
func TestFailuresWhileThePathIsLostSayNothing(t *testing.T) {
	ends := map[string]AttemptEnded{
		"timed out":                  {Result: Broken},
		"connection reset":           {Result: Broken, ConnectionLost: true},
		"not connected":              {Result: NotSent},
		"connection to a peer broke": {Result: Broken, ViaPeer: true, TunnelLost: true},
	}
	for name, end := range ends {
		for _, afterwards := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", after the path is back: ", afterwards), func(t *testing.T) {
				h, list := newPathHarness(t)
				running := h.dispatchAll(24)
				h.advance(time.Second)
				h.dial(DialFailed, list...)
				h.dial(TunnelSucceeded, list[0])
				if afterwards {
					h.advance(time.Second)
					h.dial(DialSucceeded, list[0])
				}
				for id := range running {
					end.Request, end.Confidence = id, -1
					for _, c := range h.tick(end) {
						switch c.(type) {
						case CrashSuspected, RefreshServers, Observation, SlowStartBegun:
							t.Errorf("%T, want none", c)
						}
					}
				}
				for _, s := range h.world.servers {
					if !s.usable(h.now) || s.health.ejected(h.now) || s.health.failed > 0 {
						t.Errorf("%s: usable %v, ejected %v, %.1f failures", s.ID, s.usable(h.now), s.health.ejected(h.now), s.health.failed)
					}
				}
			})
		}
	}
}

// TestCrashesAreReportedIfThePathIsNotLost guards against crashes of several servers that the other instances
// do not learn of, because the path was suspect.
func TestCrashesAreReportedIfThePathIsNotLost(t *testing.T) {
	h, _ := newPathHarness(t)
	running := h.dispatchAll(12)
	h.allCommands = nil
	for id := range running {
		h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true, Confidence: -1})
	}
	h.advance(heldReportDelay)
	h.tick()
	crashes := 0
	for _, c := range h.allCommands {
		if _, ok := c.(CrashSuspected); ok {
			crashes++
		}
	}
	if crashes != len(running) {
		t.Errorf("%d crashes reported, want %d", crashes, len(running))
	}
}

// TestConnectionsToTheFirstLostServerAreNoCrash guards against requests that all instances refuse as having
// crashed a server, because it was the first one whose connections broke when the path was lost.
func TestConnectionsToTheFirstLostServerAreNoCrash(t *testing.T) {
	for _, isCut := range []bool{true, false} {
		h, list := newPathHarness(t)
		running := h.dispatchAll(12)
		h.allCommands = nil
		broken := 0
		for id, d := range running {
			if d.ID == list[0].ID {
				h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true, Confidence: -1})
				broken++
			}
		}
		if broken == 0 {
			t.Fatal("the first server has no request")
		}
		want := 0
		if isCut {
			h.dial(DialFailed, list[1])
			h.dial(TunnelSucceeded, list[1])
		} else {
			want = broken
			h.dial(DialSucceeded, list[1])
		}
		reported := 0
		for range 2 { // at once, and after all delays
			reported = 0
			for _, c := range h.allCommands {
				if _, ok := c.(CrashSuspected); ok {
					reported++
				}
			}
			if reported != want {
				t.Errorf("cut off %v: %d of %d crashes reported, want %d", isCut, reported, broken, want)
			}
			h.advance(heldReportDelay)
			h.tick()
		}
	}
}

// TestRequestWithoutAnyWayIsRefusedAtOnce guards against callers that wait while neither this instance nor a
// peer has a path to the servers.
func TestRequestWithoutAnyWayIsRefusedAtOnce(t *testing.T) {
	h, list := newPathHarness(t)
	h.dial(DialFailed, list...)
	h.dial(TunnelSucceeded, list[0])
	for id := range h.dispatchAll(1) {
		h.tick(AttemptEnded{Request: id, Result: NotSent, PathLost: true, Confidence: -1})
		got, ok := h.commands[id][1].(Refuse)
		if !ok || got.Reason != ReasonNoPath || got.RetryAfter <= 0 || got.RetryAfter > time.Second {
			t.Errorf("%#v, want a refusal that another instance may answer at once", h.commands[id][1])
		}
	}
	for _, s := range h.world.servers {
		if !s.usable(h.now) {
			t.Errorf("%s is in backoff, although nothing is known about it", s.ID)
		}
	}
}

// TestServerThatPeersDeclineIsLeftAlone guards against callers who are refused, and requests that are offered to
// peers one after the other, because peers do not send to one of the servers.
func TestServerThatPeersDeclineIsLeftAlone(t *testing.T) {
	h, list := newPathHarness(t)
	h.dial(DialFailed, list...)
	h.dial(TunnelSucceeded, list[0])
	id := h.arrive(streamRoute(), nil)
	declined := h.last(id).(Dispatch).Server
	h.tick(AttemptEnded{Request: id, Result: Withheld, Declined: true, Confidence: -1})
	if got, ok := h.last(id).(Dispatch); !ok || got.Server.ID == declined.ID {
		t.Fatalf("%#v, want a dispatch to another server than %s", h.last(id), declined.ID)
	}
	for range 20 {
		if got, ok := h.last(h.arrive(streamRoute(), nil)).(Dispatch); ok && got.Server.ID == declined.ID {
			t.Fatalf("%s is offered again at once", declined.ID)
		}
	}
	h.advance(rejectedBackoff)
	h.tick()
	if s := h.world.servers[declined.ID]; !s.usable(h.now) {
		t.Errorf("%s is not usable %v after peers declined it", declined.ID, rejectedBackoff)
	}
}

// TestCutDoesNotEndTheSlowStartOfARestartedServer guards against a server that is sent too much, as a cut restores what was
// known of it before it was missed and has restarted.
func TestCutDoesNotEndTheSlowStartOfARestartedServer(t *testing.T) {
	h := newHarness(t, Settings{Seed: 1, RetryRatio: 5, RetrySlack: 500, RetryWindow: 10 * time.Second, SessionTTL: 5 * time.Second,
		SlowStartBurst: 1.5, SlowStartSlack: 5, Domain: "a", Domains: []string{"a"}})
	h.tick(Configured{NewIndex(Config{Version: 1, Services: []Service{{Name: "llm", Slots: 8, SlowStartDuration: 9 * time.Second, SlowStartRate: 10}}, Routes: []Route{*streamRoute()}})})
	list := servers("llm", 8, 8)
	h.tick(ServersListed{list})
	h.dial(DialFailed, list[0])
	h.advance(knowledgeTTL)
	s := h.world.servers[list[0].ID]
	h.world.serverLost(s)
	h.dial(DialSucceeded, list[1])
	h.dial(DialFailed, list[2], list[3])
	h.dial(TunnelSucceeded, list[3])
	if !s.inSlowStart(h.now) {
		t.Error("the server is no longer in slow start")
	}
}

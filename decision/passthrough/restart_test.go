package passthrough

import (
	"testing"
	"time"
)

// TestRestartedServerIsKnownByNothingOfBefore guards against a server that gets too few or too many requests after it has
// restarted under its id, because something that was known of its former process is held against it: learned before the
// restart, or by something that arrives after it.
func TestRestartedServerIsKnownByNothingOfBefore(t *testing.T) {
	limit := RateLimit{Limited: true, PerSecond: 1}
	lost := AttemptEnded{Result: Broken, ConnectionLost: true}
	type former struct {
		Server
		peerKey uint32
		process uint64
		request RequestID
	}
	learn := map[string]func(f former) []Event{
		"stated load": func(f former) []Event {
			return []Event{LoadReported{Server: f.ID, StartTime: f.StartTime, Load: Load{Running: 8, Waiting: 9, Slots: 8, Slowdown: 9}}}
		},
		"load in the head of a response": func(f former) []Event {
			return []Event{FirstByte{Request: f.request, After: time.Second, HasLoad: true, Load: Load{Running: 8, Waiting: 9, Slots: 2}, Limit: limit}}
		},
		"load that peers report": func(f former) []Event {
			return []Event{PeerLoads{Loads: []PeerLoad{{Key: f.peerKey, Requests: 9, PrefillTime: time.Second}}, Instances: 5}}
		},
		"rate limit that it stated": func(f former) []Event {
			return []Event{AttemptEnded{Request: f.request, Result: Completed, Limit: &limit}}
		},
		"rate limit that peers report":  func(f former) []Event { return []Event{PeerLimits{[]PeerLimit{{Key: f.peerKey, Limit: limit}}}} },
		"it is leaving":                 func(f former) []Event { return []Event{ServerStated{Server: f.Server, Leaving: true}} },
		"peers know that it is leaving": func(f former) []Event { return []Event{PeerLeaving{[]uint64{f.process}}} },
		"it wants no requests":          func(f former) []Event { return []Event{ServerStated{Server: f.Server, RetryAfter: time.Minute}} },
		"another server has its address": func(f former) []Event {
			return []Event{AttemptEnded{Request: f.request, Result: Rejected, Misdirected: true}}
		},
		"a refusal": func(f former) []Event {
			return []Event{AttemptEnded{Request: f.request, Result: Rejected, Leaving: true}}
		},
		"a failed connection": func(f former) []Event {
			return []Event{AttemptEnded{Request: f.request, Result: NotSent}, DialEnded{Server: f.Server, Outcome: DialFailed}}
		},
		"a lost connection": func(f former) []Event {
			e := lost
			e.Request = f.request
			return []Event{e}
		},
		"a failure": func(f former) []Event { return []Event{AttemptEnded{Request: f.request, Result: Failed}} },
		"slowness": func(f former) []Event {
			return []Event{AttemptEnded{Request: f.request, Result: Completed, EventInterval: time.Minute}}
		},
		"permits of peers": func(f former) []Event { return []Event{PeerPermitReleased{Server: f.Server}} },
	}
	for name, events := range learn {
		for _, late := range []bool{false, true} {
			when := "before the restart"
			if late {
				when = "after the restart"
			}
			t.Run(name+" "+when, func(t *testing.T) {
				list := servers("llm", 1, 8)
				route := streamRoute()
				route.MaxAttempts = 1
				h := newListedHarness(t, route, list)
				h.tick(FleetSize{Instances: 5}, Neighbours{Self: "i0", Names: []string{"i0", "i1", "i2", "i3", "i4"}})
				for range minEjectionFailures * 2 { // its failures eject it
					h.tick(AttemptEnded{Request: h.arrive(route, nil), Result: Failed})
					h.advance(maxEjectionTime)
				}
				id := h.arrive(route, func(r *Request) { r.PromptTokens = 1000 })
				h.requireDispatch(id)
				old := h.world.servers[list[0].ID]
				f := former{old.Server, old.peerKey(), old.processHash, id}
				if !late {
					h.tick(events(f)...)
				}
				list[0].StartTime++
				h.tick(ServersListed{list})
				s := h.world.servers[list[0].ID]
				if late {
					s.service.slowStart.span = time.Nanosecond // lost servers count
					h.tick(events(f)...)
				}
				h.tick(RequestCancelled{id}) // it may have been sent to the present process since
				if s == old {
					t.Fatal("the former process is taken for the present one")
				}
				if s.ownRequests != 0 || s.reported != (Load{}) || !s.reportedAt.IsZero() || s.peers != (peerReport{}) || s.prefillBacklog != 0 || len(s.prefilling) > 0 {
					t.Errorf("load: %d own requests, %+v reported, %+v of peers, prefill of %v s", s.ownRequests, s.reported, s.peers, s.prefillBacklog)
				}
				if s.limit.Limited || !s.limit.statedAt.IsZero() || s.permitsUsed != 0 || s.Slots != 8 {
					t.Errorf("limits: %+v, %d permits used, %d slots", s.limit.RateLimit, s.permitsUsed, s.Slots)
				}
				if s.health != (health{}) || s.relativeTime != (movingAverage{}) || s.slowdown() != 1 {
					t.Errorf("health: %+v, slowdown %v", s.health, s.slowdown())
				}
				if s.backingOff(h.now) || !s.inService() || s.statedLeaving || s.shownLeaving || s.inSlowStart(h.now) {
					t.Errorf("it gets no requests: backoff until %v, leaving %v", s.backoffUntil, s.leaving())
				}
				if h.world.MissesServer(h.now, s.ID) || len(h.world.lostServers) > 0 || !h.world.PathUndisturbed() {
					t.Error("the link to it counts as missed")
				}
				h.requireDispatch(h.arrive(route, nil))
			})
		}
	}
}

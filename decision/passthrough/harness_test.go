package passthrough

import (
	"fmt"
	"testing"
	"time"
)

// harness drives a World with a simulated clock and records its commands.
type harness struct {
	t     *testing.T
	world *World
	now   time.Time
	next  RequestID
	// commands are the Dispatch, Refuse and Finish commands by request, in order.
	commands    map[RequestID][]Command
	allCommands []Command
	// dispatchedAt are the times of all dispatches.
	dispatchedAt []time.Time
}

// testStart is an arbitrary time.
var testStart = time.Unix(1_000_000, 0)

// newHarness returns a harness. If cfg has no RetryWindow, default settings replace all of it.
func newHarness(t *testing.T, cfg Settings) *harness {
	t.Helper()
	if cfg.RetryWindow == 0 {
		cfg = Settings{Seed: 1, RetryRatio: 0.5, RetrySlack: 5, RetryWindow: 10 * time.Second, SessionTTL: 5 * time.Second}
	}
	h := &harness{t: t, world: New(cfg), now: testStart, commands: map[RequestID][]Command{}}
	h.tick(FleetSize{Instances: 1})
	return h
}

func (h *harness) tick(events ...Event) []Command {
	out := append([]Command(nil), h.world.Tick(h.now, events...)...)
	for _, c := range out {
		h.allCommands = append(h.allCommands, c)
		switch c := c.(type) {
		case Dispatch:
			h.commands[c.Request] = append(h.commands[c.Request], c)
			h.dispatchedAt = append(h.dispatchedAt, h.now)
		case Refuse:
			h.commands[c.Request] = append(h.commands[c.Request], c)
		case Finish:
			h.commands[c.Request] = append(h.commands[c.Request], c)
		}
	}
	return out
}

func (h *harness) advance(d time.Duration) { h.now = h.now.Add(d) }

// servers returns count servers of a service, with the ids "service-0", "service-1" and
// so on.
func servers(service string, count, slots int) []Server {
	var out []Server
	for i := range count {
		out = append(out, Server{
			ID: fmt.Sprintf("%s-%d", service, i), Address: "127.0.0.1:1", Service: service,
			Domain: "a", Version: "v1", Slots: slots, StartTime: 1,
		})
	}
	return out
}

// plainRoute, onceRoute and streamRoute return the routes of the tests, one of each Kind.
func plainRoute() *Route {
	return &Route{Name: "plain", Kind: KindIdempotent, MaxAttempts: 2, Timeout: time.Second,
		TargetLatency: 150 * time.Millisecond, Backends: []Backend{{"shop", 1}}}
}

func onceRoute() *Route {
	return &Route{Name: "once", Kind: KindAtMostOnce, MaxAttempts: 3, Timeout: time.Second,
		TargetLatency: 150 * time.Millisecond, Backends: []Backend{{"shop", 1}}}
}

func streamRoute() *Route {
	return &Route{Name: "stream", Kind: KindStream, Resumable: true, MaxAttempts: 3, Timeout: 25 * time.Second,
		TargetLatency: 4 * time.Second, TargetGap: 800 * time.Millisecond, Models: []string{"small", "middle", "large"},
		Backends: []Backend{{"llm", 1}}}
}

func (h *harness) configure(routes ...*Route) {
	c := Config{Version: 1, Services: []Service{{Name: "llm", Slots: 8}, {Name: "shop"}}}
	for _, r := range routes {
		c.Routes = append(c.Routes, *r)
	}
	h.tick(Configured{NewIndex(c)})
}

// newListedHarness returns a harness with the route and the listed servers.
func newListedHarness(t *testing.T, route *Route, list []Server) *harness {
	t.Helper()
	h := newHarness(t, Settings{})
	h.configure(route)
	h.tick(ServersListed{list})
	return h
}

// arrive sends a request on the route; change, if not nil, modifies it first.
func (h *harness) arrive(route *Route, change func(*Request)) RequestID {
	h.next++
	r := Request{ID: h.next, Route: route, Service: route.Backends[0].Service, Team: "team",
		TargetTime: h.now.Add(route.TargetLatency), Deadline: h.now.Add(route.Timeout),
		RolloutPosition: 0.5, Fingerprint: uint64(h.next), ChooseModel: len(route.Models) > 0}
	if change != nil {
		change(&r)
	}
	h.tick(RequestArrived{r})
	return h.next
}

// last is the latest command on the request, or nil.
func (h *harness) last(id RequestID) Command {
	list := h.commands[id]
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

// requireDispatch fails the test unless the latest command on the request is a Dispatch.
func (h *harness) requireDispatch(id RequestID) Dispatch {
	h.t.Helper()
	d, ok := h.last(id).(Dispatch)
	if !ok {
		h.t.Fatalf("request %d: got %#v, want a dispatch", id, h.last(id))
	}
	return d
}

// requireRefusal fails the test unless the latest command on the request is a Refuse with the
// reason.
func (h *harness) requireRefusal(id RequestID, want Reason) Refuse {
	h.t.Helper()
	r, ok := h.last(id).(Refuse)
	if !ok || r.Reason != want {
		h.t.Fatalf("request %d: got %#v, want a refusal for %q", id, h.last(id), want)
	}
	return r
}

// requireFinish fails the test unless the latest command on the request is a Finish.
func (h *harness) requireFinish(id RequestID) {
	h.t.Helper()
	if _, ok := h.last(id).(Finish); !ok {
		h.t.Fatalf("request %d: got %#v, want a finish", id, h.last(id))
	}
}

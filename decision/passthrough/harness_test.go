package passthrough

import (
	"fmt"
	"testing"
	"time"
)

// harness drives a world by hand, with its own clock.
type harness struct {
	t     *testing.T
	world *World
	now   time.Time
	next  RequestID
	// commands by request, in order.
	commands    map[RequestID][]Command
	allCommands []Command
	// dispatchedAt are the times of all dispatches.
	dispatchedAt []time.Time
}

// testStart is an arbitrary time.
var testStart = time.Unix(1_000_000, 0)

func newHarness(t *testing.T, cfg Settings) *harness {
	t.Helper()
	if cfg.RetryWindow == 0 {
		cfg = Settings{Seed: 1, RetryRatio: 0.5, RetrySlack: 5, RetryWindow: 10 * time.Second, SessionTTL: 5 * time.Second}
	}
	b := &harness{t: t, world: New(cfg), now: testStart, commands: map[RequestID][]Command{}}
	b.tick(FleetSize{Instances: 1})
	return b
}

func (b *harness) tick(events ...Event) []Command {
	out := append([]Command(nil), b.world.Tick(b.now, events...)...)
	for _, c := range out {
		b.allCommands = append(b.allCommands, c)
		switch c := c.(type) {
		case Dispatch:
			b.commands[c.Request] = append(b.commands[c.Request], c)
			b.dispatchedAt = append(b.dispatchedAt, b.now)
		case Refuse:
			b.commands[c.Request] = append(b.commands[c.Request], c)
		case Finish:
			b.commands[c.Request] = append(b.commands[c.Request], c)
		}
	}
	return out
}

func (b *harness) advance(d time.Duration) { b.now = b.now.Add(d) }

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

// The routes of the tests.
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

func (b *harness) configure(routes ...*Route) {
	c := Config{Version: 1, Services: []Service{{Name: "llm", Slots: 8}, {Name: "shop"}}}
	for _, r := range routes {
		c.Routes = append(c.Routes, *r)
	}
	b.tick(Configured{NewIndex(c)})
}

// arrive sends a request on the route; change, if not nil, modifies it first.
func (b *harness) arrive(route *Route, change func(*Request)) RequestID {
	b.next++
	r := Request{ID: b.next, Route: route, Service: route.Backends[0].Service, Team: "team",
		TargetTime: b.now.Add(route.TargetLatency), Deadline: b.now.Add(route.Timeout),
		RolloutPosition: 0.5, Fingerprint: uint64(b.next), ChooseModel: len(route.Models) > 0}
	if change != nil {
		change(&r)
	}
	b.tick(RequestArrived{r})
	return b.next
}

// last is the latest command on the request, or nil.
func (b *harness) last(id RequestID) Command {
	list := b.commands[id]
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

func (b *harness) dispatched(id RequestID) Dispatch {
	b.t.Helper()
	d, ok := b.last(id).(Dispatch)
	if !ok {
		b.t.Fatalf("request %d: got %#v, want a dispatch", id, b.last(id))
	}
	return d
}

func (b *harness) refused(id RequestID, want Reason) Refuse {
	b.t.Helper()
	r, ok := b.last(id).(Refuse)
	if !ok || r.Reason != want {
		b.t.Fatalf("request %d: got %#v, want a refusal for %q", id, b.last(id), want)
	}
	return r
}

func (b *harness) finished(id RequestID) {
	b.t.Helper()
	if _, ok := b.last(id).(Finish); !ok {
		b.t.Fatalf("request %d: got %#v, want a finish", id, b.last(id))
	}
}

package passthrough

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// flapping simulates instances in front of three plain servers, of which the first goes down and up by turns. It accepts
// connections all the while, and resets them once a request is sent. It returns how many requests that may run at most
// once were lost, and how many were sent.
func flapping(t *testing.T, instances int, shared, idle bool) (lost, sent int) {
	t.Helper()
	const (
		step   = 5 * time.Millisecond
		rate   = 120.0 // requests per second, of all instances, one in five may run again
		period = 1200 * time.Millisecond
		length = 6 * time.Second
		// lead is for how long all servers respond first, so that the instances have used them.
		lead = 3 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 1))
	list := servers("shop", 3, 6)
	var all []*harness
	for i := range instances {
		h := newHarness(t, Settings{Seed: uint64(i), RetryRatio: 0.9, RetrySlack: 180, RetryWindow: 10 * time.Second, SessionTTL: time.Second, SharedAdmission: shared})
		h.tick(FleetSize{Instances: instances})
		h.tick(Configured{NewIndex(Config{Version: 1, Services: []Service{{Name: "shop", MaxConns: 4 * instances}}, Routes: []Route{*onceRoute(), *plainRoute()}})})
		h.tick(ServersListed{list})
		all = append(all, h)
	}
	wasDown := false
	for at := time.Duration(0); at < lead+length; at += step {
		down := at >= lead && (at-lead)%period < period/2
		for _, h := range all {
			h.advance(step)
			if down && !wasDown && idle && h.world.KeepsIdle(list[0].ID) {
				h.tick(ConnectionReset{Server: list[0]})
			}
		}
		wasDown = down
		if rng.Float64() >= rate*step.Seconds() {
			continue
		}
		h, route := all[rng.IntN(instances)], onceRoute()
		if rng.IntN(5) == 0 {
			route = plainRoute()
		}
		id := h.arrive(route, nil)
		for d, ok := h.last(id).(Dispatch); ok; d, ok = h.last(id).(Dispatch) {
			if down && d.Server.ID == list[0].ID {
				h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true})
				if _, failed := h.last(id).(Finish); failed && route.Kind == KindAtMostOnce && at >= lead {
					lost++
				}
				continue
			}
			h.tick(AttemptEnded{Request: id, Result: Completed, EventInterval: 15 * time.Millisecond})
			break
		}
		if at >= lead && route.Kind == KindAtMostOnce {
			sent++
		}
	}
	return lost, sent
}

// TestFlappingServerLosesFewRequests guards against requests that may run at most once which are sent to a server that
// accepts connections while it is down.
func TestFlappingServerLosesFewRequests(t *testing.T) {
	const turns = 5
	for _, instances := range []int{8, 70, 300, 880} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			without, _ := flapping(t, instances, false, true)
			alone, sent := flapping(t, instances, true, false)
			with, _ := flapping(t, instances, true, true)
			t.Logf("%d sent; lost: %d by each alone without suspects, %d with, %d with idle connections", sent, without, alone, with)
			if with > sent/100 {
				t.Errorf("%d of %d requests were lost although idle connections showed that the server is down", with, sent)
			}
			if alone > turns*instances {
				t.Errorf("%d requests were lost at %d instances: more than one in each of %d turns", alone, instances, turns)
			}
			if without < 3*max(with, 5) {
				t.Errorf("%d requests were lost without suspects: the load does not show the harm", without)
			}
		})
	}
}

// TestResetOfAllConnectionsLeavesServers guards against a service without servers after this instance has lost its idle
// connections to all of them.
func TestResetOfAllConnectionsLeavesServers(t *testing.T) {
	h := newHarness(t, Settings{Seed: 1, RetryRatio: 0.9, RetrySlack: 5, RetryWindow: 10 * time.Second, SessionTTL: time.Second, SharedAdmission: true})
	h.configure(onceRoute())
	list := servers("shop", 3, 6)
	h.tick(ServersListed{list})
	for _, s := range list {
		h.tick(ConnectionReset{Server: s})
	}
	h.requireDispatch(h.arrive(onceRoute(), nil))
}

// TestIdleConnectionsFitTheServers guards against idle connections of many instances that use up a server's.
func TestIdleConnectionsFitTheServers(t *testing.T) {
	const instances, maxConns = 880, 480
	kept := 0
	for i := range instances {
		h := newHarness(t, Settings{Seed: 1, RetryRatio: 0.9, RetrySlack: 5, RetryWindow: 10 * time.Second, SessionTTL: time.Second, SharedAdmission: true})
		h.tick(FleetSize{Instances: instances})
		h.tick(Configured{NewIndex(Config{Version: 1, Services: []Service{{Name: "shop", MaxConns: maxConns}}})})
		h.tick(ServersListed{servers("shop", 1, 6)})
		h.tick(Neighbours{Self: fmt.Sprint("instance-", i)})
		if h.world.KeepsIdle("shop-0") {
			kept++
		}
	}
	if want := int(watchedConnsFraction * maxConns); kept < want/2 || kept > want*3/2 {
		t.Errorf("%d of %d instances keep a connection to a server that takes %d, want about %d", kept, instances, maxConns, want)
	}
}

package faultmatrix

import (
	"context"
	"strings"
	"time"

	"masticplank.example/coordination/lease"
)

// lifeCell is one fault at one step of an instance's life cycle. The planned
// stop is not among them: it is the step "drain" of the requests.
type lifeCell struct {
	path, step, fault string
	run               func(b *testbed)
}

// expect sends a request and checks that its outcome is one of want, "a or b".
func (b *testbed) expect(kind, via, want string) {
	b.t.Helper()
	got := b.call(kind, via, newKey())
	for _, one := range strings.Split(want, " or ") {
		if got.outcome == one {
			return
		}
	}
	b.t.Errorf("%s at %s: got %s, want %s (%q)", kind, via, got.outcome, want, got.body)
}

func (b *testbed) expectCompleted(kind, via string) {
	b.t.Helper()
	b.expect(kind, via, "completed")
}

// expectAllKinds checks that an instance completes requests of all kinds.
func (b *testbed) expectAllKinds(via string) {
	b.t.Helper()
	for _, kind := range []string{kindPlain, kindStream, kindReserve} {
		b.expectCompleted(kind, via)
	}
}

// replaceC kills instance c, calls fault, and launches a new c without waiting
// until it is ready.
func (b *testbed) replaceC(fault func()) *instance {
	b.kill(b.instances["c"])
	time.Sleep(time.Second)
	fault()
	return b.launch("c")
}

func (b *testbed) disconnectFromLog(name string) { b.log.SetDisconnected(name, true) }

// lifeCells check that an instance serves requests only if its state is fresh,
// by its own reads of the log or by the vouches of its peers, and during an
// outage of the log idempotent requests only.
var lifeCells = []lifeCell{
	{"life", "start", "none", func(b *testbed) {
		<-b.replaceC(func() {}).Ready()
		time.Sleep(time.Second)
		b.expectAllKinds("c")
	}},
	{"life", "start", "kill", func(b *testbed) {
		b.kill(b.replaceC(func() { b.log.SetSlow(time.Second) }))
		time.Sleep(time.Second)
		b.log.SetSlow(0)
		<-b.launch("c").Ready()
		time.Sleep(time.Second)
		b.expectAllKinds("c")
	}},
	{"life", "start", "cut from log", func(b *testbed) {
		// The peers of c send it the state and vouch for the head. Requests that
		// need the log itself are refused as not run.
		b.startDisconnected = true
		b.replaceC(func() {})
		time.Sleep(freshnessBound)
		b.expectCompleted(kindPlain, "c")
		b.expectCompleted(kindStream, "c")
		b.expect(kindReserve, "c", "refused")
		b.heal()
		b.expectAllKinds("c")
	}},
	{"life", "start", "cut from all", func(b *testbed) {
		b.startDisconnected = true
		b.replaceC(func() { b.isolate("c") })
		time.Sleep(2 * freshnessBound)
		b.expect(kindPlain, "c", "refused")
		b.expect(kindReserve, "c", "refused")
		b.heal()
		b.expectAllKinds("c")
	}},
	{"life", "start", "log down", func(b *testbed) {
		// All instances are in outage mode; the new one gets the state from its
		// peers.
		b.replaceC(func() { b.log.SetDown(true); time.Sleep(2 * freshnessBound) })
		time.Sleep(freshnessBound)
		b.expectCompleted(kindPlain, "c")
		b.expectCompleted(kindStream, "c")
		b.expect(kindReserve, "c", "refused")
		b.heal()
		b.expectAllKinds("c")
	}},
	{"life", "start", "slow", func(b *testbed) {
		in := b.replaceC(func() { b.log.SetSlow(1500 * time.Millisecond) })
		b.expect(kindPlain, "c", "refused")
		<-in.Ready()
		b.heal()
		b.expectAllKinds("c")
	}},
	{"life", "start", "freeze", func(b *testbed) {
		in := b.replaceC(func() { b.log.SetSlow(time.Second) })
		b.freeze(in, func() { b.log.SetSlow(0); b.withdraw("b"); time.Sleep(freshnessBound) })
		b.expect(kindPlain, "c", "refused")
		b.heal()
		b.expectAllKinds("c")
	}},
	{"life", "start", "operator race", func(b *testbed) {
		in := b.replaceC(func() { b.log.SetSlow(500 * time.Millisecond) })
		b.racePublications("a", "b")
		<-in.Ready()
		b.heal()
		b.expectAllKinds("c")
	}},
	{"life", "start", "lost reply", func(b *testbed) {
		// The reply to the first append of the new c is lost.
		<-b.replaceC(func() {}).Ready()
		time.Sleep(time.Second)
		b.log.LoseReplies(1)
		b.expectCompleted(kindReserve, "c")
	}},

	{"life", "catch up", "kill", func(b *testbed) {
		// The publishing instance dies before it has pushed the manifest to any
		// peer.
		b.disconnectFromLog("c")
		awaitFault := b.planFault("push", func() { b.kill(b.instances["a"]) })
		b.instances["a"].publisher.Publish(context.Background(), withdrawalManifest("p-a"), true)
		awaitFault()
		time.Sleep(time.Second)
		b.withdrawn["draft@1"] = time.Now()
		b.expectCompleted(kindPlain, "b")
		b.expectCompleted(kindPlain, "c")
	}},
	{"life", "catch up", "cut from log", func(b *testbed) {
		// The push makes c fetch the state from its peers at once.
		b.disconnectFromLog("c")
		time.Sleep(freshnessBound)
		b.withdraw("b")
		b.expectCompleted(kindPlain, "c")
		b.expect(kindReserve, "c", "refused")
	}},
	{"life", "catch up", "cut from all", func(b *testbed) {
		// Within the freshness bound, c may not know of the withdrawal and still
		// run requests; after the bound it refuses them.
		b.withdrawalSlack = freshnessBound
		b.disconnectFromLog("c")
		b.isolate("c")
		b.withdraw("b")
		b.expect(kindPlain, "c", "unknown")
		time.Sleep(freshnessBound)
		b.expect(kindPlain, "c", "refused")
		b.expect(kindReserve, "c", "refused")
		b.heal()
		b.expectAllKinds("c")
	}},
	{"life", "catch up", "freeze", func(b *testbed) {
		b.freeze(b.instances["c"], func() { b.withdraw("b"); time.Sleep(pauseWithinBound) })
		b.expect(kindPlain, "c", "refused")
		b.expect(kindReserve, "c", "refused")
		b.heal()
		b.expectAllKinds("c")
	}},
	{"life", "catch up", "long freeze", func(b *testbed) {
		b.freeze(b.instances["c"], func() { b.withdraw("b"); time.Sleep(time.Minute) })
		b.expect(kindPlain, "c", "refused")
		b.heal()
		b.expectAllKinds("c")
	}},
	{"life", "catch up", "log down", func(b *testbed) {
		// The log goes down right after a manifest that c has not read from it.
		b.disconnectFromLog("c")
		time.Sleep(freshnessBound)
		b.withdraw("b")
		b.log.SetDown(true)
		time.Sleep(2 * freshnessBound)
		for _, via := range []string{"a", "b", "c"} {
			b.expectCompleted(kindPlain, via)
			b.expect(kindReserve, via, "refused")
		}
		b.heal()
		b.expectAllKinds("c")
	}},
	{"life", "catch up", "slow", func(b *testbed) {
		b.log.SetSlow(time.Second)
		time.Sleep(freshnessBound)
		b.withdraw("b")
		time.Sleep(3 * time.Second)
		b.expectAllKinds("c")
	}},
	{"life", "catch up", "operator race", func(b *testbed) {
		b.freeze(b.instances["c"], func() { b.racePublications("a", "b"); b.racePublications("a", "b"); time.Sleep(freshnessBound) })
		b.heal()
		b.expectAllKinds("c")
		if g := b.instances["c"].holder.Generation(); g != 3 {
			b.t.Errorf("generation %d, want 3", g)
		}
	}},
	{"life", "catch up", "lapsed lease", func(b *testbed) {
		// The holder of the orders' lease is paused until after the lease has
		// expired, and must not send orders.
		a, c := b.leaseManager("a"), b.leaseManager("c")
		if !a.Acquire(b.t.Context()) {
			b.t.Fatal("instance a did not acquire the lease")
		}
		old, _ := a.Check(lease.FencingEnforced)
		b.freeze(b.instances["a"], func() { time.Sleep(time.Minute) })
		if _, r := a.Check(lease.FencingEnforced); r != lease.Expired {
			b.t.Errorf("check at the old holder: %d, want Expired", r)
		}
		if !c.Acquire(b.t.Context()) {
			b.t.Error("instance c did not acquire the lease, want it expired")
		}
		if fencing, r := c.Check(lease.FencingEnforced); r != lease.Allowed || fencing <= old {
			b.t.Errorf("fencing number %d after %d, check %d; want a higher number and Allowed", fencing, old, r)
		}
		b.heal()
		if _, r := a.Check(lease.FencingEnforced); r != lease.NotHolder {
			b.t.Errorf("check at the old holder once it is up to date: %d, want NotHolder", r)
		}
	}},
	{"life", "catch up", "leaving", func(b *testbed) {
		b.makeServerLeave()
		b.expectCompleted(kindPlain, "a")
		b.expectCompleted(kindPlain, "b")
		b.expectAllKinds("c")
	}},
}

func (b *testbed) leaseManager(name string) *lease.Manager {
	b.t.Helper()
	m, err := lease.New(b.instances[name].Node, lease.Config{Name: "orders", Holder: name}, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(m.Close)
	return m
}

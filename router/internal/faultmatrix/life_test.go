package faultmatrix

import (
	"context"
	"strings"
	"time"

	"masticplank.example/coordination/lease"
)

// cell is one fault at one step of an instance's life, beside the planned stop,
// which stands with the requests that it must not cut off.
type cell struct {
	path, step, fault string
	run               func(b *bed)
}

// expect sends a request and wants one of the outcomes, "a or b".
func (b *bed) expect(kind, via, want string) {
	b.t.Helper()
	got := b.call(kind, via, newKey())
	for _, one := range strings.Split(want, " or ") {
		if got.outcome == one {
			return
		}
	}
	b.t.Errorf("%s at %s: got %s, want %s (%q)", kind, via, got.outcome, want, got.body)
}

func (b *bed) completes(kind, via string) {
	b.t.Helper()
	b.expect(kind, via, "completed")
}

// serves expects whole service at an instance.
func (b *bed) serves(via string) {
	b.t.Helper()
	for _, kind := range []string{kindPlain, kindStream, kindReserve} {
		b.completes(kind, via)
	}
}

// replaced takes c away and starts another in its place, without waiting.
func (b *bed) replaced(fault func()) *instance {
	b.kill(b.instances["c"])
	time.Sleep(time.Second)
	fault()
	return b.begin("c")
}

func (b *bed) cutOff(name string) { b.log.SetDisconnected(name, true) }

// lifeCells: an instance gives service only on a state that it may trust.
var lifeCells = []cell{
	{"life", "start", "none", func(b *bed) {
		<-b.replaced(func() {}).Ready()
		time.Sleep(time.Second)
		b.serves("c")
	}},
	{"life", "start", "kill", func(b *bed) {
		b.kill(b.replaced(func() { b.log.SetSlow(time.Second) }))
		time.Sleep(time.Second)
		b.log.SetSlow(0)
		<-b.begin("c").Ready()
		time.Sleep(time.Second)
		b.serves("c")
	}},
	{"life", "start", "cut from log", func(b *bed) {
		// Its peers give it the state and vouch for the head. What needs the
		// log itself is refused as not run.
		b.startsCut = true
		b.replaced(func() {})
		time.Sleep(bound)
		b.completes(kindPlain, "c")
		b.completes(kindStream, "c")
		b.expect(kindReserve, "c", "refused")
		b.heal()
		b.serves("c")
	}},
	{"life", "start", "cut from all", func(b *bed) {
		b.startsCut = true
		b.replaced(func() { b.isolate("c") })
		time.Sleep(2 * bound)
		b.expect(kindPlain, "c", "refused")
		b.expect(kindReserve, "c", "refused")
		b.heal()
		b.serves("c")
	}},
	{"life", "start", "log down", func(b *bed) {
		// All are in outage mode; the new one takes their state over.
		b.replaced(func() { b.log.SetDown(true); time.Sleep(2 * bound) })
		time.Sleep(bound)
		b.completes(kindPlain, "c")
		b.completes(kindStream, "c")
		b.expect(kindReserve, "c", "refused")
		b.heal()
		b.serves("c")
	}},
	{"life", "start", "slow", func(b *bed) {
		in := b.replaced(func() { b.log.SetSlow(1500 * time.Millisecond) })
		b.expect(kindPlain, "c", "refused")
		<-in.Ready()
		b.heal()
		b.serves("c")
	}},
	{"life", "start", "freeze", func(b *bed) {
		in := b.replaced(func() { b.log.SetSlow(time.Second) })
		b.freeze(in, func() { b.log.SetSlow(0); b.withdraw("b"); time.Sleep(bound) })
		b.expect(kindPlain, "c", "refused")
		b.heal()
		b.serves("c")
	}},
	{"life", "start", "operator race", func(b *bed) {
		in := b.replaced(func() { b.log.SetSlow(500 * time.Millisecond) })
		b.race("a", "b")
		<-in.Ready()
		b.heal()
		b.serves("c")
	}},
	{"life", "start", "lost reply", func(b *bed) {
		// The reply to its first own append is lost.
		<-b.replaced(func() {}).Ready()
		time.Sleep(time.Second)
		b.log.LoseReplies(1)
		b.completes(kindReserve, "c")
	}},

	{"life", "catch up", "kill", func(b *bed) {
		// The publisher dies with the word out to nobody.
		b.cutOff("c")
		met := b.plan("push", func() { b.kill(b.instances["a"]) })
		b.instances["a"].publisher.Publish(context.Background(), withdrawal("p-a"), true)
		met()
		time.Sleep(time.Second)
		b.withdrawn["draft@1"] = time.Now()
		b.completes(kindPlain, "b")
		b.completes(kindPlain, "c")
	}},
	{"life", "catch up", "cut from log", func(b *bed) {
		// The push makes it ask its peers at once.
		b.cutOff("c")
		time.Sleep(bound)
		b.withdraw("b")
		b.completes(kindPlain, "c")
		b.expect(kindReserve, "c", "refused")
	}},
	{"life", "catch up", "cut from all", func(b *bed) {
		// Within the bound it may not have heard; past it, it refuses.
		b.slack = bound
		b.cutOff("c")
		b.isolate("c")
		b.withdraw("b")
		b.expect(kindPlain, "c", "unknown")
		time.Sleep(bound)
		b.expect(kindPlain, "c", "refused")
		b.expect(kindReserve, "c", "refused")
		b.heal()
		b.serves("c")
	}},
	{"life", "catch up", "freeze", func(b *bed) {
		b.freeze(b.instances["c"], func() { b.withdraw("b"); time.Sleep(shortOfBound) })
		b.expect(kindPlain, "c", "refused")
		b.expect(kindReserve, "c", "refused")
		b.heal()
		b.serves("c")
	}},
	{"life", "catch up", "long freeze", func(b *bed) {
		b.freeze(b.instances["c"], func() { b.withdraw("b"); time.Sleep(time.Minute) })
		b.expect(kindPlain, "c", "refused")
		b.heal()
		b.serves("c")
	}},
	{"life", "catch up", "log down", func(b *bed) {
		// The log goes down right behind a manifest that c has not read.
		b.cutOff("c")
		time.Sleep(bound)
		b.withdraw("b")
		b.log.SetDown(true)
		time.Sleep(2 * bound)
		for _, via := range []string{"a", "b", "c"} {
			b.completes(kindPlain, via)
			b.expect(kindReserve, via, "refused")
		}
		b.heal()
		b.serves("c")
	}},
	{"life", "catch up", "slow", func(b *bed) {
		b.log.SetSlow(time.Second)
		time.Sleep(bound)
		b.withdraw("b")
		time.Sleep(3 * time.Second)
		b.serves("c")
	}},
	{"life", "catch up", "operator race", func(b *bed) {
		b.freeze(b.instances["c"], func() { b.race("a", "b"); b.race("a", "b"); time.Sleep(bound) })
		b.heal()
		b.serves("c")
		if g := b.instances["c"].holder.Generation(); g != 3 {
			b.t.Errorf("generation %d", g)
		}
	}},
	{"life", "catch up", "lapsed lease", func(b *bed) {
		// The holder of the orders' lease is paused past it, and does not send.
		a, c := b.manager("a"), b.manager("c")
		if !a.Acquire(b.t.Context()) {
			b.t.Fatal("no lease")
		}
		old, _ := a.Check(lease.FencingEnforced)
		b.freeze(b.instances["a"], func() { time.Sleep(time.Minute) })
		if _, r := a.Check(lease.FencingEnforced); r != lease.Expired {
			b.t.Errorf("the old holder may send: %d", r)
		}
		if !c.Acquire(b.t.Context()) {
			b.t.Error("the lease did not lapse")
		}
		if fence, r := c.Check(lease.FencingEnforced); r != lease.Allowed || fence <= old {
			b.t.Errorf("fence %d after %d, %d", fence, old, r)
		}
		b.heal()
		if _, r := a.Check(lease.FencingEnforced); r != lease.NotHolder {
			b.t.Errorf("the old holder thinks that it holds: %d", r)
		}
	}},
	{"life", "catch up", "leaving", func(b *bed) {
		b.leaves()
		b.completes(kindPlain, "a")
		b.completes(kindPlain, "b")
		b.serves("c")
	}},
}

func (b *bed) manager(name string) *lease.Manager {
	b.t.Helper()
	m, err := lease.New(b.instances[name].Node, lease.Config{Name: "orders", Holder: name}, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(m.Close)
	return m
}

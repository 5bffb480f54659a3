package faultmatrix

import (
	"time"

	"masticplank.example/coordination/freshness"
	"masticplank.example/coordination/lease"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
)

// putSessions puts the sessions numbered from up to, but not including, to.
func (b *testbed) putSessions(in *instance, from, to int) {
	b.t.Helper()
	for i := from; i < to; i++ {
		b.put(in, session(i), node.OutcomeWon)
	}
}

func (b *testbed) checkNotReady(in *instance) {
	b.t.Helper()
	select {
	case <-in.Ready():
		b.t.Errorf("%s is ready, want it to wait for the state that it lacks", in.name)
	default:
	}
}

// startCells guard against an instance that is ready without the whole state.
var startCells = []cell{
	{"start", "replay", "none", func(b *testbed) {
		a := b.start("a")
		b.putSessions(a, 0, 5)
		b.checkAgreement(a, b.start("c"))
	}},
	{"start", "replay", "slow", func(b *testbed) {
		a := b.start("a")
		b.putSessions(a, 0, 5)
		b.log.SetSlow(1500 * time.Millisecond)
		c := b.startAsync("c")
		time.Sleep(time.Second)
		b.checkNotReady(c)
		<-c.Ready()
		if c.Digest() != a.Digest() {
			b.t.Error("ready before it has folded up to the head")
		}
	}},
	{"start", "replay", "kill", func(b *testbed) {
		a := b.start("a")
		b.putSessions(a, 0, 5)
		b.log.SetSlow(time.Second)
		b.kill(b.startAsync("c"))
		b.log.SetSlow(0)
		b.checkAgreement(a, b.start("c"))
	}},
	{"start", "replay", "cut", func(b *testbed) {
		a := b.start("a")
		b.putSessions(a, 0, 5)
		b.log.SetDisconnected("c", true)
		c := b.startAsync("c")
		time.Sleep(20 * time.Second)
		b.checkNotReady(c)
		b.checkMode(c, freshness.ModeStale)
		b.log.SetDisconnected("c", false)
		<-c.Ready()
		b.checkAgreement(a, c)
	}},
	{"start", "replay", "log down", func(b *testbed) {
		a := b.start("a")
		b.putSessions(a, 0, 5)
		b.log.SetDown(true)
		c := b.startAsync("c")
		time.Sleep(20 * time.Second)
		b.checkNotReady(c)
		b.checkMode(c, freshness.ModeStale)
		snapshot, err := a.Snapshot()
		if err != nil {
			b.t.Fatal(err)
		}
		if err := c.Restore(snapshot); err != nil {
			b.t.Fatal(err)
		}
		<-c.Ready()
		time.Sleep(2 * time.Second)
		b.checkMode(c, freshness.ModeOutage)
		b.log.SetDown(false)
		b.checkAgreement(a, c)
		b.checkMode(c, freshness.ModeFresh)
	}},
	{"start", "replay", "trimmed", func(b *testbed) {
		a := b.start("a")
		b.putSessions(a, 0, 5)
		b.log.Trim(3)
		c := b.startAsync("c")
		time.Sleep(20 * time.Second)
		b.checkNotReady(c)
		if err := a.Checkpoint(); err != nil {
			b.t.Fatal(err)
		}
		<-c.Ready()
		b.checkAgreement(a, c)
	}},
	{"start", "replay", "stale checkpoint", func(b *testbed) {
		// A paused instance appends a checkpoint that ends before the entries
		// that are kept.
		a := b.start("a")
		b.putSessions(a, 0, 1)
		if err := a.Checkpoint(); err != nil {
			b.t.Fatal(err)
		}
		time.Sleep(time.Second)
		stale := b.log.Entries()[1].Data
		b.putSessions(a, 1, 5)
		b.log.Trim(4)
		b.log.Inject(stale)
		c := b.startAsync("c")
		time.Sleep(20 * time.Second)
		b.checkNotReady(c)
		if n := c.Digest().NextOffset; n != 0 {
			b.t.Errorf("restored the stale checkpoint, next offset %d, want 0", n)
		}
		before := a.Digest().Hash
		b.log.Inject(stale)
		time.Sleep(time.Second)
		if a.Digest().Hash != before {
			b.t.Error("a stale checkpoint changed a reader's state")
		}
	}},
	{"start", "catch up", "freeze past trimming", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		b.putSessions(a, 0, 2)
		c.frozen.Store(true)
		b.log.SetDisconnected("c", true)
		b.putSessions(a, 2, 6)
		if err := a.Checkpoint(); err != nil {
			b.t.Fatal(err)
		}
		time.Sleep(time.Second)
		b.putSessions(a, 6, 8)
		b.log.Trim(5)
		c.frozen.Store(false)
		b.log.SetDisconnected("c", false)
		b.checkAgreement(a, c)
		b.checkMode(c, freshness.ModeFresh)
	}},
	{"start", "catch up", "log down past the retention", func(b *testbed) {
		// After an outage longer than the retention a checkpoint is due at once.
		a, c := b.start("a"), b.start("c")
		b.putSessions(a, 0, 2)
		b.log.SetDown(true)
		time.Sleep(2 * foldConfig.Retention)
		b.log.SetDown(false)
		time.Sleep(5 * time.Second)
		b.log.Trim(2)
		b.checkAgreement(a, c, b.start("b"))
	}},
	{"start", "checkpoint", "refused", func(b *testbed) {
		// The checkpoint that is due is refused. It must be appended again long
		// before the records that it covers are trimmed.
		a := b.start("a")
		b.putSessions(a, 0, 3)
		time.Sleep(foldConfig.Retention / 8)
		b.log.FailAppends(logtest.AppendRefused, logtest.AppendLost)
		time.Sleep(foldConfig.Retention / 2)
		b.log.Trim(3)
		c := b.startAsync("c")
		time.Sleep(10 * time.Second)
		if c.Digest() != a.Digest() {
			b.t.Error("the digests differ: no checkpoint was appended before the records were trimmed")
		}
	}},
	{"start", "checkpoint", "lost reply", func(b *testbed) {
		a := b.start("a")
		b.putSessions(a, 0, 3)
		b.log.FailAppends(logtest.AppendReplyLost)
		if err := a.Checkpoint(); err != nil {
			b.t.Fatal(err)
		}
		time.Sleep(time.Second)
		b.log.Trim(3)
		b.checkAgreement(a, b.start("c"))
	}},
}

func (b *testbed) manager(in *instance) *lease.Manager {
	b.t.Helper()
	m, err := lease.New(in, lease.Config{Name: "orders", Holder: in.name}, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	return m
}

func (b *testbed) checkOrder(m *lease.Manager, support lease.FencingSupport, want lease.CheckResult) uint64 {
	b.t.Helper()
	fence, got := m.Check(support)
	if got != want {
		b.t.Errorf("check of an order: result %d, want %d", got, want)
	}
	return fence
}

func (b *testbed) checkAcquire(m *lease.Manager, want bool) {
	b.t.Helper()
	if got := m.Acquire(b.t.Context()); got != want {
		b.t.Errorf("lease acquired: %v, want %v", got, want)
	}
}

// orderCells guard against two instances that send orders at the same time.
var orderCells = []cell{
	{"order", "check", "lapsed lease", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		old, next := b.manager(a), b.manager(c)
		b.checkAcquire(old, true)
		first := b.checkOrder(old, lease.FencingEnforced, lease.Allowed)
		b.freeze(a, 11*time.Second)
		b.checkOrder(old, lease.FencingEnforced, lease.Expired)
		b.checkAcquire(next, true)
		if second := b.checkOrder(next, lease.FencingEnforced, lease.Allowed); second <= first {
			b.t.Errorf("fencing number %d after %d, want a higher one", second, first)
		}
		b.checkOrder(next, lease.FencingIgnored, lease.WaitingForPredecessor)
		time.Sleep(5 * time.Second)
		b.checkOrder(old, lease.FencingEnforced, lease.NotHolder)
		b.checkAcquire(old, false)
	}},
	{"order", "take", "kill", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		old, next := b.manager(a), b.manager(c)
		b.checkAcquire(old, true)
		b.kill(a)
		b.checkAcquire(next, false)
		time.Sleep(10 * time.Second)
		b.checkAcquire(next, true)
		b.checkOrder(next, lease.FencingIgnored, lease.WaitingForPredecessor)
		time.Sleep(7 * time.Second)
		b.checkAcquire(next, true)
		time.Sleep(5200 * time.Millisecond)
		b.checkOrder(next, lease.FencingIgnored, lease.Allowed)
	}},
	{"order", "take", "lost reply", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		b.log.FailAppends(logtest.AppendReplyLost)
		m := b.manager(a)
		b.checkAcquire(m, true)
		b.checkOrder(m, lease.FencingEnforced, lease.Allowed)
		b.checkAcquire(b.manager(c), false)
	}},
	{"order", "renew", "log down", func(b *testbed) {
		a := b.start("a")
		m := b.manager(a)
		b.checkAcquire(m, true)
		b.log.SetDown(true)
		time.Sleep(4 * time.Second)
		b.checkAcquire(m, false)
		b.checkOrder(m, lease.FencingEnforced, lease.Allowed)
		time.Sleep(4 * time.Second)
		b.checkOrder(m, lease.FencingEnforced, lease.Expired)
	}},
	{"order", "renew", "cut", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		old, next := b.manager(a), b.manager(c)
		b.checkAcquire(old, true)
		b.log.SetDisconnected("a", true)
		time.Sleep(10 * time.Second)
		b.checkOrder(old, lease.FencingEnforced, lease.Expired)
		b.checkAcquire(next, true)
	}},
}

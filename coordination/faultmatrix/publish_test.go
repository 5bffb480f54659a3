package faultmatrix

import (
	"time"

	"masticplank.example/coordination/freshness"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

// publishCells guard against an accepted manifest that is reverted or not in
// force everywhere, and against an instance that can't know of it but counts as
// fresh and so takes new work.
var publishCells = []cell{
	{"publish", "append", "kill", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		b.log.FailAppends(logtest.AppendDelayed)
		done := b.putAsync(a, manifest(1, "", 1, "one"))
		b.kill(a)
		if res := <-done; res.Outcome != node.OutcomeUnknown {
			b.t.Errorf("outcome %d of a Put whose append is under way, want unknown", res.Outcome)
		}
		// The pipeline publishes the same manifest again: the generation advances
		// only once.
		time.Sleep(2 * logtest.AppendDelay)
		b.put(c, manifest(1, "", 1, "one"), node.OutcomeWon)
		if g := c.Digest().Generation; g != 1 {
			b.t.Errorf("generation %d, want 1", g)
		}
	}},
	{"publish", "read back", "kill", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		b.put(a, manifest(1, "", 1, "one"), node.OutcomeWon)
		b.kill(a)
		time.Sleep(2 * foldConfig.Retention)
		b.put(c, session(1), node.OutcomeWon)
		b.checkInForce(c, "one")
		b.checkInForce(b.start("b"), "one")
	}},
	{"publish", "push", "cut from the log", func(b *testbed) {
		// The peers vouch for a head that the disconnected instance has not
		// folded: it is stale until it restores the state of one of them.
		a, c := b.start("a"), b.start("c")
		b.put(a, manifest(1, "", 1, "one"), node.OutcomeWon)
		time.Sleep(2 * time.Second)
		b.log.SetDisconnected("c", true)
		time.Sleep(20 * time.Second)
		b.checkMode(c, freshness.ModeFresh)
		b.put(a, manifest(2, "one", 2, "two"), node.OutcomeWon)
		time.Sleep(freshness.DefaultBound + time.Second)
		b.checkInForce(c, "one")
		b.checkMode(c, freshness.ModeStale)
		snapshot, err := a.Snapshot()
		if err != nil {
			b.t.Fatal(err)
		}
		if err := c.Restore(snapshot); err != nil {
			b.t.Fatal(err)
		}
		time.Sleep(time.Second)
		b.checkInForce(c, "two")
		b.checkMode(c, freshness.ModeFresh)
	}},
	{"publish", "push", "cut from all", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		c.isolated.Store(true)
		b.log.SetDisconnected("c", true)
		b.put(a, manifest(1, "", 1, "one"), node.OutcomeWon)
		time.Sleep(freshness.DefaultBound + time.Second)
		b.checkMode(c, freshness.ModeStale)
		b.checkMode(a, freshness.ModeFresh)
		b.log.SetDisconnected("c", false)
		time.Sleep(5 * time.Second)
		b.checkInForce(c, "one")
		b.checkMode(c, freshness.ModeFresh)
	}},
	{"publish", "read back", "freeze", func(b *testbed) {
		// Stale after a pause, in which another manifest could have taken effect.
		a, c := b.start("a"), b.start("c")
		b.put(a, manifest(1, "", 1, "one"), node.OutcomeWon)
		time.Sleep(time.Second)
		c.frozen.Store(true)
		time.Sleep(3 * time.Second)
		b.checkMode(c, freshness.ModeStale)
		c.frozen.Store(false)
		time.Sleep(2 * time.Second)
		b.checkMode(c, freshness.ModeFresh)
	}},
	{"publish", "append", "freeze", func(b *testbed) {
		// The append of a publisher that paused takes effect after another's
		// manifest. Here the publisher is killed; its delayed append is the same.
		a, c := b.start("a"), b.start("c")
		b.put(a, manifest(1, "", 1, "one"), node.OutcomeWon)
		b.log.FailAppends(logtest.AppendDelayed)
		done := b.putAsync(a, manifest(2, "one", 2, "late"))
		b.kill(a)
		<-done
		b.put(c, manifest(2, "one", 3, "two"), node.OutcomeWon)
		time.Sleep(2 * logtest.AppendDelay)
		b.checkInForce(c, "two")
	}},
	{"publish", "append", "log down", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		b.put(a, manifest(1, "", 1, "one"), node.OutcomeWon)
		time.Sleep(time.Second)
		b.log.SetDown(true)
		b.put(a, manifest(2, "one", 2, "two"), node.OutcomeVoid)
		time.Sleep(freshness.DefaultBound + 2*time.Second)
		b.checkInForce(c, "one")
		// Two of three instances answer: outage mode, and the last manifest stays
		// in force.
		b.checkMode(a, freshness.ModeOutage)
		b.checkMode(c, freshness.ModeOutage)
		c.isolated.Store(true)
		time.Sleep(freshness.DefaultBound + time.Second)
		b.checkMode(a, freshness.ModeStale)
	}},
	{"publish", "append", "slow", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		b.log.SetSlow(1500 * time.Millisecond)
		b.put(a, manifest(1, "", 1, "one"), node.OutcomeWon)
		b.checkAgreement(a, c)
		b.checkInForce(c, "one")
	}},
	{"publish", "append", "lost reply", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		b.log.FailAppends(logtest.AppendReplyLost)
		b.put(a, manifest(1, "", 1, "one"), node.OutcomeWon)
		b.put(a, manifest(1, "", 1, "one"), node.OutcomeWon)
		b.checkAgreement(a, c)
		if g := c.Digest().Generation; g != 1 {
			b.t.Errorf("generation %d, want 1", g)
		}
	}},
	{"publish", "append", "operator race", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		first, second := b.putAsync(a, manifest(1, "", 1, "one")), b.putAsync(c, manifest(1, "", 2, "other"))
		x, y := <-first, <-second
		if x.Outcome+y.Outcome != node.OutcomeWon+node.OutcomeLost {
			b.t.Fatalf("outcomes %d and %d, want one won and one lost", x.Outcome, y.Outcome)
		}
		if x.Register.Nonce != y.Register.Nonce || len(y.Register.Value) == 0 {
			b.t.Error("the losing Put does not return the winner")
		}
		b.checkAgreement(a, c)
	}},
	{"publish", "append", "stale parent", func(b *testbed) {
		// An operator whose pipeline read an old manifest can't revert a newer one.
		a, c := b.start("a"), b.start("c")
		b.put(a, manifest(1, "", 1, "one"), node.OutcomeWon)
		b.put(a, manifest(2, "one", 2, "two"), node.OutcomeWon)
		b.put(c, manifest(2, "one", 3, "old"), node.OutcomeLost)
		b.put(c, manifest(2, "other", 5, "old"), node.OutcomeLost)
		b.put(c, manifest(3, "one", 4, "old"), node.OutcomeVoid)
		a.Release(record.ManifestKey(2, record.ManifestDigest([]byte("one"))), record.Nonce{2})
		b.checkAgreement(a, c)
		b.checkInForce(c, "two")
	}},
	{"publish", "append", "invalid content", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		b.put(a, manifest(1, "", 1, "invalid"), node.OutcomeVoid)
		b.put(c, manifest(1, "", 2, "one"), node.OutcomeWon)
		b.checkAgreement(a, c)
	}},
}

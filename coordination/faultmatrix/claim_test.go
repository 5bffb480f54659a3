package faultmatrix

import (
	"time"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

// claimCells: a non-idempotent request runs at most once, and "not run" is said
// only where it is so. Who hears OutcomeWon runs it; whoever hears
// OutcomeUnknown releases and answers "not run".
var claimCells = []cell{
	{"claim", "before append", "kill", func(b *testbed) {
		// The append waits behind a slow one when the process ends: the claim
		// is void, and the resend wins.
		a, c := b.start("a"), b.start("c")
		b.log.SetSlow(time.Second)
		b.putAsync(a, session(1))
		done := b.putAsync(a, claim(1))
		b.kill(a)
		if res := <-done; res.Outcome != node.OutcomeVoid {
			b.t.Errorf("outcome %d", res.Outcome)
		}
		b.log.SetSlow(0)
		b.put(c, claim(2), node.OutcomeWon)
	}},
	{"claim", "append", "kill", func(b *testbed) {
		// Killed with the append under way: it may land, so it is unknown. The
		// resend finds it in the log and does not run again.
		a, c := b.start("a"), b.start("c")
		b.log.FailAppends(logtest.AppendDelayed)
		done := b.putAsync(a, claim(1))
		b.kill(a)
		if res := <-done; res.Outcome != node.OutcomeUnknown {
			b.t.Errorf("outcome %d", res.Outcome)
		}
		time.Sleep(2 * logtest.AppendDelay)
		b.put(c, claim(2), node.OutcomeLost)
	}},
	{"claim", "read back", "kill", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		b.put(a, claim(1), node.OutcomeWon)
		b.kill(a)
		b.put(c, claim(2), node.OutcomeLost)
	}},
	{"claim", "append", "cut", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		b.log.SetDisconnected("a", true)
		b.put(a, claim(1), node.OutcomeVoid)
		b.put(c, claim(2), node.OutcomeWon)
		b.log.SetDisconnected("a", false)
		b.checkAgreement(a, c)
		b.put(a, claim(3), node.OutcomeLost)
	}},
	{"claim", "read back", "cut", func(b *testbed) {
		// On its way to the log, and cut before it is read back: given up and
		// released. Until the release is in the log, the claim stands for all
		// others; then the request may run.
		a, c := b.start("a"), b.start("c")
		b.log.FailAppends(logtest.AppendDelayed)
		done := b.putAsync(a, claim(1))
		b.log.SetDisconnected("a", true)
		time.Sleep(2 * logtest.AppendDelay)
		b.put(c, claim(2), node.OutcomeLost)
		a.Release("claim/t/r", record.Nonce{1})
		if res := <-done; res.Outcome != node.OutcomeVoid {
			b.t.Errorf("outcome %d", res.Outcome)
		}
		if _, ok := a.Lookup("claim/t/r"); ok {
			b.t.Error("released, and still seen by its own process")
		}
		b.log.SetDisconnected("a", false)
		b.checkAgreement(a, c)
		b.put(c, claim(3), node.OutcomeWon)
	}},
	{"claim", "append", "freeze past the window", func(b *testbed) {
		// The holder is paused, its key grows old, others forget the claim only
		// later: a key can't be claimed twice however long the pause.
		a, c := b.start("a"), b.start("c")
		old := time.Now()
		b.put(c, claimAt(1, old), node.OutcomeWon)
		b.freeze(a, 3*claimWindow)
		b.put(a, claimAt(2, old), node.OutcomeVoid)
	}},
	{"claim", "append", "freeze within the window", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		old := time.Now()
		b.freeze(a, claimWindow/2)
		b.put(c, claimAt(1, old), node.OutcomeWon)
		b.put(a, claimAt(2, old), node.OutcomeLost)
	}},
	{"claim", "append", "log down", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		b.log.SetDown(true)
		began := time.Now()
		b.put(a, claim(1), node.OutcomeVoid)
		if took := time.Since(began); took > 100*time.Millisecond {
			b.t.Errorf("the refusal took %v", took)
		}
		b.log.SetDown(false)
		time.Sleep(10 * time.Second)
		b.put(c, claim(2), node.OutcomeWon)
	}},
	{"claim", "release", "log down", func(b *testbed) {
		// Given up while the log takes nothing: dead here at once, and for all
		// once the log is back.
		a, c := b.start("a"), b.start("c")
		b.put(a, claim(1), node.OutcomeWon)
		b.log.SetDown(true)
		a.Release("claim/t/r", record.Nonce{1})
		if _, ok := a.Lookup("claim/t/r"); ok {
			b.t.Error("released, and still seen by its own process")
		}
		time.Sleep(5 * time.Second)
		b.log.SetDown(false)
		b.checkAgreement(a, c)
		b.put(c, claim(2), node.OutcomeWon)
	}},
	{"claim", "append", "slow", func(b *testbed) {
		// Past its deadline the Put is unknown, not void: it lands later.
		a, c := b.start("a"), b.start("c")
		b.log.SetSlow(1500 * time.Millisecond)
		b.putWithin(a, time.Second, claim(1), node.OutcomeUnknown)
		a.Release("claim/t/r", record.Nonce{1})
		b.log.SetSlow(0)
		time.Sleep(10 * time.Second)
		b.checkAgreement(a, c)
		b.put(c, claim(2), node.OutcomeWon)
		b.put(a, claim(1), node.OutcomeVoid)
	}},
	{"claim", "append", "slow past the window", func(b *testbed) {
		// Judged by the log's time when it lands, not by the sender's clock.
		a := b.start("a")
		b.log.SetSlow(1500 * time.Millisecond)
		b.put(a, claimAt(1, time.Now().Add(-claimWindow+time.Second)), node.OutcomeVoid)
	}},
	{"claim", "append", "lost reply", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		b.log.FailAppends(logtest.AppendReplyLost)
		b.put(a, claim(1), node.OutcomeWon)
		b.put(c, claim(2), node.OutcomeLost)
		b.checkAgreement(a, c)
	}},
	{"claim", "append", "lost, then refused", func(b *testbed) {
		// A refusal of the second try says nothing about the first.
		a, c := b.start("a"), b.start("c")
		b.log.FailAppends(logtest.AppendDelayed, logtest.AppendRefused)
		b.put(a, claim(1), node.OutcomeWon)
		time.Sleep(2 * logtest.AppendDelay)
		b.put(c, claim(2), node.OutcomeLost)
	}},
	{"claim", "append", "late copy", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		b.put(c, claim(2), node.OutcomeWon)
		b.log.FailAppends(logtest.AppendDelayed)
		b.put(a, claim(1), node.OutcomeLost)
		c.Release("claim/t/r", record.Nonce{2})
		time.Sleep(2 * logtest.AppendDelay)
		b.put(c, claim(3), node.OutcomeWon)
	}},
	{"claim", "append", "late copy, then kill", func(b *testbed) {
		// Told that it lost, and killed the next moment: the late copy must be
		// dead in the log by then.
		a, c := b.start("a"), b.start("c")
		b.put(c, claim(2), node.OutcomeWon)
		b.log.FailAppends(logtest.AppendDelayed)
		b.put(a, claim(1), node.OutcomeLost)
		b.kill(a)
		c.Release("claim/t/r", record.Nonce{2})
		time.Sleep(2 * logtest.AppendDelay)
		b.put(c, claim(3), node.OutcomeWon)
	}},
	{"claim", "append", "two at once", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		first, second := b.putAsync(a, claim(1)), b.putAsync(c, claim(2))
		x, y := <-first, <-second
		if x.Outcome+y.Outcome != node.OutcomeWon+node.OutcomeLost {
			b.t.Errorf("outcomes %d and %d", x.Outcome, y.Outcome)
		}
	}},
}

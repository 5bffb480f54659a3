package faultmatrix

import (
	"time"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

// claimCells guard against a non-idempotent request that runs twice, and against
// an answer "not run" for one that ran. The instance that gets OutcomeWon runs
// the request; one that gets OutcomeUnknown releases the claim and answers "not
// run".
var claimCells = []cell{
	{"claim", "before append", "kill", func(b *testbed) {
		// The process ends while the claim waits behind a slow append: the claim
		// is void, and the resent request's claim wins.
		a, c := b.start("a"), b.start("c")
		b.log.SetSlow(time.Second)
		b.putAsync(a, session(1))
		done := b.putAsync(a, claim(1))
		b.kill(a)
		if res := <-done; res.Outcome != node.OutcomeVoid {
			b.t.Errorf("outcome %d of a Put that was not appended, want void", res.Outcome)
		}
		b.log.SetSlow(0)
		b.put(c, claim(2), node.OutcomeWon)
	}},
	{"claim", "append", "kill", func(b *testbed) {
		// Killed while the append is under way: it may take effect, so its
		// outcome is unknown. The resent request finds the claim in the log and
		// does not run.
		a, c := b.start("a"), b.start("c")
		b.log.FailAppends(logtest.AppendDelayed)
		done := b.putAsync(a, claim(1))
		b.kill(a)
		if res := <-done; res.Outcome != node.OutcomeUnknown {
			b.t.Errorf("outcome %d of a Put whose append is under way, want unknown", res.Outcome)
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
		// The instance is disconnected after its append is sent and before it is
		// read back, and releases the claim. For all others the claim holds
		// until the Release is in the log; then the request may run.
		a, c := b.start("a"), b.start("c")
		b.log.FailAppends(logtest.AppendDelayed)
		done := b.putAsync(a, claim(1))
		b.log.SetDisconnected("a", true)
		time.Sleep(2 * logtest.AppendDelay)
		b.put(c, claim(2), node.OutcomeLost)
		a.Release("claim/t/r", record.Nonce{1})
		if res := <-done; res.Outcome != node.OutcomeVoid {
			b.t.Errorf("outcome %d of the released Put, want void", res.Outcome)
		}
		if _, ok := a.Lookup("claim/t/r"); ok {
			b.t.Error("a released claim is still visible to its own process")
		}
		b.log.SetDisconnected("a", false)
		b.checkAgreement(a, c)
		b.put(c, claim(3), node.OutcomeWon)
	}},
	{"claim", "append", "freeze past the window", func(b *testbed) {
		// The instance is paused past the claim window. Others drop the first
		// claim only after its key is too old to be claimed, so a key can't be
		// claimed twice however long the pause.
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
			b.t.Errorf("the void Put took %v, want at most 100ms", took)
		}
		b.log.SetDown(false)
		time.Sleep(10 * time.Second)
		b.put(c, claim(2), node.OutcomeWon)
	}},
	{"claim", "release", "log down", func(b *testbed) {
		// Released while the log is down: void here at once, and for all others
		// once the log is back.
		a, c := b.start("a"), b.start("c")
		b.put(a, claim(1), node.OutcomeWon)
		b.log.SetDown(true)
		a.Release("claim/t/r", record.Nonce{1})
		if _, ok := a.Lookup("claim/t/r"); ok {
			b.t.Error("a released claim is still visible to its own process")
		}
		time.Sleep(5 * time.Second)
		b.log.SetDown(false)
		b.checkAgreement(a, c)
		b.put(c, claim(2), node.OutcomeWon)
	}},
	{"claim", "append", "slow", func(b *testbed) {
		// The Put's outcome at its deadline is unknown, not void: the append
		// takes effect later.
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
		// The claim window is checked against the log's time of the append, not
		// the sender's clock.
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
		// The refusal of the second attempt does not mean that the first had no
		// effect.
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
		// The instance is killed right after its Put returned OutcomeLost: the
		// delayed copy must be released in the log by then.
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
			b.t.Errorf("outcomes %d and %d, want one won and one lost", x.Outcome, y.Outcome)
		}
	}},
}

package faultmatrix

import (
	"errors"
	"time"

	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

// billCells guard against a request that ran and is billed twice or not at all.
var billCells = []cell{
	{"bill", "append", "kill", func(b *testbed) {
		// The instance is killed while its append is under way; a peer appends
		// its copy as well.
		a, c := b.start("a"), b.start("c")
		peer := ledger.NewBuffer(ledger.BufferLimits{}, c.Put, nil)
		b.holdBill(a, peer)
		b.log.FailAppends(logtest.AppendDelayed)
		done := b.putAsync(a, b.bill())
		b.kill(a)
		<-done
		b.checkFlush(peer, 0)
		time.Sleep(2 * logtest.AppendDelay)
		b.checkBilled(1)
	}},
	{"bill", "before append", "kill", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		peer := ledger.NewBuffer(ledger.BufferLimits{}, c.Put, nil)
		b.holdBill(a, peer)
		b.kill(a)
		b.checkFlush(peer, 0)
		b.checkBilled(1)
	}},
	{"bill", "read back", "kill", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		peer := ledger.NewBuffer(ledger.BufferLimits{}, c.Put, nil)
		b.holdBill(a, peer)
		b.put(a, b.bill(), node.OutcomeWon)
		b.kill(a)
		b.checkFlush(peer, 0)
		b.checkBilled(1)
	}},
	{"bill", "append", "cut", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		peer := ledger.NewBuffer(ledger.BufferLimits{}, c.Put, nil)
		own := b.holdBill(a, peer)
		b.log.SetDisconnected("a", true)
		b.put(a, b.bill(), node.OutcomeVoid)
		b.checkFlush(own, 1)
		b.checkFlush(peer, 0)
		b.log.SetDisconnected("a", false)
		time.Sleep(5 * time.Second)
		b.checkFlush(own, 0)
		b.checkBilled(1)
	}},
	{"bill", "append", "freeze", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		peer := ledger.NewBuffer(ledger.BufferLimits{}, c.Put, nil)
		own := b.holdBill(a, peer)
		b.checkFlush(peer, 0)
		b.freeze(a, 10*time.Minute)
		time.Sleep(5 * time.Second)
		b.checkFlush(own, 0)
		b.checkBilled(1)
	}},
	{"bill", "append", "log down", func(b *testbed) {
		a, c := b.start("a"), b.start("c")
		peer := ledger.NewBuffer(ledger.BufferLimits{}, c.Put, nil)
		b.log.SetDown(true)
		own := b.holdBill(a, peer)
		b.checkFlush(own, 1)
		if _, err := own.Reserve(); !errors.Is(err, ledger.ErrBufferFull) {
			b.t.Errorf("Reserve of a full buffer: error %v, want ErrBufferFull", err)
		}
		b.log.SetDown(false)
		time.Sleep(5 * time.Second)
		b.checkFlush(own, 0)
		b.checkFlush(peer, 0)
		b.checkBilled(1)
	}},
	{"bill", "append", "slow", func(b *testbed) {
		a := b.start("a")
		own := b.holdBill(a, nil)
		b.log.SetSlow(1900 * time.Millisecond)
		b.putWithin(a, time.Second, b.bill(), node.OutcomeUnknown)
		b.checkFlush(own, 0)
		b.log.SetSlow(0)
		time.Sleep(10 * time.Second)
		b.checkBilled(1)
	}},
	{"bill", "append", "lost reply", func(b *testbed) {
		a := b.start("a")
		b.log.FailAppends(logtest.AppendReplyLost, logtest.AppendReplyLost)
		b.put(a, b.bill(), node.OutcomeWon)
		b.put(a, b.bill(), node.OutcomeWon)
		b.checkBilled(1)
	}},
	{"bill", "append", "lost before effect", func(b *testbed) {
		a := b.start("a")
		b.log.FailAppends(logtest.AppendLost)
		b.put(a, b.bill(), node.OutcomeWon)
		b.checkBilled(1)
	}},
	{"bill", "append", "second run", func(b *testbed) {
		// An idempotent request ran at two instances: only the first bill counts.
		a, c := b.start("a"), b.start("c")
		other := ledger.Bill{Team: "t", RequestID: "r", CostMicros: 9, Attempts: 2}
		r, err := other.Record()
		if err != nil {
			b.t.Fatal(err)
		}
		b.put(a, b.bill(), node.OutcomeWon)
		held := ledger.NewBuffer(ledger.BufferLimits{}, c.Put, nil)
		if err := held.AcceptCopy(r); err != nil {
			b.t.Fatal(err)
		}
		b.checkFlush(held, 0)
		b.put(c, r, node.OutcomeLost)
		b.checkBilled(1)
	}},
	{"bill", "read back", "release", func(b *testbed) {
		// A bill that counts can't be released, and so can't be billed again.
		a, c := b.start("a"), b.start("c")
		r := b.bill()
		b.put(a, r, node.OutcomeWon)
		c.Release(r.Key, r.Nonce)
		b.checkAgreement(a, c)
		other := record.Record{Key: r.Key, Nonce: record.Nonce{9}, Value: r.Value}
		b.put(c, other, node.OutcomeLost)
		b.checkBilled(1)
	}},
}

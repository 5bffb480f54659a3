package faultmatrix

import (
	"errors"
	"time"

	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

// billCells: a request that ran is billed once.
var billCells = []cell{
	{"bill", "append", "kill", func(b *bed) {
		// Killed with the append under way, with a copy at a peer: once.
		a, c := b.start("a"), b.start("c")
		peer := ledger.NewBuffer(ledger.BufferLimits{}, c.Put, nil)
		b.buffer(a, peer)
		b.log.FailAppends(logtest.AppendLate)
		done := b.going(a, b.bill())
		b.kill(a)
		<-done
		b.flush(peer, 0)
		time.Sleep(2 * logtest.LateBy)
		b.billed(1)
	}},
	{"bill", "before append", "kill", func(b *bed) {
		a, c := b.start("a"), b.start("c")
		peer := ledger.NewBuffer(ledger.BufferLimits{}, c.Put, nil)
		b.buffer(a, peer)
		b.kill(a)
		b.flush(peer, 0)
		b.billed(1)
	}},
	{"bill", "read back", "kill", func(b *bed) {
		a, c := b.start("a"), b.start("c")
		peer := ledger.NewBuffer(ledger.BufferLimits{}, c.Put, nil)
		b.buffer(a, peer)
		b.put(a, b.bill(), node.OutcomeWon)
		b.kill(a)
		b.flush(peer, 0)
		b.billed(1)
	}},
	{"bill", "append", "cut", func(b *bed) {
		a, c := b.start("a"), b.start("c")
		peer := ledger.NewBuffer(ledger.BufferLimits{}, c.Put, nil)
		own := b.buffer(a, peer)
		b.log.Cut("a", true)
		b.put(a, b.bill(), node.OutcomeVoid)
		b.flush(own, 1)
		b.flush(peer, 0)
		b.log.Cut("a", false)
		time.Sleep(5 * time.Second)
		b.flush(own, 0)
		b.billed(1)
	}},
	{"bill", "append", "freeze", func(b *bed) {
		a, c := b.start("a"), b.start("c")
		peer := ledger.NewBuffer(ledger.BufferLimits{}, c.Put, nil)
		own := b.buffer(a, peer)
		b.flush(peer, 0)
		b.freeze(a, 10*time.Minute)
		time.Sleep(5 * time.Second)
		b.flush(own, 0)
		b.billed(1)
	}},
	{"bill", "append", "log down", func(b *bed) {
		a, c := b.start("a"), b.start("c")
		peer := ledger.NewBuffer(ledger.BufferLimits{}, c.Put, nil)
		b.log.SetDown(true)
		own := b.buffer(a, peer)
		b.flush(own, 1)
		if _, err := own.Reserve(); !errors.Is(err, ledger.ErrBufferFull) {
			b.t.Errorf("a full buffer takes work: %v", err)
		}
		b.log.SetDown(false)
		time.Sleep(5 * time.Second)
		b.flush(own, 0)
		b.flush(peer, 0)
		b.billed(1)
	}},
	{"bill", "append", "slow", func(b *bed) {
		a := b.start("a")
		own := b.buffer(a, nil)
		b.log.SetSlow(1900 * time.Millisecond)
		b.putWithin(a, time.Second, b.bill(), node.OutcomeUnknown)
		b.flush(own, 0)
		b.log.SetSlow(0)
		time.Sleep(10 * time.Second)
		b.billed(1)
	}},
	{"bill", "append", "lost reply", func(b *bed) {
		a := b.start("a")
		b.log.FailAppends(logtest.AppendReplyLost, logtest.AppendReplyLost)
		b.put(a, b.bill(), node.OutcomeWon)
		b.put(a, b.bill(), node.OutcomeWon)
		b.billed(1)
	}},
	{"bill", "append", "lost before effect", func(b *bed) {
		a := b.start("a")
		b.log.FailAppends(logtest.AppendLost)
		b.put(a, b.bill(), node.OutcomeWon)
		b.billed(1)
	}},
	{"bill", "append", "second run", func(b *bed) {
		// An idempotent request that ran at two instances: one bill, the first.
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
		b.flush(held, 0)
		b.put(c, r, node.OutcomeLost)
		b.billed(1)
	}},
	{"bill", "read back", "release", func(b *bed) {
		// A bill that counts is not taken back, and so not charged anew.
		a, c := b.start("a"), b.start("c")
		r := b.bill()
		b.put(a, r, node.OutcomeWon)
		c.Release(r.Key, r.Nonce)
		b.agree(a, c)
		other := record.Record{Key: r.Key, Nonce: record.Nonce{9}, Value: r.Value}
		b.put(c, other, node.OutcomeLost)
		b.billed(1)
	}},
}

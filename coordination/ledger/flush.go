package ledger

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

const (
	// flushConcurrency is how many Puts of one flush are in flight. Concurrent
	// Puts share appends, so it sets how many bills an append carries; it leaves
	// room in the node's queue for the records of new requests.
	flushConcurrency = 256
	// flushTimeout bounds one Put of a flush.
	flushTimeout = 5 * time.Second
)

// Flush puts the held bills into the log, each with its original nonce, and
// drops those that are in the log by this Put or an earlier one. It returns how
// many are left. The first Put runs alone and none is started after a failed
// one, since a single failure is enough to see that the log is unreachable.
func (b *Buffer) Flush(ctx context.Context) (left int) {
	bills := b.Bills()
	if len(bills) == 0 {
		return 0
	}
	if b.flushOne(ctx, bills[0]) {
		b.flushAll(ctx, bills[1:])
	}
	return b.Len()
}

func (b *Buffer) flushAll(ctx context.Context, bills []record.Record) {
	var g errgroup.Group
	g.SetLimit(flushConcurrency)
	var failed atomic.Bool
	for _, bill := range bills {
		if failed.Load() {
			break
		}
		g.Go(func() error {
			if !b.flushOne(ctx, bill) {
				failed.Store(true)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// flushOne puts one bill and drops it once any bill of its request holds the
// register: this copy, the peer's copy, or an earlier attempt. Otherwise the
// bill stays held with the same nonce: putting it again is harmless, dropping
// it would lose it.
func (b *Buffer) flushOne(ctx context.Context, bill record.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	switch b.put(ctx, bill).Outcome {
	case node.OutcomeWon, node.OutcomeLost:
		b.remove(bill)
		return true
	default:
		return false
	}
}

// HandOver sends one more copy of each held bill to a peer and drops it here.
// An instance that stops while the log is unreachable calls it. It returns how
// many bills are left, which is 0 unless no peer accepts them or ctx ends.
func (b *Buffer) HandOver(ctx context.Context) (left int) {
	for _, bill := range b.Bills() {
		if ctx.Err() != nil {
			break
		}
		if b.copyToPeer(ctx, bill) == nil {
			b.remove(bill)
		}
	}
	return b.Len()
}

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
	// flushWidth is how many Puts one flush has under way: they share groups,
	// so the width sets how many bills an append carries, and leaves room in
	// the node's queue for the records of new requests.
	flushConcurrency = 256
	// flushTimeout bounds one Put of a flush.
	flushTimeout = 5 * time.Second
)

// Flush puts the held bills into the log, each with its own nonce, and drops
// those that the log has, by this Put or by an earlier one. It returns how many
// are left. The first Put goes alone, and none follows one that failed: with
// the log down, one failed try is enough.
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

// flushOne puts one bill. It is settled once any bill for the request is the
// register, by this copy, the other one, or an earlier try. Otherwise it stays
// held, with the same nonce: putting it again is harmless, dropping it is not.
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

// HandOver has a peer keep one more copy of each bill held and drops it here,
// for an instance that stops while the log takes nothing. It returns how many
// are left, which is 0 unless no peer takes them or ctx ended.
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

// Package billing makes each completed request's bill durable before its answer
// ends: in the log, or held in two places while the log is down.
package billing

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// putTimeout bounds the wait for the log before a bill is held instead. It is
// several group commits long, and short beside a caller's patience.
const putTimeout = 2 * time.Second

const (
	// recordTimeout bounds all tries for one bill. It is longer than the list
	// takes to name a peer to an instance that has just started.
	recordTimeout = 5 * time.Second
	// tryInterval is the pause between two tries.
	retryInterval = 150 * time.Millisecond
)

// Holder keeps a bill while the log is down: here and at one peer in another
// failure domain. It flushes by itself once the log is back.
type Holder interface {
	// Hold returns an error where no second copy could be had.
	Hold(ctx context.Context, r record.Record) error
}

// Biller records bills. It is safe for concurrent use.
type Biller struct {
	log    ledger.BillLog
	holder Holder
}

// New returns a biller.
func New(log ledger.BillLog, holder Holder) *Biller {
	return &Biller{log: log, holder: holder}
}

// Record returns nil once the bill is durable: in the log (the own one, or one
// for the same request before it), or held in two places. After an error the
// answer must not end as if it had been billed.
//
// Where neither can be had it tries again for a while: the request has run, and
// an answer that comes late is worth more to its caller than none.
func (b *Biller) Record(ctx context.Context, bill ledger.Bill) error {
	rec, err := bill.Record()
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	for {
		err := b.recordOnce(ctx, rec)
		if err == nil {
			return nil
		}
		if !waitRetry(ctx) {
			return trace.Wrap(err)
		}
	}
}

// try puts the bill into the log, or holds it. Holding has bounds of its own and
// is not cut off by ctx: after a pause of this process ctx may have ended without
// anything having been tried.
func (b *Biller) recordOnce(ctx context.Context, rec record.Record) error {
	if b.log.Reachable() && b.put(ctx, rec) {
		return nil
	}
	return trace.Wrap(b.holder.Hold(context.WithoutCancel(ctx), rec))
}

func (b *Biller) put(ctx context.Context, rec record.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	switch b.log.Put(ctx, rec).Outcome {
	case node.OutcomeWon, node.OutcomeLost:
		return true
	default:
		return false
	}
}

// pause waits between two tries; false once ctx has ended.
func waitRetry(ctx context.Context) bool {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

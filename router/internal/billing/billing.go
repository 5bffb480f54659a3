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

// Holder keeps a bill while the log is down: here and at one peer in another
// failure domain. It flushes by itself once the log is back.
type Holder interface {
	// Hold returns an error where no second copy could be had.
	Hold(ctx context.Context, r record.Record) error
}

// Biller records bills. It is safe for concurrent use.
type Biller struct {
	store  node.Store
	holder Holder
}

// New returns a biller. holder may be nil; then a bill needs the log.
func New(store node.Store, holder Holder) *Biller {
	return &Biller{store: store, holder: holder}
}

// Record returns nil once the bill is durable: read back from the log (the own
// one, or one for the same request before it), or held in two places. After an
// error the answer must not end as if it had been billed.
func (b *Biller) Record(ctx context.Context, bill ledger.Bill) error {
	rec, err := bill.Record()
	if err != nil {
		return trace.Wrap(err)
	}
	if b.store.Status().LogReachable || b.holder == nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), putTimeout)
		defer cancel()
		if b.put(ctx, rec) {
			return nil
		}
	}
	if b.holder == nil {
		return trace.ConnectionProblem(nil, "bill %s is not durable: the log did not take it", rec.Key)
	}
	return trace.Wrap(b.holder.Hold(context.WithoutCancel(ctx), rec))
}

func (b *Biller) put(ctx context.Context, rec record.Record) bool {
	switch b.store.Put(ctx, rec).Outcome {
	case node.OutcomeWon, node.OutcomeLost:
		return true
	default:
		return false
	}
}

// Package billing makes the bill of each request durable before its answer ends:
// in the log or, while the log is unreachable, held at two instances.
package billing

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// putTimeout bounds the wait for the log before a bill is held instead. It is as
// long as several group commits, and short compared with callers' deadlines.
const putTimeout = 2 * time.Second

const (
	// recordTimeout bounds the tries to record one bill: no retry begins after it.
	// An instance that has just started cannot hold bills until it has read a list
	// that names a peer; recordTimeout is longer than that takes.
	recordTimeout = 5 * time.Second
	// retryInterval is the pause between two tries.
	retryInterval = 150 * time.Millisecond
)

// Holder holds bills while the log is unreachable, here and at one peer, in
// another failure domain if one there accepts the copy. It writes them to the log
// once that is reachable again.
type Holder interface {
	// Hold returns nil once both copies are held. It fails if no peer accepts the
	// second copy or if there is no room for the bill here.
	Hold(ctx context.Context, r record.Record) error
}

// Biller records bills. It is safe for concurrent use.
type Biller struct {
	log    ledger.BillLog
	holder Holder
}

// New returns a Biller that writes to log and holds bills in holder.
func New(log ledger.BillLog, holder Holder) *Biller {
	return &Biller{log: log, holder: holder}
}

// Record returns nil once the bill is durable: it, or an earlier bill for the same
// request, is in the log, or it is held at two instances. After an error the
// answer must not end as if it had been billed.
//
// If a bill can be neither written nor held, Record retries up to recordTimeout:
// the request has run, and a late answer is worth more to its caller than none.
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

// recordOnce writes the bill to the log or else holds it. Holding has its own
// timeouts and ignores the end of ctx: after a pause of this process, ctx may have
// ended before anything was tried.
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

// waitRetry waits for retryInterval. It returns false if ctx ends first.
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

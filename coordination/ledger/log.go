package ledger

import (
	"context"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// BillLog appends bills. Writer uses a log of its own, StoreLog the log that
// holds all other records. Implementations are safe for concurrent use.
type BillLog interface {
	// Put appends a bill and returns the outcome; it can be used as a PutFunc.
	Put(ctx context.Context, r record.Record) node.Result
	// Reachable reports whether the log is expected to take a bill now. If it is
	// false, the caller holds the bill instead of waiting for a Put.
	Reachable() bool
}

// StoreLog puts bills into the log that Store reads and folds.
type StoreLog struct{ Store node.Store }

// Put implements BillLog.
func (l StoreLog) Put(ctx context.Context, r record.Record) node.Result { return l.Store.Put(ctx, r) }

// Reachable implements BillLog.
func (l StoreLog) Reachable() bool { return l.Store.Status().LogReachable }

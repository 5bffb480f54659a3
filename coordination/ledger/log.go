package ledger

import (
	"context"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// Log takes bills. Writer is one with a stream of its own, StoreLog one that
// shares the log of all other records. Implementations are safe for concurrent
// use.
type BillLog interface {
	// Put is a PutFunc.
	Put(ctx context.Context, r record.Record) node.Result
	// Reachable says whether it is worth a wait to put a bill now.
	Reachable() bool
}

// StoreLog puts bills into the log that the store tails.
type StoreLog struct{ Store node.Store }

// Put implements Log.
func (l StoreLog) Put(ctx context.Context, r record.Record) node.Result { return l.Store.Put(ctx, r) }

// Reachable implements Log.
func (l StoreLog) Reachable() bool { return l.Store.Status().LogReachable }

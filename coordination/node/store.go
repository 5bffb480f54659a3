// Package node drives the fold: it tails the log, answers reads of the folded
// state, appends records in groups, and tells each proposer whether it won.
//
// Why it is safe. A Put answers OutcomeWon only after the fold has read its
// nonce back as the winner in the log's order, so two processes never both hear
// it of one key. It answers OutcomeVoid only if the record was never handed to
// the log, the log said that it had no effect, the fold found that it can't
// win, or this process has given its nonce up. Anything else is
// OutcomeUnknown. A lost reply is settled by the tail: if the record is not read
// back by the time the tail has passed a later head, it is sent again under the
// same nonce, and two copies count once. Where one copy was read back as a loser
// and another may still come, the caller hears of it only after the nonce is dead
// in the log.
package node

import (
	"context"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

// Outcome of a proposal, as a value.
type Outcome uint8

const (
	// OutcomeWon: read back from the log as the winner.
	OutcomeWon Outcome = iota + 1
	// OutcomeLost: another proposal holds the key; Result.Register is it.
	OutcomeLost
	// OutcomeVoid: this proposal never took effect and never will.
	OutcomeVoid
	// OutcomeUnknown: it may still take effect; only Release settles it.
	OutcomeUnknown
)

// Result of a Put.
type Result struct {
	Outcome  Outcome
	Register fold.Register
}

// Status is what an instance reports about its place in the log.
type Status struct {
	NextOffset   uint64    `json:"next"`
	Head         uint64    `json:"head"`
	Generation   uint64    `json:"generation"`
	Hash         uint64    `json:"hash"`
	LastHeadRead time.Time `json:"last_head_read"`
	LogReachable bool      `json:"log_reachable"`
}

// Store is what the router needs of the coordination layer. *Node is the one
// implementation; tests of other packages use small fakes. Safe for concurrent
// use.
type Store interface {
	// Put appends r in the next group and returns once the own nonce was read
	// back, or ctx ended (OutcomeUnknown), or the log refused it (OutcomeVoid).
	Put(ctx context.Context, r record.Record) Result
	// Release voids an earlier Put of the same key and nonce for good. It
	// returns at once: locally the proposal counts as dead from then on, and
	// the record is appended when the log takes it.
	Release(key record.Key, nonce record.Nonce)
	// Lookup reads the folded register of key.
	Lookup(key record.Key) (fold.Register, bool)
	// Watch calls f for each change of the class, in log order, from one
	// goroutine; f must not block. It returns a function that ends the watch.
	Watch(class record.Class, f func(fold.Change)) (stop func())
	// Digest and Status describe the state folded so far.
	Digest() fold.Digest
	Status() Status
	// Snapshot and Restore move state between instances while the log is down.
	// Restore refuses a snapshot that is malformed or not ahead of the own
	// state, and changes nothing then.
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

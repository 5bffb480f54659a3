// Package node drives the fold: it tails the log, serves reads of the folded
// state, appends records in groups, and reports to each proposer whether it won.
//
// # Safety
//
// A Put returns OutcomeWon only after the fold has read its nonce back as the
// winner in the log's order, so it is never returned to two processes for one
// key. It returns OutcomeLost only after the fold has read the nonce back as a
// loser. It returns OutcomeVoid only if the record was never handed to the log,
// the log reported that the append had no effect, the fold found that the Put
// can't win, or this process has released its nonce. Anything else is
// OutcomeUnknown.
//
// A lost reply is resolved by the tail: if the record is not read back by the
// time the tail has passed a later head, it is sent again with the same nonce,
// and two copies count once. If one copy was read back as a loser and another may
// still arrive, the caller gets the outcome only after the nonce was released in
// the log.
package node

import (
	"context"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

// Outcome is the outcome of a proposal.
type Outcome uint8

const (
	// OutcomeWon means that the record was read back from the log as the winner.
	OutcomeWon Outcome = iota + 1
	// OutcomeLost means that another proposal holds the key or, for a manifest,
	// that one of the same or a later generation is in force. Result.Register has
	// the winner.
	OutcomeLost
	// OutcomeVoid means that the proposal did not and will not take effect.
	OutcomeVoid
	// OutcomeUnknown means that the proposal may still take effect; only
	// Release settles it.
	OutcomeUnknown
)

// Result is the result of a Put. With OutcomeWon and OutcomeLost, Register is the
// winner.
type Result struct {
	Outcome  Outcome
	Register fold.Register
}

// Status describes the position of an instance in the log: the offset of the next
// entry to fold, the highest head seen (the offset of the next append), the
// generation and hash of the folded state, when the last successful read of the
// log was sent, and whether the latest read succeeded.
type Status struct {
	NextOffset   uint64    `json:"next"`
	Head         uint64    `json:"head"`
	Generation   uint64    `json:"generation"`
	Hash         uint64    `json:"hash"`
	LastHeadRead time.Time `json:"last_head_read"`
	LogReachable bool      `json:"log_reachable"`
}

// Store is the interface of the coordination layer that the router uses. *Node
// implements it; tests of other packages use small fakes. Safe for concurrent
// use.
type Store interface {
	// Put appends r in the next group. It returns once r's nonce was read back,
	// ctx ended (OutcomeUnknown, or OutcomeVoid if r was not handed to the log
	// yet), or the log refused the append (OutcomeVoid).
	Put(ctx context.Context, r record.Record) Result
	// Release permanently voids an earlier Put with the same key and nonce. It
	// returns at once: the proposal is void locally from then on, and the
	// Release is appended when the log accepts it.
	Release(key record.Key, nonce record.Nonce)
	// Lookup returns the folded register of key, or false if there is none.
	Lookup(key record.Key) (fold.Register, bool)
	// Watch calls f for each change of the class, in log order and one call at
	// a time; f must not block. It returns a function that ends the watch.
	Watch(class record.Class, f func(fold.Change)) (stop func())
	// Digest and Status describe the state folded so far.
	Digest() fold.Digest
	Status() Status
	// Snapshot and Restore transfer state between instances while the log is
	// down. Restore refuses a snapshot that is malformed or not ahead of the
	// instance's own state, and then changes nothing.
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

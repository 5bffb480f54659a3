// Package fold computes shared state from the log: first-writer-wins
// registers, the same at every reader that has folded the same prefix.
//
// It is a pure state machine: no I/O, no clock, no goroutine. Time is only
// what the entries bring.
//
// Why it is safe: every rule looks at nothing but the entries before it, so two
// readers of the same prefix hold the same state, whenever and however often
// they read it. A key has one winner, since the first live Put takes it and
// later ones find it taken. A released nonce never wins, since a tombstone
// stands for it longer than the log can still bring it. A claim is never won
// twice, since its register outlives the window in which the key may be
// claimed. A manifest is never taken back, since it wins only as the child of
// the manifest in force and a Release does not reach it.
package fold

import (
	"time"

	"masticplank.example/coordination/record"
)

// Register is the winner for one key.
type Register struct {
	Key    record.Key
	Nonce  record.Nonce
	Value  []byte
	Writer string
	// Offset is where the winning Put stands in the log. It grows with every
	// later winner of any key, so it serves as a fencing number.
	Offset uint64
	// At is the log's time of the winning Put; Expires is zero for never.
	LogTime time.Time
	Expires time.Time
}

// Verdict says what the fold made of one record.
type Verdict uint8

const (
	// VerdictWon: the Put is its key's register now.
	VerdictWon Verdict = iota + 1
	// VerdictLost: another Put of that key came first and is live.
	VerdictLost
	// VerdictVoid: the Put can never win (released before, key outside its
	// time window, or refused by the class's check).
	VerdictVoid
	// VerdictReleased: a Release took effect or left a tombstone.
	VerdictReleased
	// VerdictCheckpoint: a checkpoint was read. It changes nothing at a reader
	// that has folded all records before it.
	VerdictCheckpoint
	// VerdictDuplicate: the winning Put was read again; nothing changed.
	VerdictDuplicate
)

// Change reports one record's effect, in log order.
type Change struct {
	Verdict Verdict
	Record  record.Record
	// Register is the key's register after the record; for VerdictLost it is
	// the winner. Zero where the key has none.
	Register Register
}

// Digest summarises a state for comparison between peers.
type Digest struct {
	// Next is the offset that will be folded next.
	NextOffset uint64
	// Generation is the number of the manifest in force.
	Generation uint64
	// Hash covers the live registers; equal Next and unlike Hash is a broken
	// invariant.
	Hash uint64
}

// Config sets the fold's bounds. All instances must use the same values.
type Config struct {
	// ClaimWindow is how far the log's time may be past a claim's KeyTime.
	// Default 12 h (half of a day's retention).
	ClaimWindow time.Duration
	// ClockSkew is how far a claim's KeyTime may be ahead of the log's time,
	// and the bound on a jump of stamped time. Default 30 s.
	ClockSkew time.Duration
	// Retention is how long the log keeps records. Default 24 h.
	Retention time.Duration
	// BillLife is how long a bill's register is kept in memory. Default 10 min,
	// at most the Retention: long enough that the retries of a bill, and the
	// copies that peers held, meet it. Whoever reads the ledger keeps them for
	// the Retention, so a doubled bill is void there however late it comes.
	BillLifetime time.Duration
}

// DefaultConfig returns the defaults given at Config's fields.
func DefaultConfig() Config {
	return Config{
		ClaimWindow:  12 * time.Hour,
		ClockSkew:    30 * time.Second,
		Retention:    24 * time.Hour,
		BillLifetime: 10 * time.Minute,
	}
}

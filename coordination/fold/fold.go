// Package fold computes first-writer-wins registers from the records of a
// shared log. Every reader that has folded the same prefix of the log holds the
// same registers.
//
// It is a pure state machine: no I/O, no clock, no goroutines. The only times
// that it knows are those of the log's entries.
//
// Why it is safe: each rule depends on nothing but the entries so far, so two
// readers of the same prefix hold the same state, whenever and however often
// they read it. A key has one winner, since the first live Put takes the key
// and later ones find it taken. A released nonce never wins, since its
// tombstone lasts for as long as the log can still deliver the Put. A claim is
// never won twice, since its register outlives the window in which the key may
// be claimed. A manifest is never reverted, since it wins only as the child of
// the manifest in force and a Release has no effect on it.
package fold

import (
	"time"

	"masticplank.example/coordination/record"
)

// Register is the winning Put of one key.
type Register struct {
	Key    record.Key
	Nonce  record.Nonce
	Value  []byte
	Writer string
	// Offset is the log offset of the entry with the winning Put. Every later
	// winner of any key has a greater one, or the same within one batch, so it
	// serves as a fencing number.
	Offset uint64
	// LogTime is the log's time at the winning Put. Expires is zero if the
	// register does not expire.
	LogTime time.Time
	Expires time.Time
}

// Verdict is the fold's decision on the effect of one record.
type Verdict uint8

const (
	// VerdictWon means that the Put is its key's register now.
	VerdictWon Verdict = iota + 1
	// VerdictLost means that another Put of the key came first and is live, or
	// that a manifest of the same or a later generation is in force.
	VerdictLost
	// VerdictVoid means that the record has no effect: a Put that can never win
	// (released before, outside the time window of its key, or rejected by its
	// class's rules or validator), or the Release of a manifest or bill that has
	// won.
	VerdictVoid
	// VerdictReleased means that a Release left a tombstone, and removed the
	// register that the released Put held, if any.
	VerdictReleased
	// VerdictCheckpoint means that the record is a checkpoint. It changes nothing
	// at a reader that has folded all records before it.
	VerdictCheckpoint
	// VerdictDuplicate means that the winning Put was read again; nothing changed.
	VerdictDuplicate
)

// Change is the effect of one record. Changes are reported in log order.
type Change struct {
	Verdict Verdict
	Record  record.Record
	// Register is the key's register after the record. For VerdictLost it is the
	// winner. Zero if the key has none, and for every void Put.
	Register Register
}

// Digest summarises a state for comparison between peers.
type Digest struct {
	// NextOffset is the offset of the entry to be folded next.
	NextOffset uint64
	// Generation is the generation of the manifest in force, 0 if there is none.
	Generation uint64
	// Hash covers the key, the nonce and the offset of all registers held, not
	// their values and times, nor tombstones. Two states with the same NextOffset
	// and different hashes violate the fold's invariant.
	Hash uint64
}

// Config sets the time bounds of the fold. All instances must use the same
// values.
type Config struct {
	// ClaimWindow is how far the log's time may be past a claim's KeyTime. Default
	// 12 h (half of a day's retention).
	ClaimWindow time.Duration
	// ClockSkew is how far a claim's KeyTime may be ahead of the log's time, and
	// how far a single writer's time may move the log's time forward. The default
	// is 30 s.
	ClockSkew time.Duration
	// Retention is how long the log keeps entries. Default 24 h.
	Retention time.Duration
	// BillLifetime is how long a bill's register is kept in memory, at most
	// Retention. Default 10 min, which is long enough for the retries of a bill
	// and the copies at peers to find the register taken. A reader of the ledger
	// keeps bills for the whole Retention, so later duplicates are void there.
	BillLifetime time.Duration
}

// DefaultConfig returns the defaults documented at the fields of Config.
func DefaultConfig() Config {
	return Config{
		ClaimWindow:  12 * time.Hour,
		ClockSkew:    30 * time.Second,
		Retention:    24 * time.Hour,
		BillLifetime: 10 * time.Minute,
	}
}

// Package record defines the records that instances append to the platform's
// log, and their codec.
package record

import "time"

// Kind says what a Record does to its register.
type Kind uint8

const (
	// KindPut proposes Value for Key; the first live Put in log order wins.
	KindPut Kind = iota + 1
	// KindRelease voids the Put with the same Key and Nonce, wherever in the
	// log that Put appears, also if it appears later.
	KindRelease
	// KindCheckpoint carries an encoded fold snapshot in Value. Its Nonce is
	// the writer's; Key is empty.
	KindCheckpoint
)

// Key names a register: a class, a slash, and the rest ("bill/team/request").
type Key string

// Class is the part of a key before its first slash. It selects the rules of
// the fold (how long a register is kept, whether a key has a time of its own).
type Class string

// The classes of register that masticplank uses.
const (
	ClassManifest   Class = "manifest"
	ClassClaim      Class = "claim"
	ClassBill       Class = "bill"
	ClassSession    Class = "session"
	ClassQuarantine Class = "quarantine"
	ClassLease      Class = "lease"
)

// Nonce identifies one proposal. A retry of the same append carries the same
// nonce, which makes records idempotent.
type Nonce [16]byte

// Record is one entry of a batch. The zero value is not valid.
type Record struct {
	Kind  Kind
	Key   Key
	Nonce Nonce
	// Value is opaque to the fold, at most MaxValue bytes.
	Value []byte
	// Lifetime is how long the register lives, counted from the append time of
	// the winning Put. Zero means that it does not expire.
	Lifetime time.Duration
	// KeyTime is the time that the key itself carries (the time of a UUIDv7
	// for a claim); zero where the class has none.
	KeyTime time.Time
}

// Batch is what one append to the log carries.
type Batch struct {
	// Writer is the instance that appended it.
	Writer string
	// Stamped is the writer's clock at the append. The fold uses it only where
	// the log gives no time of its own.
	WriterTime time.Time
	Records    []Record
}

// Limits of the codec; a batch beyond them is refused by Encode and Decode.
const (
	// MaxKey is the longest key in bytes.
	MaxKeyBytes = 512
	// MaxValue is the longest value in bytes. A manifest is the largest.
	MaxValueBytes = 4 << 20
	// MaxRecords is the most records in one batch.
	MaxRecords = 10_000
)

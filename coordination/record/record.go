// Package record defines the records that instances append to the platform's
// shared log, and their encoding.
package record

import "time"

// Kind is the effect that a Record has on its register.
type Kind uint8

const (
	// KindPut proposes Value for Key. The first Put in log order that the fold's
	// rules accept wins and holds the key until it expires or is released.
	KindPut Kind = iota + 1
	// KindRelease voids the Put with the same Key and Nonce, wherever in the
	// log that Put stands, before or after the Release. It has no effect on a
	// manifest or bill that has won.
	KindRelease
	// KindCheckpoint carries one part of an encoded fold snapshot in Value. All
	// parts of one checkpoint share a Nonce; Key is empty.
	KindCheckpoint
)

// Key names a register: a class, a slash and an identifier that is unique in
// the class ("bill/team/request").
type Key string

// Class is the part of a key before its first slash. It selects the rules that
// the fold applies: how long a register is kept, and whether a Put must carry a
// KeyTime.
type Class string

// The register classes that masticplank uses.
const (
	// ClassManifest is for the configuration that an operator publishes, one
	// register for each generation.
	ClassManifest Class = "manifest"
	// ClassClaim is for the right to run the request with an Idempotency-Key.
	ClassClaim Class = "claim"
	// ClassBill is for the cost of a completed request; see package ledger.
	ClassBill Class = "bill"
	// ClassSession is for the model versions that a named session is pinned to.
	ClassSession Class = "session"
	// ClassQuarantine is for the fingerprints of requests that crash backend
	// servers.
	ClassQuarantine Class = "quarantine"
	// ClassLease is for the terms of leases; see package lease.
	ClassLease Class = "lease"
)

// Nonce identifies one proposal for a register. Retries of an append carry the
// same nonce, which makes records idempotent.
type Nonce [16]byte

// Record is one element of a batch. The zero value is not valid.
type Record struct {
	Kind  Kind
	Key   Key
	Nonce Nonce
	// Value is opaque to the fold and at most MaxValueBytes long.
	Value []byte
	// Lifetime is how long the register lives, counted from the log time of the
	// winning Put. Zero means that it does not expire. Classes with a fixed
	// lifetime (manifest, claim, bill) ignore it.
	Lifetime time.Duration
	// KeyTime is the time encoded in the key (for a claim, the timestamp of its
	// UUIDv7). Zero for classes whose keys carry no time.
	KeyTime time.Time
}

// Batch is the content of one log entry.
type Batch struct {
	// Writer is the name of the instance that appended the batch.
	Writer string
	// WriterTime is the writer's wall clock at the append. The fold uses it only
	// if the log does not timestamp its entries.
	WriterTime time.Time
	Records    []Record
}

// Limits of the codec. Encode and Decode reject a batch that exceeds one.
const (
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 512
	// MaxValueBytes is the maximum length of a value. Manifests are the largest
	// values.
	MaxValueBytes = 4 << 20
	// MaxRecords is the maximum number of records in one batch.
	MaxRecords = 10_000
)

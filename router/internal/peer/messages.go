package peer

import (
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/freshness"
	"masticplank.example/coordination/node"
)

// The methods. Their names are part of the protocol between instances, which
// may run different versions of the program.
const (
	MethodDigest   = "state.digest"
	MethodFetch    = "state.fetch"
	MethodVouch    = "fresh.vouch"
	MethodManifest = "manifest.push"
	MethodHealth   = "health.share"
	MethodHold     = "bill.hold"
)

// State is an instance's summary of its own state. The keys are short because
// three of these are sent in every interval.
type State struct {
	// From is the sending instance.
	From string `json:"from"`
	// NextOffset, Generation and Hash are the sender's fold.Digest.
	NextOffset uint64 `json:"next"`
	Generation uint64 `json:"gen"`
	Hash       uint64 `json:"hash"`
	// HealthHash is the hash of the sender's health items.
	HealthHash uint64 `json:"board"`
}

func (s State) digest() fold.Digest {
	return fold.Digest{NextOffset: s.NextOffset, Generation: s.Generation, Hash: s.Hash}
}

// StatusReport is an instance's answer to state.digest and fresh.vouch: its
// state and what it knows of the log's head.
//
// Only answers report the log's head. The requester adds the duration of its
// whole call to the age, so that a delayed answer can only look too old. In an
// unsolicited message the delay could not be bounded.
type StatusReport struct {
	State
	// Head is the highest head of the log that the sender knows of.
	Head uint64 `json:"head"`
	// HeadAgeMS is the time since the sender last read the head of the log
	// itself, in ms, rounded up.
	HeadAgeMS int64 `json:"age"`
	// LogReachable is true if the sender's last read of the log succeeded.
	LogReachable bool `json:"log"`
}

// maxAge bounds the stated age of a head; it is also stated if the log was
// never read.
const maxAge = 24 * time.Hour

// newStatusReport builds a report from a store's status.
func newStatusReport(state State, st node.Status, now time.Time) StatusReport {
	age := maxAge
	if !st.LastHeadRead.IsZero() {
		age = min(max(now.Sub(st.LastHeadRead), 0), maxAge)
	}
	ageMS := (age + time.Millisecond - 1).Milliseconds()
	return StatusReport{State: state, Head: st.Head, HeadAgeMS: ageMS, LogReachable: st.LogReachable}
}

// vouch converts the report for the freshness tracker; callDuration is the
// duration of the whole call.
func (r StatusReport) vouch(callDuration time.Duration) freshness.Vouch {
	age := time.Duration(min(max(r.HeadAgeMS, 0), maxAge.Milliseconds())) * time.Millisecond
	return freshness.Vouch{
		Peer:         r.From,
		Head:         r.Head,
		HeadAge:      age + max(callDuration, 0),
		LogReachable: r.LogReachable,
	}
}

// DigestParams are the parameters of state.digest; the answer is a
// StatusReport.
type DigestParams struct{ State }

// VouchParams are the parameters of fresh.vouch; the answer is a StatusReport.
type VouchParams struct {
	From string `json:"from"`
}

// FetchParams request one piece of a snapshot.
type FetchParams struct {
	From string `json:"from"`
	// After is the requester's own next offset: a snapshot that is not ahead of it
	// is of no use.
	After uint64 `json:"after"`
	// Snapshot identifies the snapshot by its next offset; 0 with the first
	// piece.
	Snapshot uint64 `json:"snapshot"`
	// Offset of the piece in the snapshot, in bytes.
	Offset int64 `json:"offset"`
}

// FetchResult is one piece, at most maxPieceBytes long.
type FetchResult struct {
	// Snapshot is the snapshot's next offset.
	Snapshot uint64 `json:"snapshot"`
	// Total is the snapshot's size in bytes.
	Total int64 `json:"total"`
	// Data is the piece.
	Data []byte `json:"data"`
}

// ManifestParams announce that a generation is in the log. It is only a hint to
// query the peers at once: state changes only by the log, or by a peer's
// snapshot of it.
type ManifestParams struct {
	From       string `json:"from"`
	Generation uint64 `json:"gen"`
}

// HealthParams carry health items; the answer is a HealthResult.
type HealthParams struct {
	From  string       `json:"from"`
	Items []HealthItem `json:"items"`
	// WantItems requests the receiver's items in return.
	WantItems bool `json:"want,omitempty"`
}

// HealthResult returns the requested items.
type HealthResult struct {
	Items []HealthItem `json:"items,omitempty"`
}

// HoldParams carry one bill as an encoded record.Batch.
type HoldParams struct {
	From  string `json:"from"`
	Batch []byte `json:"batch"`
}

// Empty is the answer of methods that return nothing.
type Empty struct{}

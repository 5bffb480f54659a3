package peer

import (
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/freshness"
	"masticplank.example/coordination/node"
)

// The methods. Names are stable between versions of the program.
const (
	MethodDigest   = "state.digest"
	MethodFetch    = "state.fetch"
	MethodVouch    = "fresh.vouch"
	MethodManifest = "manifest.push"
	MethodHealth   = "health.share"
	MethodHold     = "bill.hold"
)

// State is what an instance says of itself. The keys are short because three
// of these go out in every interval.
type State struct {
	// From is the instance that speaks.
	From string `json:"from"`
	// Next, Generation and Hash are its fold.Digest.
	NextOffset uint64 `json:"next"`
	Generation uint64 `json:"gen"`
	Hash       uint64 `json:"hash"`
	// Board is the hash of what it knows about health.
	HealthHash uint64 `json:"board"`
}

func (s State) digest() fold.Digest {
	return fold.Digest{NextOffset: s.NextOffset, Generation: s.Generation, Hash: s.Hash}
}

// Word is an instance's answer to state.digest and fresh.vouch: its state, and
// its word on the log's head.
//
// Only answers carry a word on the head. The asker adds the whole time of its
// call to the age, so a word that was held up on its way only looks older; in
// a message that comes unasked, that time could not be bounded.
type StatusReport struct {
	State
	// Head is the log's head that it knows of.
	Head uint64 `json:"head"`
	// AgeMS is how long ago it read that head itself, in ms, rounded up.
	HeadAgeMS int64 `json:"age"`
	// Reachable says that its own last read of the log succeeded.
	LogReachable bool `json:"log"`
}

// maxAge stands for "never", and bounds what a peer may claim.
const maxAge = 24 * time.Hour

// wordOf turns a store's status into a word.
func newStatusReport(state State, st node.Status, now time.Time) StatusReport {
	age := maxAge
	if !st.LastHeadRead.IsZero() {
		age = min(max(now.Sub(st.LastHeadRead), 0), maxAge)
	}
	ageMS := (age + time.Millisecond - 1).Milliseconds()
	return StatusReport{State: state, Head: st.Head, HeadAgeMS: ageMS, LogReachable: st.LogReachable}
}

// vouch is the word as the freshness tracker takes it; took is the time of the
// whole call.
func (r StatusReport) vouch(callDuration time.Duration) freshness.Vouch {
	age := time.Duration(min(max(r.HeadAgeMS, 0), maxAge.Milliseconds())) * time.Millisecond
	return freshness.Vouch{
		Peer:         r.From,
		Head:         r.Head,
		HeadAge:      age + max(callDuration, 0),
		LogReachable: r.LogReachable,
	}
}

// DigestParams open state.digest; the answer is a Word.
type DigestParams struct{ State }

// VouchParams open fresh.vouch; the answer is a Word.
type VouchParams struct {
	From string `json:"from"`
}

// FetchParams ask for one piece of a snapshot.
type FetchParams struct {
	From string `json:"from"`
	// After is the asker's own Next: it has no use for a snapshot that is not
	// ahead of it.
	After uint64 `json:"after"`
	// Snapshot names the snapshot by its Next; 0 with the first piece.
	Snapshot uint64 `json:"snapshot"`
	// Offset of the piece in bytes.
	Offset int64 `json:"offset"`
}

// FetchResult is one piece, at most pieceBytes long.
type FetchResult struct {
	Snapshot uint64 `json:"snapshot"`
	Total    int64  `json:"total"`
	Data     []byte `json:"data"`
}

// ManifestParams say that a generation is in the log. It is only a hint to ask
// the peers at once: what changes state is the log, or a peer's snapshot of it.
type ManifestParams struct {
	From       string `json:"from"`
	Generation uint64 `json:"gen"`
}

// HealthParams carry health items; the answer is HealthResult.
type HealthParams struct {
	From  string       `json:"from"`
	Items []HealthItem `json:"items"`
	// Want asks for the items of the answering instance in return.
	WantItems bool `json:"want,omitempty"`
}

// HealthResult returns the items wanted.
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

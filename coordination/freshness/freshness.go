// Package freshness decides when an instance may trust the state it has
// folded. It is a pure state machine: the caller reports what it saw and when.
package freshness

import "time"

// Mode is what the instance may do now.
type Mode uint8

const (
	// ModeStale: refuse new work as not run and fail readiness.
	ModeStale Mode = iota
	// ModeFresh: everything is allowed.
	ModeFresh
	// ModeOutage: the log is down for everybody; idempotent work goes on with
	// the last manifest, non-idempotent work is refused as not run.
	ModeOutage
)

// DefaultBound is how old a confirmation may be (F in docs/DESIGN.md). It is
// the longest time that a withdrawn version can still get work at an instance
// which was cut off, and several times the log's long poll, so that one slow
// poll does not make a healthy instance stale.
const DefaultBound = 5 * time.Second

// Config of a Tracker.
type Config struct {
	// Bound is F; see DefaultBound.
	Bound time.Duration
}

// Vouch is a peer's word: its state, and whether it reached the log itself.
type Vouch struct {
	Peer string
	// Head is the log's head that the peer knows of.
	Head uint64
	// HeadAge is how long ago the peer itself read that head from the log.
	HeadAge time.Duration
	// LogReachable is false when the peer's own reads fail.
	LogReachable bool
}

// Package freshness decides when an instance may trust the state it has
// folded. It is a pure state machine: the caller reports what it saw and when.
//
// Why it is safe. A confirmation is a head of the log, the time at which that
// head was read (never later than the truth: the time at which the read or the
// question to a peer was sent), and the fact that everything before it is
// folded here. An instance is fresh while its youngest confirmation is at most
// F old, so whatever was accepted more than F ago is in force here. A pause is
// seen as a gap between ticks, and nothing from before it counts after it.
//
// In an outage nothing can be accepted through the log, so the last state stays
// right however old it is. That it is an outage and not the own connection is
// believed only if a majority of the live list, oneself included, says within F
// that it can't reach the log, nobody who answered says that it can, and
// nobody who answered knows of a later record than the own state. What this
// does not rule out: an instance outside the answering majority that was the
// only one to read a last record before the log went down.
//
// A list of one makes that one the majority: a single instance whose log is
// down goes into outage mode, since there is nobody else through whom a
// manifest could have been accepted. Without a
// list, or with an empty one, there is no majority.
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
	// Self is the own name in the live list; it counts once, listed or not.
	Self string
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

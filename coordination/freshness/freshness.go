// Package freshness decides whether an instance may rely on the state that it
// has folded. It is a pure state machine: the caller reports events and their
// times.
//
// Why it is safe: a confirmation is a head of the log up to which this instance
// has folded everything, and the time at which that head was read. That time is
// never later than the actual one: it is when the read was sent or, for a head
// that a peer reports, when the peer was asked, minus the age of the head. An
// instance is fresh while its newest confirmation is no older than the bound, so
// every record accepted longer ago than the bound is in force here. A pause of
// the process shows as a gap between ticks; nothing from before a pause counts
// after it.
//
// In an outage of the log nothing can be accepted through it, so the last state
// stays valid however old it is. An outage, rather than a broken connection of
// this instance, is assumed only if a majority of the live instances, including
// this one, reports within the bound that it cannot reach the log, no report
// says that the log is reachable, and no report names a later record than those
// folded here. One case is not covered: an instance outside the reporting
// majority may have been the only one to read a last record before the log went
// down.
//
// With a single instance in the list, that instance is the majority: it enters
// outage mode when the log is down, since no other instance exists through
// which a manifest could have been accepted. Without a list, or with an empty
// one, there is no majority.
package freshness

import "time"

// Mode is what the instance may do now.
type Mode uint8

const (
	// ModeStale means that readiness fails and that new work must be refused, with
	// the statement that it was not run.
	ModeStale Mode = iota
	// ModeFresh means that everything is allowed.
	ModeFresh
	// ModeOutage means that the log is down for all instances. Idempotent work
	// goes on with the last manifest; other work is refused as in ModeStale.
	ModeOutage
)

// DefaultBound is the maximum age of a confirmation (F in docs/DESIGN.md). It
// is the longest time that a withdrawn version can still get work at a
// disconnected instance, and several times the log's long poll, so that one
// slow poll does not make a healthy instance stale.
const DefaultBound = 5 * time.Second

// Config configures a Tracker.
type Config struct {
	// Self is this instance's name in the list of live instances. This instance
	// counts once, listed or not.
	Self string
	// Bound is the maximum age of a confirmation. 0 means DefaultBound.
	Bound time.Duration
}

// Vouch is a peer's report on the log: the head that it knows, and whether it
// can reach the log itself.
type Vouch struct {
	Peer string
	// Head is the highest head of the log that the peer knows.
	Head uint64
	// HeadAge is how long ago the peer read that head from the log.
	HeadAge time.Duration
	// LogReachable is false while the peer's own reads fail.
	LogReachable bool
}

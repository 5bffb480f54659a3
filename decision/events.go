package decision

import "time"

// Event is an input of a tick. The types in this file are the only
// implementations.
type Event interface{ event() }

// ManifestApplied replaces teams and versions with those of a newer generation.
type ManifestApplied struct {
	Generation uint64
	Teams      []Team
	Versions   []Version
}

// ServersListed replaces the table of backend servers with the platform's list. The
// list lags: a server that was reported as leaving stays so until the list has
// dropped it.
type ServersListed struct{ Servers []Server }

// ServerLeaving reports, ahead of the list, that a backend server is leaving: from
// the server's own response, its load report or a peer.
type ServerLeaving struct{ Server ServerID }

// LoadReported is the load that a backend server reports; it lags.
type LoadReported struct {
	Server ServerID
	// Running and Queued count the requests of all instances at the server.
	Running int
	Queued  int
	// At is when the server measured the load.
	At time.Time
}

// CacheChanged is a backend server's report of changes in its prefix cache. Events
// are late and may be lost: a Seq that is not the previous one plus 1 shows a gap.
type CacheChanged struct {
	Server  ServerID
	Seq     uint64
	Added   []BlockHash
	Removed []BlockHash
}

// RequestArrived is the arrival of a request. Exactly one of Refuse, Fail and
// Deliver ends it eventually, unless RequestCancelled comes first.
type RequestArrived struct{ Request Request }

// SessionOpening asks which versions a new session gets; it is answered by
// PinSession in the same tick.
type SessionOpening struct {
	Session SessionID
	Team    TeamID
	// RolloutPosition is the session's position in roll-outs, in [0, 1).
	RolloutPosition float64
}

// RequestCancelled reports that the caller has disconnected or cancelled.
type RequestCancelled struct{ Request RequestID }

// FirstToken reports the first byte of an answer.
type FirstToken struct {
	Request RequestID
	Attempt AttemptID
}

// AttemptEnded reports the end of a dispatched attempt.
type AttemptEnded struct {
	Request RequestID
	Attempt AttemptID
	Result  AttemptResult
	// Tokens is the number of generated tokens, for the actual cost.
	Tokens int
	// ResponseStarted is true if a part of the answer has been sent to the caller,
	// so that no other attempt may follow.
	ResponseStarted bool
	// Leaving is true if the backend server refused because it is leaving.
	Leaving bool
}

// AnswerRated is the rating of one attempt's answer. Late is true if none arrived
// within the rating timeout; Score is then meaningless.
type AnswerRated struct {
	Request RequestID
	Attempt AttemptID
	Team    TeamID
	Class   TaskClass
	Version VersionID
	Score   float64
	Late    bool
}

// VersionVerdict is a verdict on a version. As an event it is a peer's verdict, and
// in ShareVerdict this instance's own.
type VersionVerdict struct {
	Version VersionID
	Bad     bool
	// Until is when the verdict expires at the peers.
	Until time.Time
}

// RequestQuarantined is a quarantine read from the log or a peer.
type RequestQuarantined struct {
	Fingerprint Fingerprint
	Until       time.Time
}

// FreshnessChanged reports whether the instance is fresh, without which it starts
// no new attempts, and whether there is an outage of the log. It may repeat the
// current state; the first such event after a pause of the process ends
// Config.ResumeDelay early.
type FreshnessChanged struct {
	Fresh bool
	// Outage is true while the log is down for all instances.
	Outage bool
}

func (ManifestApplied) event()    {}
func (ServersListed) event()      {}
func (ServerLeaving) event()      {}
func (LoadReported) event()       {}
func (CacheChanged) event()       {}
func (RequestArrived) event()     {}
func (SessionOpening) event()     {}
func (RequestCancelled) event()   {}
func (FirstToken) event()         {}
func (AttemptEnded) event()       {}
func (AnswerRated) event()        {}
func (VersionVerdict) event()     {}
func (RequestQuarantined) event() {}
func (FreshnessChanged) event()   {}

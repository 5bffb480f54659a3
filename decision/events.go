package decision

import "time"

// Event is anything that a tick takes in. The set is closed: see below.
type Event interface{ event() }

// ManifestApplied replaces teams and versions by a newer generation.
type ManifestApplied struct {
	Generation uint64
	Teams      []Team
	Versions   []Version
}

// ServersListed replaces the table of backend servers by the platform's list.
// The list lags: a server that said that it is leaving stays leaving until the
// list has dropped it.
type ServersListed struct{ Servers []Server }

// ServerLeaving is an early word that a backend server is leaving: from its own
// answer, its load report or a peer.
type ServerLeaving struct{ Server ServerID }

// LoadReported is a backend server's own load; it lags.
type LoadReported struct {
	Server  ServerID
	Running int
	Queued  int
	// At is when the server measured it.
	At time.Time
}

// CacheChanged is a backend server's word on its prefix cache. Events come late
// and with gaps: a Seq that is not the last one plus 1 says that some are lost.
type CacheChanged struct {
	Server  ServerID
	Seq     uint64
	Added   []BlockHash
	Removed []BlockHash
}

// RequestArrived hands over a request. It is answered by exactly one of Refuse,
// Fail or Deliver in the end, unless RequestCancelled comes first.
type RequestArrived struct{ Request Request }

// SessionOpening asks which versions a new session gets; it is answered by
// PinSession in the same tick.
type SessionOpening struct {
	Session SessionID
	Team    TeamID
	// ShareHash is the session's place in roll-outs.
	RolloutPosition float64
}

// RequestCancelled says that the caller has gone.
type RequestCancelled struct{ Request RequestID }

// FirstToken marks the first byte of an answer.
type FirstToken struct {
	Request RequestID
	Attempt AttemptID
}

// AttemptEnded closes a Dispatch.
type AttemptEnded struct {
	Request RequestID
	Attempt AttemptID
	Result  AttemptResult
	// Tokens generated, for cost.
	Tokens int
	// Sent says that a part of the answer already went to the caller, so that
	// no other attempt may follow.
	ResponseStarted bool
	// Leaving says that the backend server refused because it is leaving.
	Leaving bool
}

// AnswerRated is the rating service's word on one attempt's answer. Late means
// that none came within the budget; then Score is meaningless.
type AnswerRated struct {
	Request RequestID
	Attempt AttemptID
	Team    TeamID
	Class   TaskClass
	Version VersionID
	Score   float64
	Late    bool
}

// VersionVerdict is a verdict on a version, own or from a peer.
type VersionVerdict struct {
	Version VersionID
	Bad     bool
	// Until bounds a peer's verdict.
	Until time.Time
}

// RequestQuarantined is a quarantine read from the log or a peer.
type RequestQuarantined struct {
	Fingerprint Fingerprint
	Until       time.Time
}

// FreshnessChanged says whether new work may start at all, and whether the log
// is down for everybody.
type FreshnessChanged struct {
	Fresh  bool
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

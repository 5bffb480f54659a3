package decision

import "time"

// Command is an instruction of a tick to the router. The types in this file are
// the only implementations.
type Command interface{ command() }

// Dispatch starts an attempt at a backend server.
type Dispatch struct {
	Request RequestID
	Attempt AttemptID
	Server  ServerID
	// Version is empty for a plain service.
	Version VersionID
	// Hold makes the router hold the answer back until Deliver, because the
	// cascade may still replace it. Without Hold it is forwarded at once.
	Hold bool
	// NeedsRating makes the router have the answer rated and send AnswerRated.
	NeedsRating bool
	// RatingTimeout is how long the router waits for the rating of a held answer,
	// and so how long that answer is delayed at most.
	RatingTimeout time.Duration
}

// Deliver sends the caller the answer of Attempt and ends the request.
type Deliver struct {
	Request RequestID
	Attempt AttemptID
}

// Refuse ends a request that provably did not run.
type Refuse struct {
	Request RequestID
	Reason  RefusalReason
	// RetryAfter is the time after which the caller may retry; 0 if a retry cannot
	// help.
	RetryAfter time.Duration
}

// Fail ends a request that ran, or may have run, without a complete answer.
type Fail struct {
	Request RequestID
	// Result is that of the last attempt.
	Result AttemptResult
}

// PinSession answers SessionOpening: one version for each model of which the team
// may use a serving version, in order of ModelID.
type PinSession struct {
	Session  SessionID
	Versions []VersionID
}

// CancelAttempt stops an attempt whose answer is no longer needed.
type CancelAttempt struct {
	Request RequestID
	Attempt AttemptID
}

// ShareVerdict sends this instance's verdict on a version to the peers.
type ShareVerdict struct{ Verdict VersionVerdict }

// ShareLeaving reports a leaving backend server to the peers.
type ShareLeaving struct{ Server ServerID }

// ReportEjection reports to operators that a backend server was ejected as an
// outlier, or readmitted. The ejection applies to this instance only.
type ReportEjection struct {
	Server  ServerID
	Ejected bool
}

// Quarantine makes the router announce to all instances that requests with the
// fingerprint crash servers and must be refused until Until.
type Quarantine struct {
	Fingerprint Fingerprint
	Until       time.Time
}

func (Dispatch) command()       {}
func (Deliver) command()        {}
func (Refuse) command()         {}
func (PinSession) command()     {}
func (Fail) command()           {}
func (CancelAttempt) command()  {}
func (ShareVerdict) command()   {}
func (ShareLeaving) command()   {}
func (ReportEjection) command() {}
func (Quarantine) command()     {}

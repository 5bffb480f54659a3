package decision

import "time"

// Command is anything that a tick asks the router to do. The set is closed.
type Command interface{ command() }

// Dispatch starts an attempt at a backend server.
type Dispatch struct {
	Request RequestID
	Attempt AttemptID
	Server  ServerID
	// Version is empty for a plain service.
	Version VersionID
	// Hold asks the router to keep the answer back until Deliver, because a
	// cascade may still replace it. Without Hold it flows at once.
	Hold bool
	// Rate asks the router to have the answer rated and to send AnswerRated.
	NeedsRating bool
	// RateBudget is how long a held answer may wait for its rating.
	RatingTimeout time.Duration
}

// Deliver gives the caller the answer of Attempt and ends the request.
type Deliver struct {
	Request RequestID
	Attempt AttemptID
}

// Refuse ends a request that truly was not run.
type Refuse struct {
	Request    RequestID
	Reason     RefusalReason
	RetryAfter time.Duration
}

// Fail ends a request that ran, or may have run, without a whole answer.
type Fail struct {
	Request RequestID
	// Result is the last attempt's.
	Result AttemptResult
}

// PinSession answers SessionOpening: one version for each model that the team
// may use, in order of ModelID; none where it may use nothing.
type PinSession struct {
	Session  SessionID
	Versions []VersionID
}

// CancelAttempt stops an attempt that nobody waits for.
type CancelAttempt struct {
	Request RequestID
	Attempt AttemptID
}

// ShareVerdict tells the peers of an own verdict on a version.
type ShareVerdict struct{ Verdict VersionVerdict }

// ShareLeaving tells the peers of a leaving backend server.
type ShareLeaving struct{ Server ServerID }

// NoteEjection tells operators that a backend server is ejected as an outlier, or
// back. It is this instance's own finding and changes nothing elsewhere.
type ReportEjection struct {
	Server  ServerID
	Ejected bool
}

// Quarantine records a crashing request for all instances.
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

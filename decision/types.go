package decision

import "time"

// Identifiers, as the manifest and the instance list name things.
type (
	// TeamID names a team.
	TeamID string
	// ModelID names a model; a model has versions.
	ModelID string
	// VersionID names one version of a model, as "model@version".
	VersionID string
	// ServerID names a backend server.
	ServerID string
	// DomainID names a failure domain.
	DomainID string
	// ServiceID names a plain service; empty for model work.
	ServiceID string
	// TaskClass groups requests of alike difficulty within a team.
	TaskClass string
	// RequestID numbers a request within this instance.
	RequestID uint64
	// SessionID numbers a session that is being opened within this instance.
	SessionID uint64
	// AttemptID numbers the attempts of one request from 1.
	AttemptID uint32
	// Fingerprint is a hash of team and body, for requests that crash servers.
	Fingerprint uint64
	// BlockHash is the hash of one block of a prompt, chained over the blocks
	// before it, so that an equal hash means an equal prefix.
	BlockHash uint64
)

// VersionState is a version's state in the manifest.
type VersionState uint8

const (
	// VersionServing takes new work by its Share.
	VersionServing VersionState = iota + 1
	// VersionDraining takes no new sessions; open ones go on.
	VersionDraining
	// VersionWithdrawn takes no new work at all.
	VersionWithdrawn
)

// Team is one row of the manifest's teams.
type Team struct {
	ID TeamID
	// Weight is the team's part of the capacity under saturation, at least 1.
	Weight int
	// QueueLimit bounds the team's queue in requests; 0 is the default.
	QueueLimit int
	// QualityTarget is the mean rating wanted, 0 to 1.
	QualityTarget float64
	// Allowed lists the versions that the team may use.
	Allowed []VersionID
	// Services lists the plain services that the team may call.
	Services []ServiceID
}

// Version is one row of the manifest's versions.
type Version struct {
	ID    VersionID
	Model ModelID
	State VersionState
	// Share is the part (0 to 1) of new sessions and requests for Model that
	// this version takes, by hash, so that raising it only adds.
	Share float64
	// Predecessor is the version it replaces; empty for none.
	Predecessor VersionID
	// Cost per 1000 tokens generated, in the manifest's unit.
	Cost float64
	// Quality expected before anything was learnt, 0 to 1.
	Quality float64
}

// Server is one row of the instance list, for a backend server.
type Server struct {
	ID     ServerID
	Domain DomainID
	// Service is set for a plain service; then Versions is empty.
	Service ServiceID
	// Versions that are loaded and can be served.
	Versions []VersionID
	// Slots is how many requests the server runs at once.
	Slots int
	// Leaving servers get nothing new.
	Leaving bool
}

// Request is what the router knows when a request arrives.
type Request struct {
	ID   RequestID
	Team TeamID
	// Model asked for; empty lets the cascade choose among all allowed.
	Model ModelID
	// Pinned is the session's version for the model; empty without a session.
	Pinned VersionID
	// Pins are the session's versions, one a model, for a request whose Model is
	// empty: the cascade then keeps to them.
	Pins []VersionID
	// Service is set for a plain service.
	Service ServiceID
	Class   TaskClass
	// ShareHash places the request in a roll-out: hash of its session, or of
	// itself, as a fraction of 1.
	RolloutPosition float64
	Fingerprint     Fingerprint
	// Blocks are the prompt's block hashes from its start, for affinity.
	Blocks []BlockHash
	// PromptTokens and MaxTokens size the work.
	PromptTokens int
	MaxTokens    int
	// Priority within the team, higher first.
	Priority int
	// Deadline for the whole answer; the zero value means the default.
	Deadline time.Time
	// Idempotent requests may be tried again after they may have run.
	Idempotent bool
	// Streamed answers flow to the caller as they come.
	Streamed bool
	// Resend marks a request that the caller says it sends again.
	Resend bool
}

// RefusalReason is why a request was refused; the text is stable, for callers.
type RefusalReason string

// The reasons that the decision gives. The router has more of its own.
const (
	ReasonQueueFull        RefusalReason = "queue_full"
	ReasonWaitTooLong      RefusalReason = "wait_exceeds_deadline"
	ReasonDeadline         RefusalReason = "deadline_passed"
	ReasonRetryBudget      RefusalReason = "retry_budget_spent"
	ReasonNotAllowed       RefusalReason = "model_not_allowed"
	ReasonUnknownModel     RefusalReason = "unknown_model"
	ReasonVersionWithdrawn RefusalReason = "session_version_withdrawn"
	ReasonNoServer         RefusalReason = "no_backend_server"
	ReasonQuarantined      RefusalReason = "request_quarantined"
	ReasonNotFresh         RefusalReason = "instance_not_fresh"
	ReasonOutage           RefusalReason = "log_outage"
)

// AttemptResult is how one attempt ended, as a value.
type AttemptResult uint8

const (
	// AttemptCompleted: the whole answer came.
	AttemptCompleted AttemptResult = iota + 1
	// AttemptNotRun: provably not run (no byte was written, or the backend
	// server's protocol said refused).
	AttemptNotRun
	// AttemptFailed: it ran and failed with an answer from the backend server.
	AttemptFailed
	// AttemptUnknown: it may have run; the connection broke or timed out.
	AttemptUnknown
	// AttemptCrashed: the backend server died while running it.
	AttemptCrashed
	// AttemptCancelled: nobody waited for it any more.
	AttemptCancelled
)

package decision

import "time"

// Identifiers, as used in the manifest and the platform's instance list.
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
	// ServiceID names a plain service; empty for model requests.
	ServiceID string
	// TaskClass groups requests of similar difficulty within a team.
	TaskClass string
	// RequestID numbers a request within this instance.
	RequestID uint64
	// SessionID numbers a session that is being opened within this instance.
	SessionID uint64
	// AttemptID numbers the attempts of one request from 1.
	AttemptID uint32
	// Fingerprint is a hash of team and body; it identifies requests that crash
	// servers. 0 is none.
	Fingerprint uint64
	// BlockHash is the hash of one block of a prompt, chained over the blocks
	// before it, so that an equal hash means an equal prefix.
	BlockHash uint64
)

// VersionState is a version's state in the manifest.
type VersionState uint8

const (
	// VersionServing takes new requests and sessions according to its Share.
	VersionServing VersionState = iota + 1
	// VersionDraining takes no new sessions; open sessions continue.
	VersionDraining
	// VersionWithdrawn takes no requests at all.
	VersionWithdrawn
)

// Team is one row of the manifest's teams.
type Team struct {
	ID TeamID
	// Weight is the team's relative share of the capacity under saturation, at
	// least 1.
	Weight int
	// QueueLimit bounds the team's queue in requests; 0 means Config.QueueLimit.
	QueueLimit int
	// QualityTarget is the mean rating to reach, 0 to 1.
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
	// Share is the fraction (0 to 1) of new sessions and requests for Model that
	// this version takes. They are assigned by their RolloutPosition, so that
	// raising the share adds some to the version and takes none away from it.
	Share float64
	// Predecessor is the version that this one replaces; empty for none.
	Predecessor VersionID
	// Cost per 1000 generated tokens, in the manifest's unit.
	Cost float64
	// Quality is the expected rating before any was received, 0 to 1.
	Quality float64
}

// Server is one backend server, a row of the platform's instance list.
type Server struct {
	ID     ServerID
	Domain DomainID
	// Service is set for a plain service; then Versions is empty.
	Service ServiceID
	// Versions are those loaded and ready to serve.
	Versions []VersionID
	// Slots is how many requests the server runs concurrently.
	Slots int
	// Leaving servers get no new requests.
	Leaving bool
}

// Request is what the router knows when a request arrives.
type Request struct {
	ID   RequestID
	Team TeamID
	// Model is the requested model; empty lets the cascade choose among all
	// allowed ones.
	Model ModelID
	// Pinned is the version that the session is pinned to for Model; empty
	// without a session.
	Pinned VersionID
	// Pins are the session's versions, one per model, for a request whose Model
	// is empty: the cascade uses no other version of these models.
	Pins []VersionID
	// Service is set for a plain service.
	Service ServiceID
	Class   TaskClass
	// RolloutPosition is the request's position in roll-outs, in [0, 1): a hash of
	// its session, or of itself.
	RolloutPosition float64
	Fingerprint     Fingerprint
	// Blocks are the hashes of the prompt's blocks from its start, for prefix
	// affinity.
	Blocks []BlockHash
	// PromptTokens and MaxTokens give the size of the request.
	PromptTokens int
	MaxTokens    int
	// Priority within the team, higher first.
	Priority int
	// Deadline for the complete answer; the zero value means Config.DefaultDeadline
	// after the arrival.
	Deadline time.Time
	// Idempotent requests may be retried after an attempt that may have run.
	Idempotent bool
	// Streamed answers are forwarded to the caller as they are generated.
	Streamed bool
	// Resend marks a request that the caller declares to be a retry.
	Resend bool
}

// RefusalReason is why a request was refused; callers see the text, which is
// stable.
type RefusalReason string

// The reasons given by this package. The router adds reasons of its own.
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

// AttemptResult is how one attempt ended.
type AttemptResult uint8

const (
	// AttemptCompleted: the complete answer was received.
	AttemptCompleted AttemptResult = iota + 1
	// AttemptNotRun: it provably did not run (no byte was written, or the backend
	// server refused it in a way that the protocol defines as not run).
	AttemptNotRun
	// AttemptFailed: it ran and the backend server answered with an error.
	AttemptFailed
	// AttemptUnknown: it may have run; the connection broke or timed out.
	AttemptUnknown
	// AttemptCrashed: the backend server crashed while running it.
	AttemptCrashed
	// AttemptCancelled: it was stopped because its answer was no longer needed.
	AttemptCancelled
)

package passthrough

import "time"

// Server is one row of the list of backend servers.
type Server struct {
	ID      string
	Address string
	Service string
	Domain  string
	// Version of the server's software, which roll-outs replace.
	Version string
	// Slots is how many requests it runs at once; 0 where unknown.
	Slots int
	// Draining servers get nothing new.
	Draining bool
	// Born is the start of the server's process in Unix milliseconds, 0 where unknown:
	// a server may start again under its id.
	StartTime int64
	// WarmUp is how much longer the server was to take little after its start when its entry
	// was written; 0 for one that is warm.
	SlowStartRemaining time.Duration
}

// Load is a backend server's word on itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// RateLimit is what a backend server states of the requests that it takes from all instances
// together.
type RateLimit struct {
	// Limited says that the server states a limit.
	Limited bool
	// PerSecond is the limit in requests a second.
	PerSecond float64
}

// RequestID numbers a request within this instance.
type RequestID uint64

// Request is what is known of a request on arrival.
type Request struct {
	ID RequestID
	// Route of the configuration in force at arrival.
	Route *Route
	// Service that the route's weights chose.
	Service string
	Team    string
	// Rank is the priority, 0 first.
	Priority int
	// Session is empty where the request belongs to none.
	Session string
	// Affinity is a hash of the prompt's part that is shared with other requests; 0
	// for none.
	PrefixHash uint64
	// SharedTokens is the part of PromptTokens that Affinity stands for.
	PrefixTokens int
	// PromptTokens and MaxTokens size the work; 0 where unknown.
	PromptTokens int
	MaxTokens    int
	// Share places the request in a roll-out: a fraction of 1.
	RolloutPosition float64
	// Fingerprint is a hash of path, caller and body.
	Fingerprint uint64
	// Target is when an answer loses a part of its worth, Deadline when it is worth
	// nothing.
	TargetTime time.Time
	Deadline   time.Time
	// ModelOpen says that the router chooses the model among the route's sizes.
	ChooseModel bool
}

// Result is how one attempt ended.
type Result uint8

const (
	// Completed: the whole answer came, with success.
	Completed Result = iota + 1
	// NotSent: no byte was written, so the request has not run there.
	NotSent
	// Rejected: the backend server says that it has not run the request.
	Rejected
	// Failed: the backend server ran it and answered with a failure.
	Failed
	// Broken: it may have run, and no whole answer came.
	Broken
	// Abandoned: nobody waited for it any more.
	Abandoned
	// Dropped: the engine doubted its answer, none of which was sent on.
	Dropped
)

// String names the result for logs.
func (r Result) String() string {
	names := [...]string{"", "completed", "not_sent", "rejected", "failed", "broken", "abandoned", "dropped"}
	if int(r) < len(names) {
		return names[r]
	}
	return ""
}

// Ran says whether the request may have run at the backend server. It is the one word on
// that: what it holds true of must never be refused as not run.
func (r Result) MayHaveRun() bool {
	return r == Completed || r == Failed || r == Broken || r == Dropped
}

// Reason says why a request was refused; the text is stable, for callers and logs.
type Reason string

// The reasons for a refusal.
const (
	ReasonNoServer    Reason = "no_backend_server"
	ReasonWarmingUp   Reason = "backend_servers_warming_up"
	ReasonLimited     Reason = "backend_servers_limited"
	ReasonBusy        Reason = "busy"
	ReasonServersFull Reason = "backend_servers_full"
	ReasonRetryBudget Reason = "retry_budget_spent"
	ReasonQuarantined Reason = "request_quarantined"
	ReasonDeadline    Reason = "deadline_passed"
	ReasonAttempts    Reason = "attempts_spent"
	ReasonNotFresh    Reason = "configuration_too_old"
	ReasonStopping    Reason = "stopping"
)

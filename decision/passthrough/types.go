package passthrough

import (
	"fmt"
	"time"
)

// Server is an entry of the list of backend servers.
type Server struct {
	ID      string
	Address string
	Service string
	// Domain is the server's failure domain.
	Domain string
	// Version is that of the server's software, which roll-outs replace.
	Version string
	// Slots is how many requests the server runs at once; 0 if unknown.
	Slots int
	// Leaving servers get no new requests.
	Leaving bool
	// StartTime is when the server's process started, in Unix milliseconds; 0 if unknown. A
	// server may restart under the same id.
	StartTime int64
	// SlowStartRemaining is how much of the server's slow start was left when its entry was
	// written; 0 if it is over.
	SlowStartRemaining time.Duration
}

// serverProcess identifies a process of a backend server. Another process may have its id or its address
// later.
type serverProcess struct {
	id, address, service string
	startTime            int64
}

func (s Server) process() serverProcess {
	return serverProcess{id: s.ID, address: s.Address, service: s.Service, startTime: s.StartTime}
}

// hash is the same at all instances, and differs between all processes with near certainty.
func (p serverProcess) hash() uint64 {
	return hashString(fmt.Sprintf("%q %q %q %d", p.id, p.address, p.service, p.startTime))
}

// Load is the load that a backend server reports of itself, in requests. Running counts those that
// hold a slot, Waiting those that wait for one, and Slots is the number of slots. Slowdown is how many times as long as
// usual work takes on the server's machine at this moment, 0 if the server does not state it.
type Load struct {
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64
}

// RateLimit is the limit that a backend server states for the requests of all instances
// together.
type RateLimit struct {
	// Limited is false if the server states no limit.
	Limited bool
	// PerSecond is the limit in requests per second.
	PerSecond float64
}

// RequestID identifies a request within this instance.
type RequestID uint64

// Request is what is known of a request on arrival.
type Request struct {
	ID RequestID
	// Route is that of the configuration in force at arrival.
	Route *Route
	// Service is chosen by the route's weights.
	Service string
	Team    string
	// Priority is the request's; 0 is the highest.
	Priority int
	// Session is empty if the request belongs to none.
	Session string
	// PrefixHash is a hash of the part of the prompt that is shared with other requests; 0
	// for none.
	PrefixHash uint64
	// PrefixTokens is how many of PromptTokens PrefixHash covers.
	PrefixTokens int
	// Parts are hashes of the parts of the prompt that other requests of the service may share, the same at all
	// instances.
	Parts []uint64
	// PromptTokens and MaxTokens are the size of the request; 0 if unknown.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the number of generated tokens; 0 if not stated.
	ExpectedTokens int
	// RolloutPosition is in [0, 1): the request goes to a roll-out's target if its position is
	// below the target's share.
	RolloutPosition float64
	// Fingerprint is a hash of path, caller and body.
	Fingerprint uint64
	// TargetTime is when a response begins to lose value; at Deadline it has none left.
	TargetTime time.Time
	Deadline   time.Time
	// ChooseModel lets the router choose among the route's models.
	ChooseModel bool
}

// Result is how an attempt ended.
type Result uint8

const (
	// Completed: the whole response came, and it is a success.
	Completed Result = iota + 1
	// NotSent: no byte was written, so the server has not run the request.
	NotSent
	// Rejected: the backend server states that it has not run the request.
	Rejected
	// Failed: the backend server ran the request and responded with a failure.
	Failed
	// Broken: the request may have run, but no complete response came.
	Broken
	// Abandoned: the caller has disconnected, or the request's deadline has passed.
	Abandoned
	// Dropped: the response's confidence was too low; none of it was forwarded to the
	// caller.
	Dropped
	// Withheld: nothing was written, as the server had become unusable since the dispatch.
	Withheld
)

// String is the result's name in logs.
func (r Result) String() string {
	names := [...]string{"", "completed", "not_sent", "rejected", "failed", "broken", "abandoned", "dropped", "withheld"}
	if int(r) < len(names) {
		return names[r]
	}
	return ""
}

// MayHaveRun reports whether the request may have run at the backend server. All code that
// refuses a request as not run must use this method. It is false for Abandoned, which ends a
// request without a Refuse.
func (r Result) MayHaveRun() bool {
	return r == Completed || r == Failed || r == Broken || r == Dropped
}

// Reason is why a request was refused, or finished without another attempt. The text is stable, as
// callers and logs use it.
type Reason string

// The reasons to refuse or finish a request.
const (
	ReasonNoServer    Reason = "no_backend_server"
	ReasonSlowStart   Reason = "backend_servers_warming_up"
	ReasonBackoff     Reason = "backend_servers_backing_off"
	ReasonNoPath      Reason = "no_path_to_backend_servers"
	ReasonLimited     Reason = "backend_servers_limited"
	ReasonTooLarge    Reason = "prompt_exceeds_engine_memory"
	ReasonBusy        Reason = "busy"
	ReasonServersFull Reason = "backend_servers_full"
	// ReasonNoRoom: the request's class (priority, team) has no room at this moment, for the sum of all instances.
	ReasonNoRoom      Reason = "no_room_for_class"
	ReasonRetryBudget Reason = "retry_budget_spent"
	ReasonQuarantined Reason = "request_quarantined"
	// ReasonPartQuarantined: a part of the prompt crashes servers.
	ReasonPartQuarantined Reason = "prompt_part_quarantined"
	ReasonDeadline        Reason = "deadline_passed"
	// ReasonNoTime: no server could complete the response before the deadline.
	ReasonNoTime   Reason = "cannot_complete_in_time"
	ReasonAttempts Reason = "attempts_spent"
	ReasonNotFresh Reason = "configuration_too_old"
	ReasonStopping Reason = "stopping"
)

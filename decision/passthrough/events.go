package passthrough

import "time"

// Event is anything that a tick takes in. The set is closed.
type Event interface{ event() }

// Configured replaces the configuration.
type Configured struct{ Index *Index }

// Listed replaces the list of backend servers.
type ServersListed struct{ Servers []Server }

// Arrived hands over a request. It is answered by one Dispatch or Refuse, at once or
// when its turn comes, unless Left comes first.
type RequestArrived struct{ Request Request }

// Left says that nobody waits for the request any more.
type RequestCancelled struct{ Request RequestID }

// Ended closes a Dispatch. It is answered by a Dispatch, Refuse or Finish, unless the
// result is Completed or Abandoned.
type AttemptEnded struct {
	Request RequestID
	Result  Result
	// Begun says that a part of the answer went to the caller.
	Begun bool
	// Misdirected says that another backend server has the address.
	Misdirected bool
	// Leaving says that the backend server is leaving.
	Leaving bool
	// Cut says that the connection broke, as it does when a backend server crashes.
	ConnectionLost bool
	// Pace is the mean time between the events of a stream, or the time of a whole
	// plain answer; 0 where it is not known.
	EventInterval time.Duration
	// Confidence is the engine's own in its answer, from 0 to 1; below 0 where not told.
	Confidence float64
	// Limit is what the answer states, nil where there is none or FirstByte has told it.
	Limit *RateLimit
}

// Waited says that a request has waited in the queue for as long as MaxWait allows.
type QueueWaitExpired struct{ Request RequestID }

// LoadReported is the load that a backend server reports.
type LoadReported struct {
	Server string
	Load   Load
}

// FirstByte says that the attempt's answer began, after the time given, and what its head
// states of the server's load, if anything.
type FirstByte struct {
	Request RequestID
	After   time.Duration
	Load    Load
	HasLoad bool
	Limit   RateLimit
}

// Paced is the pace of a stream's first events: the mean time between them.
type EventIntervalMeasured struct {
	Request       RequestID
	EventInterval time.Duration
}

// Crashes is the count of crashes by requests with this fingerprint at other instances.
type PeerCrashes struct {
	Fingerprint uint64
	Count       int
}

// SessionsOpen names sessions that were open at the old version when an order came.
type PeerSessions struct{ Sessions []string }

// Fleet is the number of instances that share the retry budget's slack.
type FleetSize struct{ Instances int }

// Stopping says that this instance ends at the time given.
type Stopping struct{ At time.Time }

// Drained replaces the failure domains whose servers get no new work.
type DomainsDrained struct{ Domains []string }

// Neighbours are the instances of this one's failure domain, itself among them.
type Neighbours struct {
	Self  string
	Names []string
}

// PeerLoads is what so many other instances have at the engines.
type PeerLoads struct {
	Loads     []PeerLoad
	Instances int
}

// PeerLimit is what a server's answer to another instance stated of its rate limit.
type PeerLimit struct {
	// Key stands for the server, as in PeerLoad.
	Key   uint32
	Limit RateLimit
	// Age is how long ago that was.
	Age time.Duration
}

// PeerLimits is what other instances were told of servers' rate limits.
type PeerLimits struct{ Limits []PeerLimit }

// RolloutSet says how far a roll-out is.
type RolloutUpdated struct{ Rollout Rollout }

func (Configured) event()            {}
func (ServersListed) event()         {}
func (RequestArrived) event()        {}
func (RequestCancelled) event()      {}
func (QueueWaitExpired) event()      {}
func (AttemptEnded) event()          {}
func (LoadReported) event()          {}
func (EventIntervalMeasured) event() {}
func (FirstByte) event()             {}
func (PeerCrashes) event()           {}
func (FleetSize) event()             {}
func (RolloutUpdated) event()        {}
func (PeerSessions) event()          {}
func (Stopping) event()              {}
func (DomainsDrained) event()        {}
func (PeerLoads) event()             {}
func (PeerLimits) event()            {}
func (Neighbours) event()            {}

// Command is anything that a tick asks for. The set is closed.
type Command interface{ command() }

// Dispatch sends the request to a backend server.
type Dispatch struct {
	Request RequestID
	Server  Server
	// Attempt counts the request's dispatches from 1.
	Attempt int
	// Model is the chosen one where the request leaves it open.
	Model string
	// Patience is how long the attempt may stay silent; 0 for no bound of its own.
	FirstByteTimeout time.Duration
	// Load is the server's load as believed, with its age, for the log.
	Load    int
	LoadAge time.Duration
	// Limit is the server's rate limit as known, for the log.
	Limit RateLimit
	// Wait is how long the prompt is thought to wait at the server for others to be read.
	PrefillWait time.Duration
	// Taken is the part of the service's places that is taken, as believed, MeanWait the mean
	// wait at its servers, and Repeats what the retry budget holds: what decided on the
	// model.
	Utilization     float64
	MeanPrefillWait time.Duration
	RetriesLeft     float64
}

// Refuse ends a request that has not run.
type Refuse struct {
	Request    RequestID
	Reason     Reason
	RetryAfter time.Duration
}

// Finish ends a request with what its last attempt left: the backend server's failure,
// or word that it may have run.
type Finish struct {
	Request RequestID
	Reason  Reason
}

// Observed is an end of an attempt that other instances should know of while a
// roll-out is in progress.
type Observation struct {
	Service string
	Route   string
	Version string
	Bad     bool
	// Cut says that the answer was cut off, as when Server crashes.
	ConnectionLost bool
	Server         string
	// Early says that the answer goes on, and is not counted yet.
	TimingOnly bool
	// First and Pace compare the answer's times with the old version's, for answers of
	// the new one.
	FirstByte     LogRatioStats
	EventInterval LogRatioStats
}

// CrashSeen says that a request seems to have crashed a backend server.
type CrashSuspected struct {
	Fingerprint uint64
}

// Suspect says that the list of backend servers should be read at once.
type RefreshServers struct{ Server string }

// WhyCold says why servers are taken for cold.
type SlowStartCause string

// The reasons.
const (
	CauseListed          SlowStartCause = "listed"
	CauseRestarted       SlowStartCause = "started_again"
	CauseServerLost      SlowStartCause = "lost"
	CauseDomainLost      SlowStartCause = "failure_domain_lost"
	CauseDomainUndrained SlowStartCause = "failure_domain_taken_back"
)

// Cooled says that servers which were warm are taken for cold from now on: one, or all of a
// failure domain where Server is empty.
type SlowStartBegun struct {
	Server   string
	Domain   string
	Servers  int
	Duration time.Duration
	Cause    SlowStartCause
}

// LimitChanged says that a server's rate limit is another one from now on.
type RateLimitChanged struct {
	Server string
	Limit  RateLimit
	// Own says that this instance was told by the server's answer, not by another instance; Age
	// is how old that is.
	Own bool
	Age time.Duration
}

func (Dispatch) command()         {}
func (Refuse) command()           {}
func (Finish) command()           {}
func (Observation) command()      {}
func (CrashSuspected) command()   {}
func (RefreshServers) command()   {}
func (SlowStartBegun) command()   {}
func (RateLimitChanged) command() {}

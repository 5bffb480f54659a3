package passthrough

import (
	"time"

	"masticplank.example/decision/admission"
	"masticplank.example/decision/outlier"
	"masticplank.example/decision/speed"
)

// Event is an input of Tick. The set is closed.
type Event interface{ event() }

// Configured replaces the configuration.
type Configured struct{ Index *Index }

// ServersListed replaces the list of backend servers.
type ServersListed struct{ Servers []Server }

// RequestArrived is the arrival of a request. One Dispatch or Refuse follows, at once or when the
// request's turn comes, unless RequestCancelled comes first.
type RequestArrived struct{ Request Request }

// RequestCancelled reports that the request needs no response any more, for example because
// its caller has disconnected or its deadline has passed. It is ignored once the request has
// ended.
type RequestCancelled struct{ Request RequestID }

// AttemptEnded ends a Dispatch. A Dispatch, Refuse or Finish follows, unless the result is
// Completed or Abandoned.
type AttemptEnded struct {
	Request RequestID
	Result  Result
	// Begun is true if a part of the response was forwarded to the caller.
	Begun bool
	// ViaPeer is true if the request was sent through a peer. TunnelLost is true if the connection to the
	// peer broke, PathLost if the path to the servers is lost and no peer could be asked, NoPermit if no peer had a
	// free permit, NoGrant if no grant was to be had, and Declined if no peer sends to the server.
	ViaPeer    bool
	TunnelLost bool
	PathLost   bool
	NoPermit   bool
	NoGrant    bool
	Declined   bool
	// GrantAfter is when a grant may be had, for NoGrant; 0 if no holder of the server has answered.
	GrantAfter time.Duration
	// Final is true if no other attempt may follow, as the caller already has a part of the response.
	Final bool
	// Misdirected is true if another backend server now has the address.
	Misdirected bool
	// Leaving is true if the backend server is shutting down.
	Leaving bool
	// ConnectionLost is true if the connection broke, as it does when a backend server crashes.
	ConnectionLost bool
	// CallerStalled is true if the stream broke after its caller had not read it for some time. HeldUnread is true if the
	// connection was lost while the server held the response of another such stream, by which it may have crashed.
	CallerStalled bool
	HeldUnread    bool
	// EventInterval is the mean time between the events of a stream, or the response time of a
	// plain response; 0 if unknown.
	EventInterval time.Duration
	// Events is the number of whole events of a stream that were received.
	Events int
	// GivenUp is true if this instance has closed the connection as GivesUp said.
	GivenUp bool
	// Confidence is the engine's confidence in its response, from 0 to 1; negative if it stated
	// none.
	Confidence float64
	// Limit is the rate limit that the response states; nil if there was no response, or if
	// FirstByte has reported it.
	Limit *RateLimit
}

// QueueWaitExpired reports that a request has been queued for as long as MaxQueueWait allows.
type QueueWaitExpired struct{ Request RequestID }

// LoadReported is the load that a backend server reports.
type LoadReported struct {
	Server string
	// StartTime is that of the server's process; 0 if unknown.
	StartTime int64
	Load      Load
}

// FirstByte is the start of an attempt's response. After is the time since its dispatch; Load, if
// HasLoad is set, and Limit are what its headers state.
type FirstByte struct {
	Request RequestID
	After   time.Duration
	Load    Load
	HasLoad bool
	Limit   RateLimit
}

// ServerStated is what the head of a response states about its server, whatever becomes of the response.
type ServerStated struct {
	// Server is the server that the request was sent to.
	Server Server
	// Leaving is true if it states that it is leaving.
	Leaving bool
	// RetryAfter is the time for which it wants no requests from this instance; 0 if not stated.
	RetryAfter time.Duration
	// Brittle is true if it states that it fails if it has to reject more than BrittlePerSecond requests in
	// a second.
	Brittle          bool
	BrittlePerSecond float64
	// Sent is when the request was sent.
	Sent time.Time
}

// EventIntervalMeasured is the mean time between the first events of a stream.
type EventIntervalMeasured struct {
	Request       RequestID
	EventInterval time.Duration
}

// PeerCrashes counts the crashes that peers saw with requests of the fingerprint.
type PeerCrashes struct {
	Fingerprint uint64
	Count       int
}

// PeerSessions names sessions that were open at the old version when a roll-out was ordered.
type PeerSessions struct{ Sessions []string }

// FleetSize is the number of instances, which share the retry budget's slack.
type FleetSize struct{ Instances int }

// Stopping reports that this instance stops: the last response must be complete at the given time.
type Stopping struct{ At time.Time }

// DomainsDrained replaces the set of failure domains whose servers get no new requests.
type DomainsDrained struct{ Domains []string }

// Neighbours are the instances of this one's failure domain, itself included.
type Neighbours struct {
	Self  string
	Names []string
}

// RemoteNeighbours are the instances of another failure domain, as far as this instance may send through them.
type RemoteNeighbours struct {
	Domain string
	Names  []string
}

// PeerLoads is the sum of the loads that other instances have at the engines. Instances is the
// number of instances in it.
type PeerLoads struct {
	Loads     []PeerLoad
	Instances int
}

// PeerLimit is a rate limit that a server stated to another instance.
type PeerLimit struct {
	// Key identifies the server, as in PeerLoad.
	Key   uint32
	Limit RateLimit
	// Age is the time since the server stated it.
	Age time.Duration
}

// PeerLimits are the rate limits that servers stated to other instances.
type PeerLimits struct{ Limits []PeerLimit }

// PeerLeaving names processes of servers that have stated to other instances that they are leaving, by
// the hashes that OwnLeaving returns there.
type PeerLeaving struct{ Processes []uint64 }

// PeerPermitReleased ends the use of a permit that TakePermitForPeer took at the server.
type PeerPermitReleased struct{ Server Server }

// PeerBrittle names the services whose servers have stated to other instances, a moment ago, that they are brittle,
// with the number of rejections a second that these survive.
type PeerBrittle struct{ PerSecond map[string]float64 }

// PeerSpeeds is what the other instances know of the backend servers' speeds.
type PeerSpeeds struct{ Rows []speed.Row }

// PeerOutliers is what the other instances have lately seen of the backend servers' failures.
type PeerOutliers struct{ Rows []outlier.Row }

// PeerDemand is the sum of what the callers of the other instances ask for. Instances is the number of instances in
// it.
type PeerDemand struct {
	Demand    []admission.Demand
	Instances int
}

// RolloutUpdated replaces the state of a service's roll-out.
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
func (ServerStated) event()          {}
func (PeerCrashes) event()           {}
func (FleetSize) event()             {}
func (RolloutUpdated) event()        {}
func (PeerSessions) event()          {}
func (Stopping) event()              {}
func (DomainsDrained) event()        {}
func (PeerLoads) event()             {}
func (PeerLimits) event()            {}
func (PeerLeaving) event()           {}
func (PeerBrittle) event()           {}
func (PeerPermitReleased) event()    {}
func (PeerSpeeds) event()            {}
func (PeerOutliers) event()          {}
func (PeerDemand) event()            {}
func (Neighbours) event()            {}
func (RemoteNeighbours) event()      {}

// Command is an output of Tick. The set is closed.
type Command interface{ command() }

// Dispatch sends the request to a backend server.
type Dispatch struct {
	Request RequestID
	Server  Server
	// Attempt numbers the request's dispatches from 1.
	Attempt int
	// Model is the chosen model if the request leaves the choice to the router.
	Model string
	// FirstByteTimeout bounds the time to the first byte; 0 for no bound of its own.
	FirstByteTimeout time.Duration
	// Load is the server's forecast load with this request, LoadAge the age of the server's last
	// report, 0 if there is none; for the log.
	Load    int
	LoadAge time.Duration
	// Peers are the peers that have permits for the server, which this instance has not: the request is sent
	// through the first one with a free permit. Empty if it is sent by this instance itself.
	Peers []string
	// Holders are the instances to ask for a grant, in rank, and GrantRequest is the question; Holders is empty if none
	// is needed or this instance is the server's holder. The request is sent GrantWait after that.
	Holders      []string
	GrantRequest GrantRequest
	GrantWait    time.Duration
	// Limit is the server's known rate limit, for the log.
	Limit RateLimit
	// PrefillWait is how long the prompt is expected to wait at the server for other prompts.
	PrefillWait time.Duration
	// Speed is the factor by which the server was chosen, StatedSlowdown the server's newest statement and StatedAge
	// its age, for the log; all are 0 if the service states no speeds, the last two if this server has stated none.
	Speed          float64
	StatedSlowdown float64
	StatedAge      time.Duration
	// At is the time of the dispatch, Forecast when the response's last event is expected after it; 0 if that is not
	// forecast.
	At       time.Time
	Forecast time.Duration
	// Utilization is the forecast fraction of the service's slots that are taken,
	// MeanPrefillWait the mean wait of prompts at its servers, and RetriesLeft the rest of the
	// retry budget: the inputs to the choice of the model.
	Utilization     float64
	MeanPrefillWait time.Duration
	RetriesLeft     float64
	// The following are set only if the instances decide together who gets the larger models. Pooled is true if
	// Utilization and MeanPrefillWait are those of all instances; LargerModel if the chosen model is not the smallest.
	Pooled      bool
	LargerModel bool
	// WaitedForLarger is how long the request has waited for a larger model, SinceArrival how long ago it arrived.
	WaitedForLarger time.Duration
	SinceArrival    time.Duration
}

// Refuse ends a request that has not run.
type Refuse struct {
	Request    RequestID
	Reason     Reason
	RetryAfter time.Duration
	// Forecast is the least time that the response takes and TimeLeft that to the deadline, for ReasonNoTime.
	Forecast, TimeLeft time.Duration
	// Admission is what the refusal is based on if admission is shared, else nil.
	Admission *AdmissionState
}

// Finish ends a request that may have run, without another attempt. Its caller gets the last
// attempt's failure, or an error that leaves open whether the request ran.
type Finish struct {
	Request RequestID
	Reason  Reason
}

// Observation is the outcome of an attempt, for all instances to judge a roll-out by.
type Observation struct {
	Service string
	Route   string
	Version string
	Bad     bool
	// ConnectionLost is true if the connection broke, as it does when Server crashes.
	ConnectionLost bool
	Server         string
	// TimingOnly is true if only the response's times count, not whether it is good or bad.
	TimingOnly bool
	// FirstByte and EventInterval compare the times of the target version's responses with the
	// old version's.
	FirstByte     LogRatioStats
	EventInterval LogRatioStats
}

// CrashSuspected reports that a request seems to have crashed a backend server.
type CrashSuspected struct {
	Fingerprint uint64
}

// RefreshServers asks for the list of backend servers to be read at once, as Server may have
// gone.
type RefreshServers struct{ Server string }

// SlowStartCause is the reason for which servers enter slow start.
type SlowStartCause string

// The causes of a slow start.
const (
	CauseListed          SlowStartCause = "listed"
	CauseRestarted       SlowStartCause = "started_again"
	CauseServerLost      SlowStartCause = "lost"
	CauseDomainLost      SlowStartCause = "failure_domain_lost"
	CauseDomainUndrained SlowStartCause = "failure_domain_taken_back"
)

// SlowStartBegun reports that servers enter slow start: one, or all of a failure domain if Server
// is empty. ServerCount is their number, Duration the longest of their slow starts.
type SlowStartBegun struct {
	Server      string
	Domain      string
	ServerCount int
	Duration    time.Duration
	Cause       SlowStartCause
}

// RateLimitChanged reports that a server's rate limit has changed.
type RateLimitChanged struct {
	Server string
	Limit  RateLimit
	// Own is true if the server stated the limit to this instance, false if a peer reported it;
	// Age is the time since then.
	Own bool
	Age time.Duration
}

// ServerLeaving reports that a server has stated for the first time that it is leaving: to this instance
// if Own is true, else to a peer.
type ServerLeaving struct {
	Server string
	Own    bool
}

// BackoffStated reports that a server wants no requests from this instance for the duration.
type BackoffStated struct {
	Server   string
	Duration time.Duration
}

// ServerEjected reports that a server is ejected by the evidence of all instances, or is used again.
type ServerEjected struct {
	Server  string
	Ejected bool
	// Failed and Total count the failed and all attempts of all instances that this was decided by, the earlier ones
	// with less weight. For is how long the server is ejected before it is tried again.
	Failed, Total float64
	For           time.Duration
}

// BrittleChanged reports that the servers of a service state that they are brittle, or no longer do.
type BrittleChanged struct {
	Service   string
	Brittle   bool
	PerSecond float64
}

func (Dispatch) command()         {}
func (Refuse) command()           {}
func (Finish) command()           {}
func (Observation) command()      {}
func (CrashSuspected) command()   {}
func (RefreshServers) command()   {}
func (SlowStartBegun) command()   {}
func (RateLimitChanged) command() {}
func (ServerLeaving) command()    {}
func (BackoffStated) command()    {}
func (ServerEjected) command()    {}
func (BrittleChanged) command()   {}

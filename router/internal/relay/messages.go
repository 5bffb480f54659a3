package relay

import (
	"time"

	"masticplank.example/coordination/keyedlog"
)

// The JSON-RPC methods.
const (
	methodRead    = "read"
	methodNewest  = "newest"
	methodAppend  = "append"
	methodLoads   = "loads"
	methodMembers = "members"
)

// readParams requests the records of a topic from an offset on. An era of 0 means that the
// requester does not know it.
type readParams struct {
	Topic string `json:"topic"`
	From  uint64 `json:"from"`
	Era   uint64 `json:"era,omitempty"`
	// WaitMS is how long to wait for a record, in ms.
	WaitMS int64 `json:"wait_ms"`
	// MaxAgeMS is the largest age that the requester accepts, in ms. An older state is returned
	// without waiting.
	MaxAgeMS int64 `json:"oldest_ms"`
}

// newestParams requests the newest record of each key.
type newestParams struct {
	Topic string `json:"topic"`
}

// appendParams carries records to be appended unconditionally.
type appendParams struct {
	Topic   string            `json:"topic"`
	Records []keyedlog.Record `json:"records"`
}

// membersParams requests the instances of failure domains.
type membersParams struct {
	Domains []string `json:"domains"`
}

// loadsParams is the load report of an instance and of those that ask it.
type loadsParams struct {
	// Name is the name of the reporting instance.
	Name string `json:"name"`
	// Rows are the loads at the backend servers, as packLoads encodes them.
	Rows []byte `json:"rows"`
	// Tokens are the sizes of the requests in Rows, as packTokens encodes them.
	Tokens []byte `json:"tokens,omitempty"`
	// Limits are the rate limits that backend servers stated to them, as packLimits encodes them.
	Limits []byte `json:"limits,omitempty"`
	// Leaving are the hashes of the backend servers' processes that stated to them that they are
	// leaving.
	Leaving []uint64 `json:"leaving,omitempty"`
	// Brittle are the services whose backend servers stated to them that they are brittle.
	Brittle map[string]float64 `json:"brittle,omitempty"`
	// Speeds are the backend servers' speeds, as packSpeeds encodes them, Demand the demand for services, as
	// packDemand encodes it.
	Speeds []byte `json:"speeds,omitempty"`
	Demand []byte `json:"demand,omitempty"`
	// Outliers are the failures that they have lately seen at backend servers, as packOutliers encodes them.
	Outliers []byte `json:"outliers,omitempty"`
	// Crashes is the evidence of crashed backend servers.
	Crashes packedEvidence `json:"evidence,omitzero"`
	// FoundBad are the hashes of the roll-outs whose versions they find bad.
	FoundBad []uint64 `json:"found_bad,omitempty"`
	// LostConfigVersion is the version of the configuration that they know and that the store
	// lacks.
	LostConfigVersion uint64 `json:"lost_config,omitempty"`
	// Instances is the number of instances that the report covers.
	Instances int `json:"instances"`
}

// answer is a collector's answer to any method.
type answer struct {
	Records []keyedlog.Record `json:"records,omitempty"`
	// Packed are the records in compressed form, if there are many.
	Packed []byte `json:"packed,omitempty"`
	// Next is the offset at which the next read continues.
	Next uint64 `json:"next"`
	// Era is that of the records and of Next; 0 if unknown.
	Era uint64 `json:"era,omitempty"`
	// AgeUS is the age of the state when the answer was made, in microseconds.
	AgeUS int64 `json:"age_us"`
	// SteadyUS is for how long the collector has read the topic without interruption, in
	// microseconds; 0 if unknown.
	SteadyUS int64 `json:"steady_us,omitempty"`
	// TookUS is how long the request was processed at the collector, in microseconds.
	TookUS int64 `json:"took_us"`
	// Loads is the known load of other instances at the backend servers, Limits the rate limits
	// that backend servers stated to those instances, Leaving the processes that stated to them that
	// they are leaving, and Instances the number of instances.
	Loads []byte `json:"loads,omitempty"`
	// Tokens are the sizes of the requests in Loads.
	Tokens  []byte   `json:"tokens,omitempty"`
	Limits  []byte   `json:"limits,omitempty"`
	Leaving []uint64 `json:"leaving,omitempty"`
	// Brittle, Speeds, Demand, Outliers, Crashes, FoundBad and LostConfigVersion are as in loadsParams.
	Brittle           map[string]float64 `json:"brittle,omitempty"`
	Speeds            []byte             `json:"speeds,omitempty"`
	Demand            []byte             `json:"demand,omitempty"`
	Outliers          []byte             `json:"outliers,omitempty"`
	Crashes           packedEvidence     `json:"evidence,omitzero"`
	FoundBad          []uint64           `json:"found_bad,omitempty"`
	LostConfigVersion uint64             `json:"lost_config,omitempty"`
	Instances         int                `json:"instances,omitempty"`
	// Members are the instances of the failure domains that were asked for.
	Members []Member `json:"members,omitempty"`
	// Fleet is the number of instances of all failure domains.
	Fleet int `json:"fleet,omitempty"`
}

// position returns where the next read continues.
func (a answer) position() keyedlog.Position { return keyedlog.Position{Era: a.Era, Offset: a.Next} }

// age returns the answer's maximum age on arrival, given the duration of the whole call: the time
// in transit may have passed entirely before or after the answer was made.
func (a answer) age(callDuration time.Duration) time.Duration {
	processed := time.Duration(a.TookUS) * time.Microsecond
	return time.Duration(a.AgeUS)*time.Microsecond + max(callDuration-processed, 0)
}

// Error codes, in addition to those of JSON-RPC.
const (
	// codeNotApplied: the collector does not have the requested state, or failed.
	codeNotApplied = 1
	// codeTrimmed: the requested records are no longer kept.
	codeTrimmed = 2
)

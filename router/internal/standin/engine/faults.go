package engine

import (
	"time"

	"masticplank.example/router/internal/standin/faults"
)

// CrashMark in a prompt crashes the engine that runs it if the fault CrashOnMark
// is on.
const CrashMark = "<crash>"

// defaultDowntime is how long a crashed engine stays down if CrashMS is 0.
const defaultDowntime = 2 * time.Second

// Faults of the engine.
type Faults struct {
	faults.Common
	// LateMS delays the first token, in milliseconds.
	LateMS int `json:"late_ms,omitempty"`
	// SlowFactor multiplies the durations that a Version sets, but not LateMS; 0
	// means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Leaving refuses new requests with 503, and is stated in the load report.
	Leaving bool `json:"leaving,omitempty"`
	// SilentLeaving keeps Leaving out of the load report.
	SilentLeaving bool `json:"silent_leaving,omitempty"`
	// Busy refuses requests with 429, as not run.
	Busy faults.Count `json:"busy,omitempty"`
	// ErrorRate is the share (0 to 1) of requests that fail with 500 after the
	// prefill, by version.
	ErrorRate map[string]float64 `json:"error_rate,omitempty"`
	// Quality replaces a version's quality, to simulate a bad version.
	Quality map[string]float64 `json:"quality,omitempty"`
	// CrashOnMark makes CrashMark in a prompt crash the engine.
	CrashOnMark bool `json:"crash_on_mark,omitempty"`
	// CrashMS is how long a crashed engine stays down; 0 means 2 s.
	CrashMS int `json:"crash_ms,omitempty"`
	// Truncate aborts the connection halfway through the answer.
	Truncate faults.Count `json:"truncate,omitempty"`
	// EndEarly ends the response of a stream normally halfway, without the last
	// chunk and the end marker.
	EndEarly faults.Count `json:"end_early,omitempty"`
	// WrongNonce echoes another attempt's nonce.
	WrongNonce faults.Count `json:"wrong_nonce,omitempty"`
	// Crossed sends the answer to another request, with another attempt's nonce.
	Crossed faults.Count `json:"crossed,omitempty"`
	// DuplicateChunk sends one chunk of a stream twice.
	DuplicateChunk faults.Count `json:"duplicate_chunk,omitempty"`
	// LostReply aborts the connection after the whole answer was generated.
	LostReply faults.Count `json:"lost_reply,omitempty"`
	// CacheGaps omits cache events, which leaves gaps in their sequence numbers.
	CacheGaps faults.Count `json:"cache_gaps,omitempty"`
}

// downtime returns how long the engine stays down after a crash.
func (f Faults) downtime() time.Duration {
	if f.CrashMS == 0 {
		return defaultDowntime
	}
	return time.Duration(f.CrashMS) * time.Millisecond
}

// scaled returns d multiplied by SlowFactor.
func (f Faults) scaled(d time.Duration) time.Duration {
	if f.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowFactor)
}

package engine

import (
	"time"

	"masticplank.example/router/internal/standin/faults"
)

// CrashMark in a prompt crashes the engine that runs it, while the fault
// CrashOnMark is on.
const CrashMark = "<crash>"

// defaultCrash is how long a crashed engine stays away.
const defaultDowntime = 2 * time.Second

// Faults of the engine.
type Faults struct {
	faults.Common
	// LateMS is added before the first token.
	LateMS int `json:"late_ms,omitempty"`
	// SlowFactor multiplies all times of generation; 0 is 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Leaving refuses new work with 503, and says so in the load report.
	Leaving bool `json:"leaving,omitempty"`
	// SilentLeaving keeps Leaving out of the load report.
	SilentLeaving bool `json:"silent_leaving,omitempty"`
	// Busy refuses requests with 429, as not run.
	Busy faults.Count `json:"busy,omitempty"`
	// ErrorRate is the part (0 to 1) of requests that fail with 500 after
	// running, by version.
	ErrorRate map[string]float64 `json:"error_rate,omitempty"`
	// Quality replaces a version's quality, as when it turns bad.
	Quality map[string]float64 `json:"quality,omitempty"`
	// CrashOnMark makes CrashMark in a prompt crash the engine.
	CrashOnMark bool `json:"crash_on_mark,omitempty"`
	// CrashMS is how long a crashed engine stays away; 0 is 2 s.
	CrashMS int `json:"crash_ms,omitempty"`
	// Truncate cuts the answer halfway.
	Truncate faults.Count `json:"truncate,omitempty"`
	// EndEarly ends a stream cleanly halfway, without its last chunk and end.
	EndEarly faults.Count `json:"end_early,omitempty"`
	// WrongNonce echoes another attempt's nonce.
	WrongNonce faults.Count `json:"wrong_nonce,omitempty"`
	// Crossed answers another request's prompt, with that attempt's nonce.
	Crossed faults.Count `json:"crossed,omitempty"`
	// DuplicateChunk sends one chunk of a stream twice.
	DuplicateChunk faults.Count `json:"duplicate_chunk,omitempty"`
	// LostReply cuts the connection after the whole answer was generated.
	LostReply faults.Count `json:"lost_reply,omitempty"`
	// CacheGaps loses cache events.
	CacheGaps faults.Count `json:"cache_gaps,omitempty"`
}

// crashFor is how long a crash keeps the engine away.
func (f Faults) downtime() time.Duration {
	if f.CrashMS == 0 {
		return defaultDowntime
	}
	return time.Duration(f.CrashMS) * time.Millisecond
}

// scaled is d under SlowFactor.
func (f Faults) scaled(d time.Duration) time.Duration {
	if f.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowFactor)
}

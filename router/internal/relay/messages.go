package relay

import (
	"time"

	"masticplank.example/coordination/keyedlog"
)

// The methods.
const (
	methodRead   = "read"
	methodNewest = "newest"
	methodAppend = "append"
	methodLoads  = "loads"
)

// readParams asks for the records of a topic from an offset on. An era of 0 is one that the asker
// does not know.
type readParams struct {
	Topic  string `json:"topic"`
	From   uint64 `json:"from"`
	Era    uint64 `json:"era,omitempty"`
	WaitMS int64  `json:"wait_ms"`
	// OldestMS is the age past which an answer is of no use, and is given at once.
	MaxAgeMS int64 `json:"oldest_ms"`
}

// newestParams asks for the newest record of each key.
type newestParams struct {
	Topic string `json:"topic"`
}

// appendParams hands records over to be appended, without a condition.
type appendParams struct {
	Topic   string            `json:"topic"`
	Records []keyedlog.Record `json:"records"`
}

// loadsParams tells what an instance, and those that ask it, have at the engines.
type loadsParams struct {
	Name string `json:"name"`
	Rows []byte `json:"rows"`
	// Limits are the rate limits that they were told.
	Limits []byte `json:"limits,omitempty"`
	// LostConfig is the version of the configuration that they know and that the store lacks.
	LostConfigVersion uint64 `json:"lost_config,omitempty"`
	// Instances is how many they are.
	Instances int `json:"instances"`
}

// answer is what a collector knows.
type answer struct {
	Records []keyedlog.Record `json:"records,omitempty"`
	// Packed are the records, compressed, where they are many.
	Packed []byte `json:"packed,omitempty"`
	Next   uint64 `json:"next"`
	// Era is the one of the records and of Next; 0 where it is not known.
	Era uint64 `json:"era,omitempty"`
	// AgeUS is how old that is, in microseconds, at the time of answering.
	AgeUS int64 `json:"age_us"`
	// TookUS is how long the question waited at the collector.
	TookUS int64 `json:"took_us"`
	// Loads is what other instances have at the engines, as far as known, Instances how many
	// they are.
	Loads  []byte `json:"loads,omitempty"`
	Limits []byte `json:"limits,omitempty"`
	// LostConfig is as in loadsParams.
	LostConfigVersion uint64 `json:"lost_config,omitempty"`
	Instances         int    `json:"instances,omitempty"`
	// Fleet is the number of instances of all failure domains.
	Fleet int `json:"fleet,omitempty"`
}

// position is where to go on from.
func (a answer) position() keyedlog.Position { return keyedlog.Position{Era: a.Era, Offset: a.Next} }

// age is how old the answer is at the latest when it comes in, after the time that the
// whole call took: what the way took may have been all before or all after the answering.
func (a answer) age(callDuration time.Duration) time.Duration {
	waited := time.Duration(a.TookUS) * time.Microsecond
	return time.Duration(a.AgeUS)*time.Microsecond + max(callDuration-waited, 0)
}

// The codes of errors.
const (
	codeNotDone = 1
	codeGone    = 2
)

package passthrough

import (
	"sync/atomic"
	"time"

	"masticplank.example/decision/passthrough"
)

// Knowledge is the configuration in force and how old the word on it is.
//
// The age counts from the start of the last read that confirmed it: a configuration that
// was written while the read was on its way may be missing from the answer.
type ConfigState struct {
	clock Clock
	bound atomic.Int64 // nanoseconds for which a key may be used unconfirmed
	index atomic.Pointer[passthrough.Index]
	// confirmed is the start of the last read that confirmed it, in Unix nanoseconds.
	confirmedAt atomic.Int64
	// lost is a version that another instance knows and the store lacks, told at lostAt.
	lostVersion    atomic.Uint64
	lostReportedAt atomic.Int64
}

// The parts of the revocation bound.
const (
	// refusePart is the part after which requests with keys are refused: what is left
	// is for the way to the backend server and for clocks that run unevenly.
	refuseFraction = 0.9
	// unreadyPart is the part after which readiness fails, so that the balancer, which
	// needs two seconds to notice, moves callers on before they are refused.
	unreadyFraction = 0.5
)

// NewKnowledge returns the knowledge of nothing; revoke is the revocation bound.
func NewConfigState(clock Clock, revoke time.Duration) *ConfigState {
	k := &ConfigState{clock: clock}
	k.SetBound(revoke)
	return k
}

// SetBound changes the revocation bound.
func (k *ConfigState) SetBound(revoke time.Duration) { k.bound.Store(int64(revoke)) }

// Bound is the revocation bound.
func (k *ConfigState) Bound() time.Duration { return time.Duration(k.bound.Load()) }

// Index is the configuration in force, or nil while none is known.
func (k *ConfigState) Index() *passthrough.Index { return k.index.Load() }

// Apply puts a configuration in force, unless a newer one is. It says whether it did.
// Only the reader of the operator's records calls it.
func (k *ConfigState) Apply(c passthrough.Config) (*passthrough.Index, bool) {
	if old := k.index.Load(); old != nil && c.Version <= old.Version {
		return old, false
	}
	x := passthrough.NewIndex(c)
	k.index.Store(x)
	return x, true
}

// Confirm notes that a read which began at the time showed what is known to be current.
func (k *ConfigState) Confirm(began time.Time) {
	if k.isSuperseded() {
		return
	}
	if at := began.UnixNano(); at > k.confirmedAt.Load() {
		k.confirmedAt.Store(at)
	}
}

// Age is how old the word on the configuration is.
func (k *ConfigState) Age() time.Duration {
	at := k.confirmedAt.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return k.clock.Now().Sub(time.Unix(0, at))
}

// lostVersionLife is how long a report counts that the store lacks a version: it comes several times a
// second.
const lostVersionTTL = 2 * time.Second

// NoteLostVersion takes in the highest version that another instance knows and that the store lacks since
// it came back from a copy; 0 for none. What this instance confirmed by the copy does not count then,
// also once nobody can tell it any more.
func (k *ConfigState) ReportLostVersion(version uint64) {
	if version == 0 {
		return
	}
	k.lostVersion.Store(version)
	k.lostReportedAt.Store(k.clock.Now().UnixNano())
	if k.isSuperseded() {
		k.confirmedAt.Store(0)
	}
}

// isSuperseded says whether another instance knows a later configuration, which the store has lost.
//
// Load: an instance that starts right after the store came back from a copy. Harm prevented: keys
// that were taken away, accepted by the configuration of the copy.
func (k *ConfigState) isSuperseded() bool {
	told := time.Unix(0, k.lostReportedAt.Load())
	index := k.index.Load()
	return index != nil && index.Version < k.lostVersion.Load() && k.clock.Now().Sub(told) < lostVersionTTL
}

// Fresh says whether keys may be used.
func (k *ConfigState) Fresh() bool { return k.ageWithin(refuseFraction) }

// Ready says whether callers should be sent here.
func (k *ConfigState) Ready() bool { return k.Index() != nil && k.ageWithin(unreadyFraction) }

func (k *ConfigState) ageWithin(part float64) bool {
	return float64(k.Age()) < part*float64(k.bound.Load())
}

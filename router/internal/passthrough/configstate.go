package passthrough

import (
	"sync/atomic"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/connlimit"
)

// ConfigState holds the configuration in force and when it was last confirmed to be current.
// It is safe for concurrent use.
//
// The configuration's age counts from the time as of which the store was read: the start of the last
// read that confirmed the configuration, unless the result states its age. A configuration that is
// written while the read is in progress may be missing from the result.
type ConfigState struct {
	clock Clock
	bound atomic.Int64 // nanoseconds for which a key may be accepted without confirmation
	index atomic.Pointer[passthrough.Index]
	// confirmedAt is the latest time as of which a read confirmed the configuration, in Unix
	// nanoseconds; 0 for never.
	confirmedAt atomic.Int64
	// lostVersion is the highest version that a peer knows and a restored store lacks, reported
	// at lostReportedAt (Unix nanoseconds).
	lostVersion    atomic.Uint64
	lostReportedAt atomic.Int64
}

// Fractions of the revocation bound.
const (
	// refuseFraction is the age from which requests with keys are refused. The remainder of the
	// bound covers the time to reach the backend server and clock drift.
	refuseFraction = 0.9
	// unreadyFraction is the age from which readiness fails, so that the load balancer,
	// which needs two seconds to notice, sends callers to other instances before they are
	// refused.
	unreadyFraction = 0.5
)

// NewConfigState returns a state without a configuration. revoke is the revocation bound: how
// long a revoked key may still be accepted.
func NewConfigState(clock Clock, revoke time.Duration) *ConfigState {
	s := &ConfigState{clock: clock}
	s.SetBound(revoke)
	return s
}

// SetBound changes the revocation bound.
func (s *ConfigState) SetBound(revoke time.Duration) { s.bound.Store(int64(revoke)) }

// Bound returns the revocation bound.
func (s *ConfigState) Bound() time.Duration { return time.Duration(s.bound.Load()) }

// Index returns the configuration in force, or nil while none is known.
func (s *ConfigState) Index() *passthrough.Index { return s.index.Load() }

// initialLimits are the limits of callers while no configuration is known.
var initialLimits = connlimit.Limits{HeadBytes: 64 << 10, HeadTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// callerLimits returns the limits of callers in force.
func (s *ConfigState) callerLimits() connlimit.Limits {
	x := s.Index()
	if x == nil {
		return initialLimits
	}
	return connlimit.Limits{HeadBytes: x.Limits.MaxHeaderBytes, HeadTimeout: x.Limits.HeaderTimeout, IdleTimeout: x.Limits.IdleTimeout}
}

// Apply puts a configuration in force, unless the version in force is the same or newer. It
// returns the configuration in force and whether it changed. Only the reader of the operator's
// records may call it.
func (s *ConfigState) Apply(c passthrough.Config) (*passthrough.Index, bool) {
	if old := s.index.Load(); old != nil && c.Version <= old.Version {
		return old, false
	}
	x := passthrough.NewIndex(c)
	s.index.Store(x)
	return x, true
}

// Confirm records that a read found the configuration in force to be current as of the given time. It
// has no effect while a peer reports a later version.
func (s *ConfigState) Confirm(asOf time.Time) {
	if s.isSuperseded() {
		return
	}
	if at := asOf.UnixNano(); at > s.confirmedAt.Load() {
		s.confirmedAt.Store(at)
	}
}

// Age returns how long ago the configuration is last known to have been current; the longest duration
// if it was never confirmed.
func (s *ConfigState) Age() time.Duration {
	at := s.confirmedAt.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return s.clock.Now().Sub(time.Unix(0, at))
}

// lostVersionTTL is how long a report of a lost version is valid; peers send it several times a
// second.
const lostVersionTTL = 2 * time.Second

// ReportLostVersion records the highest version that a peer knows and a restored store lacks; 0 for
// none. If that version is later than the one in force, earlier confirmations by the restored store
// are discarded; they do not become valid again when the report expires.
func (s *ConfigState) ReportLostVersion(version uint64) {
	if version == 0 {
		return
	}
	s.lostVersion.Store(version)
	s.lostReportedAt.Store(s.clock.Now().UnixNano())
	if s.isSuperseded() {
		s.confirmedAt.Store(0)
	}
}

// isSuperseded reports whether a peer knows a later configuration, which the store has lost.
//
// Load: an instance starts right after a restore. Harm prevented: it accepts keys that the lost
// configuration revoked.
func (s *ConfigState) isSuperseded() bool {
	reportedAt := time.Unix(0, s.lostReportedAt.Load())
	index := s.index.Load()
	return index != nil && index.Version < s.lostVersion.Load() && s.clock.Now().Sub(reportedAt) < lostVersionTTL
}

// Fresh reports whether the configuration was confirmed recently enough to accept keys by it.
func (s *ConfigState) Fresh() bool { return s.ageWithin(refuseFraction) }

// Ready reports whether the load balancer should send callers here.
func (s *ConfigState) Ready() bool { return s.Index() != nil && s.ageWithin(unreadyFraction) }

func (s *ConfigState) ageWithin(fraction float64) bool {
	return float64(s.Age()) < fraction*float64(s.bound.Load())
}

package verdict

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// CrashConfig holds the parameters of Crashes.
type CrashConfig struct {
	// MaxServers is the number of crashed backend servers at which a request is
	// quarantined. The default is two: one crash may be the server's own fault,
	// and with three a single caller could take down a small pool.
	MaxServers int
	// CrashTTL is how long a request's crashes count after the last one: as long
	// as callers are expected to retry.
	CrashTTL time.Duration
	// Quarantine is how long a quarantine lasts. It is bounded, since a new
	// version may well be able to run the request.
	Quarantine time.Duration
	// MaxFingerprints bounds the fingerprints kept; the least recently used are
	// dropped first.
	MaxFingerprints int
}

// DefaultCrashConfig returns the defaults.
func DefaultCrashConfig() CrashConfig {
	return CrashConfig{
		MaxServers:      2,
		CrashTTL:        10 * time.Minute,
		Quarantine:      30 * time.Minute,
		MaxFingerprints: 4096,
	}
}

// Crashes counts crashed backend servers per request fingerprint; copies of a
// request are those with the same fingerprint. It guards against a request that
// crashes every backend server that it runs on while its caller retries it: without
// a quarantine it would take the whole pool down.
type Crashes[F comparable] struct {
	cfg     CrashConfig
	crashes *simplelru.LRU[F, *crashCounts]
}

// crashCounts holds the counts of one fingerprint.
type crashCounts struct {
	crashedServers   int
	running          int
	lastCrash        time.Time
	quarantinedUntil time.Time
}

// NewCrashes returns an empty table.
func NewCrashes[F comparable](cfg CrashConfig) *Crashes[F] {
	cfg.MaxFingerprints = max(cfg.MaxFingerprints, 1)
	crashes, err := simplelru.NewLRU[F, *crashCounts](cfg.MaxFingerprints, nil)
	if err != nil {
		// The library fails only for a size below 1.
		panic(err)
	}
	return &Crashes[F]{cfg: cfg, crashes: crashes}
}

// CrashAdmission says whether a request may be dispatched, by its fingerprint.
type CrashAdmission uint8

const (
	// CrashAllowed: the request may be dispatched.
	CrashAllowed CrashAdmission = iota + 1
	// CrashWait: leave the request queued. A copy of it is running, and if both
	// crashed their servers, the limit would be exceeded.
	CrashWait
	// CrashQuarantined: refuse the request.
	CrashQuarantined
)

// Admit reports whether the request may be dispatched. Of a request that has
// crashed a server, no more copies run at once than may crash theirs until
// MaxServers is reached: one, with the default of two. So a caller that sends many
// copies at once cannot exceed the limit. until is set for CrashQuarantined only.
func (t *Crashes[F]) Admit(f F, now time.Time) (a CrashAdmission, until time.Time) {
	c := t.unexpired(f, now)
	if c == nil {
		return CrashAllowed, time.Time{}
	}
	if c.quarantinedUntil.After(now) {
		return CrashQuarantined, c.quarantinedUntil
	}
	if c.crashedServers > 0 && c.crashedServers+c.running >= t.cfg.MaxServers {
		return CrashWait, time.Time{}
	}
	return CrashAllowed, time.Time{}
}

// unexpired returns the counts of f, or nil if there are none or they have
// expired.
func (t *Crashes[F]) unexpired(f F, now time.Time) *crashCounts {
	c, ok := t.crashes.Get(f)
	if !ok {
		return nil
	}
	if c.quarantinedUntil.After(now) || now.Sub(c.lastCrash) <= t.cfg.CrashTTL {
		return c
	}
	t.crashes.Remove(f)
	return nil
}

// AttemptStarted counts a dispatch of a request that has crashed a server
// before. It reports whether the dispatch was counted; pass that to
// AttemptEnded. Requests without a crash need no entry, and copies that were
// running already at the first crash are not counted.
func (t *Crashes[F]) AttemptStarted(f F, now time.Time) (counted bool) {
	c := t.unexpired(f, now)
	if c == nil {
		return false
	}
	c.running++
	return true
}

// AttemptEnded records the end of an attempt; counted is the result of
// AttemptStarted, and crashed is true if the attempt crashed its server. If
// quarantine is true, the request has reached the limit and must be refused by
// all instances until the time returned.
func (t *Crashes[F]) AttemptEnded(f F, counted, crashed bool, now time.Time) (quarantine bool, until time.Time) {
	c := t.unexpired(f, now)
	if c != nil && counted {
		c.running = max(c.running-1, 0)
	}
	if !crashed {
		return false, time.Time{}
	}
	if c == nil {
		c = &crashCounts{}
		t.crashes.Add(f, c)
	}
	c.crashedServers++
	c.lastCrash = now
	if c.crashedServers < t.cfg.MaxServers || c.quarantinedUntil.After(now) {
		return false, time.Time{}
	}
	c.quarantinedUntil = now.Add(t.cfg.Quarantine)
	c.crashedServers = 0
	return true, c.quarantinedUntil
}

// ApplyQuarantine applies a quarantine from the log or a peer. It lasts no longer
// than the configured duration from now, and does not shorten a quarantine that
// is already in force.
func (t *Crashes[F]) ApplyQuarantine(f F, until, now time.Time) {
	if limit := now.Add(t.cfg.Quarantine); until.After(limit) {
		until = limit
	}
	if !until.After(now) {
		return
	}
	c := t.unexpired(f, now)
	if c == nil {
		c = &crashCounts{lastCrash: now}
		t.crashes.Add(f, c)
	}
	if until.After(c.quarantinedUntil) {
		c.quarantinedUntil = until
	}
}

// Len is the number of fingerprints kept.
func (t *Crashes[F]) Len() int { return t.crashes.Len() }

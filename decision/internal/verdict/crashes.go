package verdict

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// CrashConfig holds the limits of Crashes.
type CrashConfig struct {
	// MaxServers is how many backend servers a request may crash before it is
	// quarantined. Two: one crash may be the server's own fault, and a third
	// would let a single caller take out a small pool.
	MaxServers int
	// Remember is how long a crash counts: as long as callers send again.
	CrashTTL time.Duration
	// Quarantine is how long a request stays shut out. It is bounded, since a
	// new version may well run it.
	Quarantine time.Duration
	// Limit bounds the fingerprints kept; the least recently used go first.
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

// Crashes counts crashed backend servers per request fingerprint. It is made
// for the request that kills each backend server that runs it while its caller
// sends it again and again; unchecked it takes the whole pool down.
type Crashes[F comparable] struct {
	cfg  CrashConfig
	rows *simplelru.LRU[F, *crash]
}

// crash is one row of the table.
type crash struct {
	crashedServers   int
	running          int
	lastCrash        time.Time
	quarantinedUntil time.Time
}

// NewCrashes returns an empty table.
func NewCrashes[F comparable](cfg CrashConfig) *Crashes[F] {
	cfg.MaxFingerprints = max(cfg.MaxFingerprints, 1)
	rows, err := simplelru.NewLRU[F, *crash](cfg.MaxFingerprints, nil)
	if err != nil {
		// The library fails only for a size below 1.
		panic(err)
	}
	return &Crashes[F]{cfg: cfg, rows: rows}
}

// CrashAdmission says what to do with a request by its fingerprint.
type CrashAdmission uint8

const (
	// CrashClear: nothing is held against it.
	CrashAllowed CrashAdmission = iota + 1
	// CrashWait: a copy of it runs, and were both to crash, too many servers
	// would be down. Leave it queued.
	CrashWait
	// CrashQuarantined: refuse it.
	CrashQuarantined
)

// Admit says whether the request may be dispatched. Copies of a request that
// has crashed a server run one after the other, so that a caller that sends
// many at once cannot pass the limit. until is set for CrashQuarantined.
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

// fresh returns the row of f, or nil when there is none or its time is over.
func (t *Crashes[F]) unexpired(f F, now time.Time) *crash {
	c, ok := t.rows.Get(f)
	if !ok {
		return nil
	}
	if c.quarantinedUntil.After(now) || now.Sub(c.lastCrash) <= t.cfg.CrashTTL {
		return c
	}
	t.rows.Remove(f)
	return nil
}

// Started counts a dispatch of a request that has crashed a server before, and
// reports whether it did: hand that to Ended. Requests without a crash cost
// nothing, and copies that ran already at the first crash are not counted.
func (t *Crashes[F]) AttemptStarted(f F, now time.Time) (counted bool) {
	c := t.unexpired(f, now)
	if c == nil {
		return false
	}
	c.running++
	return true
}

// Ended takes in how an attempt ended; counted is what Started said of it. When
// it returns quarantine, the request has reached the limit and must be refused
// everywhere until the time given.
func (t *Crashes[F]) AttemptEnded(f F, counted, crashed bool, now time.Time) (quarantine bool, until time.Time) {
	c := t.unexpired(f, now)
	if c != nil && counted {
		c.running = max(c.running-1, 0)
	}
	if !crashed {
		return false, time.Time{}
	}
	if c == nil {
		c = &crash{}
		t.rows.Add(f, c)
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

// Learn takes in a quarantine from the log or a peer. It never holds longer
// than the own one would, and never shortens one.
func (t *Crashes[F]) ApplyQuarantine(f F, until, now time.Time) {
	if limit := now.Add(t.cfg.Quarantine); until.After(limit) {
		until = limit
	}
	if !until.After(now) {
		return
	}
	c := t.unexpired(f, now)
	if c == nil {
		c = &crash{lastCrash: now}
		t.rows.Add(f, c)
	}
	if until.After(c.quarantinedUntil) {
		c.quarantinedUntil = until
	}
}

// Len is the number of fingerprints kept.
func (t *Crashes[F]) Len() int { return t.rows.Len() }

// Package lease gives one instance at a time the right to send orders to
// backend servers. Each term of a lease is a register "lease/<name>/<term>", and
// the log offset of its winning Put is the fencing number of the term.
//
// Why it is safe: a term is a register, so it has one winner, and its offset is
// greater than that of every earlier term. A backend server that refuses lower
// fencing numbers is therefore protected whatever the clocks do. A server that
// ignores the number is protected by clocks only, and no clock is compared with
// another:
//
//   - The holder counts its term from before it sent the Put, and stops
//     MaxClockDrift plus MaxPause before the term's end. It checks right before
//     each order, so a pause before the check is detected, and a pause after it
//     that is shorter than MaxPause ends within the term.
//   - Any other instance counts the term from when it read it, which is later,
//     and takes the next term only after the end by this count. It then waits
//     for another Duration plus MaxClockDrift plus MaxPause before its first
//     order to a server that ignores the number.
//
// MaxClockDrift bounds how far two clocks drift apart within one term. After a
// pause between check and order that is longer than all these waits together,
// one outdated order can still be sent. Orders must therefore state the complete
// wanted state and be idempotent, and a new holder must reconcile.
package lease

import (
	"time"

	"masticplank.example/coordination/record"
)

// Config configures a lease. Zero durations take the documented defaults.
type Config struct {
	// Name identifies the lease, such as by the failure domain whose backend
	// servers it covers. It must not contain a slash.
	Name string
	// Holder is the name of this instance.
	Holder string
	// Duration is the length of one term. The default is 10 s: a crashed holder is
	// replaced within twice that, and a renewal, which costs one record, is due
	// every third of it.
	Duration time.Duration
	// MaxClockDrift is how far two clocks may drift apart within one term. The
	// default is 100 ms: 1% of the default term, several times the drift of a
	// usual clock.
	MaxClockDrift time.Duration
	// MaxPause bounds the time from a check until its order arrives. A backend
	// server that ignores fencing numbers is not protected against orders that take
	// longer. The default is 2 s.
	MaxPause time.Duration
}

const (
	defaultDuration      = 10 * time.Second
	defaultMaxClockDrift = 100 * time.Millisecond
	defaultMaxPause      = 2 * time.Second
	// termRetentionDurations is how long a term's register is kept, in multiples of
	// Duration. Until it expires, a late copy of the term's Put finds it taken.
	termRetentionDurations = 60
)

func (c Config) withDefaults() Config {
	if c.Duration <= 0 {
		c.Duration = defaultDuration
	}
	if c.MaxClockDrift <= 0 {
		c.MaxClockDrift = defaultMaxClockDrift
	}
	if c.MaxPause <= 0 {
		c.MaxPause = defaultMaxPause
	}
	return c
}

// FencingSupport is what a backend server does with a fencing number.
type FencingSupport uint8

const (
	// FencingEnforced means that the server refuses an order whose number is lower
	// than one that it has seen.
	FencingEnforced FencingSupport = iota + 1
	// FencingIgnored means that the server accepts any order.
	FencingIgnored
)

// CheckResult says whether an order may be sent now, and if not, why.
type CheckResult uint8

const (
	// Allowed means that the order may be sent.
	Allowed CheckResult = iota
	// NotHolder means that another instance or none holds the lease.
	NotHolder
	// Expired means that less than MaxClockDrift plus MaxPause is left of this
	// instance's term, or that it is over.
	Expired
	// WaitingForPredecessor means that an order of the previous holder may still
	// reach a server that ignores fencing numbers.
	WaitingForPredecessor
)

// term is the content of one register of the lease. An empty holder marks a
// hand-over.
type term struct {
	number   uint64
	holder   string
	duration time.Duration
	offset   uint64
	nonce    record.Nonce
}

// state is the lease as this instance knows it. It is pure: the caller supplies
// the time. Terms are ordered by offset.
type state struct {
	cfg Config
	// current is the newest term read from the log; known is false before the
	// first one.
	current term
	known   bool
	// blockedUntil is the end of the current term, counted from when this instance
	// read it. Until then the holder may still act, and no other instance proposes
	// the next term.
	blockedUntil time.Time
	// held is true if this instance has the current term; it may send orders until
	// validUntil.
	held       bool
	validUntil time.Time
	// ordersAllowedFrom is when a server that ignores fencing numbers may get the
	// first order.
	ordersAllowedFrom time.Time
	// handedOver is true if the current term is a hand-over, so nobody holds the
	// lease.
	handedOver bool
}

// observeTerm takes a term that was read from the log at now. sent is when this
// process sent the term's Put, zero for terms that it did not propose.
func (s *state) observeTerm(now time.Time, t term, sent time.Time) {
	if s.known && t.offset <= s.current.offset {
		return
	}
	renewed := s.held && t.holder == s.cfg.Holder && certainlyBefore(now, s.validUntil)
	afterHandOver := s.handedOver
	s.current, s.known = t, true
	s.handedOver = t.holder == ""
	if s.handedOver {
		s.held, s.blockedUntil = false, time.Time{}
		return
	}
	s.blockedUntil = now.Add(t.duration)
	s.held = t.holder == s.cfg.Holder && !sent.IsZero()
	if !s.held {
		return
	}
	s.validUntil = sent.Add(t.duration - s.cfg.MaxClockDrift - s.cfg.MaxPause)
	if !renewed && !afterHandOver {
		s.ordersAllowedFrom = now.Add(t.duration + s.cfg.MaxClockDrift + s.cfg.MaxPause)
	}
	if afterHandOver {
		s.ordersAllowedFrom = now
	}
}

// observeRelease takes the Release of a term. The instance that proposed the term
// sends no order under it from now on, but the holder of the previous term may
// still act, so blockedUntil stays.
func (s *state) observeRelease(nonce record.Nonce) {
	if s.known && s.current.nonce == nonce {
		s.held = false
	}
}

// mayAcquire reports whether this instance may propose the next term now.
func (s *state) mayAcquire(now time.Time) bool {
	return !s.known || s.held || certainlyReached(now, s.blockedUntil)
}

// check returns whether an order may be sent now, and under which fencing
// number.
func (s *state) check(now time.Time, fencing FencingSupport) (uint64, CheckResult) {
	switch {
	case !s.held:
		return 0, NotHolder
	case !certainlyBefore(now, s.validUntil):
		return 0, Expired
	case fencing == FencingIgnored && !certainlyReached(now, s.ordersAllowedFrom):
		return 0, WaitingForPredecessor
	default:
		return s.current.offset, Allowed
	}
}

// certainlyBefore and certainlyReached compare by the monotonic and by the wall
// clock, and are true only if both agree: the monotonic clock stops while a
// virtual machine is suspended, and the wall clock may be set.
func certainlyBefore(now, end time.Time) bool {
	return now.Before(end) && now.Round(0).Before(end.Round(0))
}

func certainlyReached(now, end time.Time) bool {
	return !now.Before(end) && !now.Round(0).Before(end.Round(0))
}

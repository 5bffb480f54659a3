// Package lease gives one instance at a time the right to send orders, by
// registers "lease/<name>/<term>" and with their offsets as fencing numbers.
//
// Why it is safe. A term is a register, so it has one winner, and its offset is
// greater than that of every term before it: an engine that refuses a lower
// fencing number is protected whatever the clocks do. For an engine that
// ignores the number there are only clocks, and no two of them are compared:
//
//   - The holder counts the lease from before it sent its Put, and stops
//     ClockBound plus PauseGuard before its end. It checks right before each
//     order, so a pause before the check is seen, and a pause after it that is
//     shorter than PauseGuard ends inside the lease.
//   - Another instance counts the lease from when it read it, which is later,
//     and takes the next term no sooner than its end. It then waits for another
//     Duration plus ClockBound plus PauseGuard before its first order.
//
// ClockBound bounds how far two clocks drift apart within one lease. A pause
// after the check that is longer than all these waits together can still let
// one old order out; so orders must state the whole wanted state and be
// idempotent, and the new holder reconciles.
package lease

import (
	"time"

	"masticplank.example/coordination/record"
)

// Config of a lease. Zero durations take the defaults.
type Config struct {
	// Name of the lease, such as the failure domain whose backend servers it
	// is for.
	Name string
	// Holder is the own instance's name.
	Holder string
	// Duration of one term. Default 10 s: a crashed holder is followed in
	// twice that, and renewing costs one record in a third of it.
	Duration time.Duration
	// ClockBound is how far two clocks may drift apart in one term. Default
	// 100 ms: 1% of it, several times what a machine's clock does.
	MaxClockDrift time.Duration
	// PauseGuard is the longest pause between a check and its order's arrival
	// that an engine without fencing is guarded against. Default 2 s.
	MaxPause time.Duration
}

const (
	defaultDuration   = 10 * time.Second
	defaultClockBound = 100 * time.Millisecond
	defaultPauseGuard = 2 * time.Second
	// keepTerms is how many durations a term's register outlives its lease, so
	// that a late copy of its Put finds it taken.
	termRetentionDurations = 60
)

func (c Config) withDefaults() Config {
	if c.Duration <= 0 {
		c.Duration = defaultDuration
	}
	if c.MaxClockDrift <= 0 {
		c.MaxClockDrift = defaultClockBound
	}
	if c.MaxPause <= 0 {
		c.MaxPause = defaultPauseGuard
	}
	return c
}

// Engine says what a backend server does with a fencing number.
type FencingSupport uint8

const (
	// EngineFences: it refuses orders with a number lower than one it has seen.
	FencingEnforced FencingSupport = iota + 1
	// EngineIgnores: it takes any order.
	FencingIgnored
)

// Refusal says why no order may be sent now.
type CheckResult uint8

const (
	// Allowed: the order may be sent.
	Allowed CheckResult = iota
	// NotHolder: another instance, or none, holds the lease.
	NotHolder
	// Lapsed: too little is left of the own term.
	Expired
	// Waiting: the one before may still act on an engine without fencing.
	WaitingForPredecessor
)

// term is what one register of the lease says.
type term struct {
	number   uint64
	holder   string
	duration time.Duration
	offset   uint64
	nonce    record.Nonce
}

// state is the lease as one instance knows it. Pure: the caller brings the
// time. Terms are ordered by their offsets.
type state struct {
	cfg     Config
	current term
	known   bool
	// blocked is until when the holder may believe in its lease, by the time
	// at which the own instance read it.
	blockedUntil time.Time
	// mine: the current term is the own; validUntil is when to stop.
	held       bool
	validUntil time.Time
	// ordersFrom is when an engine without fencing may get the first order.
	ordersAllowedFrom time.Time
	handedOver        bool
}

// won takes a term that was read from the log at the time now. sent is when the
// own instance sent its Put, zero for other's terms.
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

// released takes the Release of a term: its writer never acted on it. Whoever
// held the term before may, so the block stays.
func (s *state) observeRelease(nonce record.Nonce) {
	if s.known && s.current.nonce == nonce {
		s.held = false
	}
}

// takeable is from when the own instance may take the next term.
func (s *state) mayAcquire(now time.Time) bool {
	return !s.known || s.held || certainlyReached(now, s.blockedUntil)
}

// check decides whether an order may be sent now, under which fencing number.
func (s *state) check(now time.Time, engine FencingSupport) (uint64, CheckResult) {
	switch {
	case !s.held:
		return 0, NotHolder
	case !certainlyBefore(now, s.validUntil):
		return 0, Expired
	case engine == FencingIgnored && !certainlyReached(now, s.ordersAllowedFrom):
		return 0, WaitingForPredecessor
	default:
		return s.current.offset, Allowed
	}
}

// inside and past compare by both clocks, and each errs to the safe side: the
// monotonic clock stands still while a virtual machine is suspended, and the
// wall clock may be set.
func certainlyBefore(now, end time.Time) bool {
	return now.Before(end) && now.Round(0).Before(end.Round(0))
}

func certainlyReached(now, end time.Time) bool {
	return !now.Before(end) && !now.Round(0).Before(end.Round(0))
}

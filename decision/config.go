package decision

import "time"

// Config sets the limits of the decisions. DefaultConfig documents each value's
// reason; a zero in a field is taken as its default by NewWorld, except where
// noted.
type Config struct {
	// Seed makes every random choice repeatable.
	Seed uint64
	// Domain is the instance's own failure domain, for the small preference of
	// near servers; empty for none.
	Domain DomainID
	// DefaultDeadline is given to requests without one.
	DefaultDeadline time.Duration
	// QueueLimit bounds a team's queue, in requests, where the manifest does not.
	QueueLimit int
	// MaxAttempts bounds the attempts of one request, cascade steps included.
	MaxAttempts int
	// MaxCrashes is how many servers a request may crash before its quarantine.
	MaxCrashes int
	// QuarantineFor is the life of a quarantine.
	QuarantineDuration time.Duration
	// RetryRatio is the part of recent successes that may be retried or resent.
	RetryRatio float64
	// RetryFloor is how many retries and resends a team always has, refilled at
	// one a second.
	RetryFloor float64
	// RetryCap bounds what a team may save up.
	RetryCap float64
	// FreshnessGrace is how long queued work outlives the loss of freshness.
	FreshnessGrace time.Duration
	// PauseGap is the time between two ticks that counts as a pause of the process.
	PauseThreshold time.Duration
	// PauseHold is how long nothing is dispatched after a pause, unless the
	// freshness is told anew before.
	ResumeDelay time.Duration
	// ReportLife is how long a load report counts.
	LoadReportTTL time.Duration
	// Overcommit is the part of a server's slots by which instances that run
	// nothing there may pass them, by what the server reports.
	Overcommit float64
	// RefusedBackoff keeps a server that refused an attempt out of the choice.
	RefusedBackoff time.Duration
	// RetryAfterMin is the least RetryAfter of a refusal that time may cure.
	RetryAfterMin time.Duration
	// RateBudget is how long a held answer may wait for its rating.
	RatingTimeout time.Duration
	// DrainWindow is the half-life of the measured drain rate.
	DrainRateHalfLife time.Duration
	// WaitMargin multiplies the estimated wait at admission.
	WaitMargin float64
	// BurstFor is how long a queue may stand before it counts as overload, and the
	// half-life of what is remembered of earlier queues.
	BurstDuration time.Duration
	// StandingWait bounds the wait in overload, as a part of the time to the
	// deadline.
	OverloadAdmitWait float64
	// Patience is the part of its time that a request may stay queued, whatever
	// the estimate said.
	OverloadWait float64
	// PromptWeight is the cost of a prompt token in generated tokens.
	PromptTokenCost float64
	// DefaultTokens sizes requests that name no MaxTokens.
	DefaultMaxTokens int
	// IdleCredit is the work, in generated tokens, that a team which asked for less
	// than its share may be given ahead of the others.
	IdleCredit float64
	// ServiceCost sizes a call of a plain service, in generated tokens.
	ServiceCost float64
	// AffinityWeight is the worth of work saved by a cached prefix, in work.
	AffinityWeight float64
	// AffinityBound is the load, as a part of capacity, past which a cached
	// prefix counts for nothing.
	AffinityMaxLoad float64
	// DomainWeight is the worth of a near server, in work.
	DomainWeight float64
	// ProbeEvery lets one request in so many through to a version judged bad.
	ProbeEvery int
	// SlowFactor is how many times its peers' pace makes a server slow.
	SlowFactor float64
	// MaxEjected caps the part of alike servers that is ejected at once.
	MaxEjected float64
	// Policy replaces single decisions by plain ones, to measure against. The
	// zero value is what is meant for use.
	Policy Policy
}

// Policy selects baselines for measurements.
type Policy struct {
	Placement Placement
	Cascade   Cascade
	// NoAffinity ignores prefix caches.
	NoAffinity bool
	// NoShift ignores verdicts on versions and ejects no servers.
	NoVerdicts bool
	// FirstCome queues all teams' requests in the order in which they came.
	FIFO bool
	// NoWaitLimit admits whatever fits the queues, however long the wait.
	NoWaitLimit bool
}

// Placement is how a server is picked.
type Placement uint8

const (
	// PlaceTwoChoices draws two and scores them; the default.
	PlaceTwoChoices Placement = iota
	// PlaceRoundRobin takes the servers in turn.
	PlaceRoundRobin
	// PlaceLeastOutstanding scans all for the fewest own attempts.
	PlaceLeastOutstanding
)

// Cascade is how a model is chosen where the request names none.
type Cascade uint8

const (
	// CascadeLearned goes by what was learnt of quality and cost; the default.
	CascadeLearned Cascade = iota
	// CascadeBest always takes the model of the highest stated quality.
	CascadeBest
	// CascadeFixed always starts at the cheapest model and escalates on a rating
	// below the target.
	CascadeFixed
)

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Seed: 1,
		// Long enough for a drafting job of 600 tokens at 47 ms a token.
		DefaultDeadline: 30 * time.Second,
		// Ten seconds of the peak of one team at today's sizes; the estimate of
		// the wait refuses long before it, this only bounds memory.
		QueueLimit: 1000,
		// A first try and three more: at 24 failure domains the odds that four
		// independent picks all fail are small, and load is bounded to 4 times.
		MaxAttempts: 4,
		// One crash may be the server's fault, two in a row are the request's.
		MaxCrashes: 2,
		// Long enough to outlive a caller's resends, short enough that a fixed
		// server is tried again within the hour.
		QuarantineDuration: 30 * time.Minute,
		// 10% adds at most a tenth to an overload, whatever callers resend.
		RetryRatio: 0.1,
		// A small team with few successes may still retry now and then.
		RetryFloor: 3,
		// A minute's worth for a large team; more would let an old success pay
		// for a storm now.
		RetryCap: 50,
		// A blip between two vouches is not worth refusing a queue; a longer
		// one is, so that callers move on to a fresh instance.
		FreshnessGrace: time.Second,
		// Half of the time for which freshness lasts: an instance that was paused
		// may have missed a manifest.
		PauseThreshold: 2500 * time.Millisecond,
		// Enough for the freshness to be looked at again, and short for callers
		// where it was no pause but a slow tick.
		ResumeDelay: 500 * time.Millisecond,
		// Four reports at the usual 500 ms.
		LoadReportTTL: 2 * time.Second,
		// Enough to let a new instance in; a quarter more in an engine's own queue
		// costs the rest a quarter of a turn.
		Overcommit:     0.25,
		RefusedBackoff: 200 * time.Millisecond,
		RetryAfterMin:  500 * time.Millisecond,
		// Under the time to a first token that callers put up with.
		RatingTimeout:     300 * time.Millisecond,
		DrainRateHalfLife: 5 * time.Second,
		WaitMargin:        1.1,
		// The first rush of a shop's opening; a term opening lasts longer.
		BurstDuration: 5 * time.Second,
		// Enough queue to keep the slots busy, no more.
		OverloadAdmitWait: 0.1,
		// Twice that: estimates fall short by half. Only in overload.
		OverloadWait:     0.2,
		PromptTokenCost:  0.1,
		DefaultMaxTokens: 256,
		// A few long answers: what a small team asks for at once. More would let a
		// team that was silent for an hour hold up the others for minutes.
		IdleCredit:  2000,
		ServiceCost: 16,
		// Work saved is worth what it saves.
		AffinityWeight: 1,
		// Four fifths leave room for what other instances send meanwhile.
		AffinityMaxLoad: 0.8,
		DomainWeight:    0.05,
		// 0.4%: under the 1% that a bad version may get.
		ProbeEvery: 250,
		// Below 2, uneven work alone would eject healthy servers.
		SlowFactor: 2.5,
		// Past a third, what looks like bad servers is rather load or a fault of
		// our own, and ejecting more would push the rest over.
		MaxEjected: 0.34,
	}
}

// withDefaults fills in fields left at zero.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	orDefault(&c.DefaultDeadline, d.DefaultDeadline)
	orDefault(&c.QueueLimit, d.QueueLimit)
	orDefault(&c.MaxAttempts, d.MaxAttempts)
	orDefault(&c.MaxCrashes, d.MaxCrashes)
	orDefault(&c.QuarantineDuration, d.QuarantineDuration)
	orDefault(&c.RetryRatio, d.RetryRatio)
	orDefault(&c.RetryFloor, d.RetryFloor)
	orDefault(&c.RetryCap, d.RetryCap)
	orDefault(&c.FreshnessGrace, d.FreshnessGrace)
	orDefault(&c.PauseThreshold, d.PauseThreshold)
	orDefault(&c.ResumeDelay, d.ResumeDelay)
	orDefault(&c.LoadReportTTL, d.LoadReportTTL)
	orDefault(&c.Overcommit, d.Overcommit)
	orDefault(&c.RefusedBackoff, d.RefusedBackoff)
	orDefault(&c.RetryAfterMin, d.RetryAfterMin)
	orDefault(&c.RatingTimeout, d.RatingTimeout)
	orDefault(&c.DrainRateHalfLife, d.DrainRateHalfLife)
	orDefault(&c.WaitMargin, d.WaitMargin)
	orDefault(&c.BurstDuration, d.BurstDuration)
	orDefault(&c.OverloadAdmitWait, d.OverloadAdmitWait)
	orDefault(&c.OverloadWait, d.OverloadWait)
	orDefault(&c.PromptTokenCost, d.PromptTokenCost)
	orDefault(&c.DefaultMaxTokens, d.DefaultMaxTokens)
	orDefault(&c.IdleCredit, d.IdleCredit)
	orDefault(&c.ServiceCost, d.ServiceCost)
	orDefault(&c.AffinityWeight, d.AffinityWeight)
	orDefault(&c.AffinityMaxLoad, d.AffinityMaxLoad)
	orDefault(&c.DomainWeight, d.DomainWeight)
	orDefault(&c.ProbeEvery, d.ProbeEvery)
	orDefault(&c.SlowFactor, d.SlowFactor)
	orDefault(&c.MaxEjected, d.MaxEjected)
	return c
}

func orDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

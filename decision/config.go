package decision

import "time"

// Config sets the limits of the decisions. DefaultConfig gives the default values
// and the reasons for most of them; NewWorld replaces each number and duration that
// is zero or negative with its default, except Seed.
type Config struct {
	// Seed makes every random choice reproducible.
	Seed uint64
	// Domain is the instance's own failure domain, for a slight preference of
	// servers in the same domain; empty for none.
	Domain DomainID
	// DefaultDeadline is the time from arrival to deadline of requests without
	// one.
	DefaultDeadline time.Duration
	// QueueLimit bounds a team's queue, in requests, if the manifest sets no limit.
	QueueLimit int
	// MaxAttempts bounds the attempts of one request, including second steps of
	// the cascade.
	MaxAttempts int
	// MaxCrashes is the number of crashed servers at which a request is
	// quarantined.
	MaxCrashes int
	// QuarantineDuration is how long a quarantine lasts.
	QuarantineDuration time.Duration
	// RetryRatio is how many retries, by the instance or the caller, a team earns
	// per success.
	RetryRatio float64
	// RetryFloor is the budget of retries that a team regains without successes,
	// at one per second.
	RetryFloor float64
	// RetryCap bounds the retries that a team can accumulate.
	RetryCap float64
	// FreshnessGrace is how long requests stay queued after freshness is lost.
	FreshnessGrace time.Duration
	// PauseThreshold is the time between two ticks above which the process counts
	// as having been paused.
	PauseThreshold time.Duration
	// ResumeDelay is how long nothing is dispatched after a pause, unless freshness
	// is reported again sooner.
	ResumeDelay time.Duration
	// LoadReportTTL is how long a load report counts.
	LoadReportTTL time.Duration
	// Overcommit is the fraction by which the requests at a server, by its load
	// report, may exceed its slots when an instance that runs nothing there
	// dispatches its first attempt; one request is always allowed.
	Overcommit float64
	// RefusedBackoff is how long a server is excluded from selection after it
	// refused an attempt or crashed.
	RefusedBackoff time.Duration
	// RetryAfterMin is the minimum RetryAfter of a refusal after which a later
	// retry may succeed.
	RetryAfterMin time.Duration
	// RatingTimeout is how long a held answer may wait for its rating.
	RatingTimeout time.Duration
	// RateHalfLife is the half-life of the measured drain and usage rates.
	RateHalfLife time.Duration
	// WaitMargin is the factor applied to the estimated wait at admission.
	WaitMargin float64
	// BacklogHalfLife is the half-life of the average that measures for which
	// fraction of the recent past a pool had a backlog. A backlog after an idle
	// time counts as overload after about half of the half-life; see
	// overloadThreshold.
	BacklogHalfLife time.Duration
	// OverloadAdmitWait bounds the estimated wait at admission in overload, as a
	// fraction of the time to the deadline.
	OverloadAdmitWait float64
	// OverloadWait bounds the time that a request stays queued in overload,
	// whatever the estimate was, as a fraction of the time to the deadline.
	OverloadWait float64
	// PromptTokenCost is the cost of a prompt token in generated tokens.
	PromptTokenCost float64
	// DefaultMaxTokens is the size assumed for requests without MaxTokens.
	DefaultMaxTokens int
	// IdleCredit is the work, in generated tokens, that a team which requested
	// less than its share may be given ahead of the others.
	IdleCredit float64
	// ServiceCost is the cost of a call of a plain service, in generated tokens.
	ServiceCost float64
	// AffinityWeight is the score per unit of work saved by a cached prefix.
	AffinityWeight float64
	// AffinityMaxLoad is the load, as a fraction of the capacity, above which a
	// cached prefix is ignored.
	AffinityMaxLoad float64
	// DomainWeight is the score of a server in the instance's own failure domain,
	// as a fraction of a request's work.
	DomainWeight float64
	// ProbeEvery limits probes: of every ProbeEvery requests for a version with a
	// bad verdict, one is let through.
	ProbeEvery int
	// SlowFactor is the multiple of its peers' median time per unit of work above
	// which a server counts as slow.
	SlowFactor float64
	// MaxEjected bounds the fraction of a group of servers that is ejected at the
	// same time; one server of a group of two or more may always be ejected.
	MaxEjected float64
	// Policy replaces single decisions with simple baselines for measurements. The
	// zero value is for production.
	Policy Policy
}

// Policy selects baselines for measurements.
type Policy struct {
	Placement Placement
	Cascade   Cascade
	// NoAffinity ignores cached prefixes.
	NoAffinity bool
	// NoVerdicts ignores verdicts on versions and ejects no servers.
	NoVerdicts bool
	// FIFO queues the requests of all teams in the order of their arrival.
	FIFO bool
	// NoWaitLimit admits whatever the queue limits allow, however long the wait.
	NoWaitLimit bool
}

// Placement is the algorithm that picks a server.
type Placement uint8

const (
	// PlaceTwoChoices scores two random servers and those with a cached prefix;
	// the default.
	PlaceTwoChoices Placement = iota
	// PlaceRoundRobin takes the servers in turn.
	PlaceRoundRobin
	// PlaceLeastOutstanding scans all servers with a free slot for the fewest
	// attempts of this instance.
	PlaceLeastOutstanding
)

// Cascade is how a model is chosen for a request that names none.
type Cascade uint8

const (
	// CascadeLearned uses the learned quality and cost; the default.
	CascadeLearned Cascade = iota
	// CascadeBest always uses the model with the highest quality by the manifest.
	CascadeBest
	// CascadeFixed starts with the cheapest model and escalates on a rating below
	// the target. If the first answer may not be held, it uses only the model with
	// the highest quality.
	CascadeFixed
)

// DefaultConfig returns the defaults, with the reasons for most of them.
func DefaultConfig() Config {
	return Config{
		Seed: 1,
		// Enough for an answer of 600 tokens at 47 ms per token.
		DefaultDeadline: 30 * time.Second,
		// Ten seconds of a team that sends 100 requests per second. It only bounds
		// memory: the estimated wait leads to refusals long before it is reached.
		QueueLimit: 1000,
		// One attempt and three retries: with 24 failure domains, four
		// independently chosen servers are unlikely to all fail, and the load grows
		// by at most a factor of four.
		MaxAttempts: 4,
		// One crash may be the server's fault, two with the same request are caused
		// by the request.
		MaxCrashes: 2,
		// Long enough to outlast a caller's retries, short enough that a repaired
		// server is tried again within the hour.
		QuarantineDuration: 30 * time.Minute,
		// 10% adds at most a tenth to an overload, however often callers retry.
		RetryRatio: 0.1,
		// A team with few successes can still retry occasionally.
		RetryFloor: 3,
		// What a team with about 8 successes per second earns in a minute; with a
		// higher cap, past successes would pay for a retry storm.
		RetryCap: 50,
		// A short gap between two confirmations of freshness does not justify
		// refusing all queued requests; after a longer one callers should move on to
		// a fresh instance.
		FreshnessGrace: time.Second,
		// Half of the time for which freshness lasts: an instance that was paused
		// may have missed a manifest.
		PauseThreshold: 2500 * time.Millisecond,
		// Enough for the freshness to be checked again, and a short delay for
		// callers if it was only a slow tick.
		ResumeDelay: 500 * time.Millisecond,
		// Four reports at the usual interval of 500 ms.
		LoadReportTTL: 2 * time.Second,
		// Enough for a new instance to get slots. The excess, up to a quarter of
		// the slots, waits in the server's own queue and delays the other requests
		// by at most a quarter of one service time.
		Overcommit:     0.25,
		RefusedBackoff: 200 * time.Millisecond,
		RetryAfterMin:  500 * time.Millisecond,
		// Less than the time to a first token that callers accept.
		RatingTimeout: 300 * time.Millisecond,
		RateHalfLife:  5 * time.Second,
		WaitMargin:    1.1,
		// Typical bursts, such as when a shop opens, last a few seconds; a load
		// that lasts longer, such as at the start of a term, is overload.
		BacklogHalfLife: 5 * time.Second,
		// Enough queue to keep the slots busy, and no more.
		OverloadAdmitWait: 0.1,
		// Twice OverloadAdmitWait, since in overload requests may wait twice as
		// long as estimated.
		OverloadWait:     0.2,
		PromptTokenCost:  0.1,
		DefaultMaxTokens: 256,
		// A few long answers: what a small team requests at once. With more, a team
		// that was idle for an hour could delay the others for minutes.
		IdleCredit:  2000,
		ServiceCost: 16,
		// Work saved counts in full.
		AffinityWeight: 1,
		// Leaves a fifth for requests that other instances send before the next
		// load report.
		AffinityMaxLoad: 0.8,
		DomainWeight:    0.05,
		// 0.4%: less than the 1% that a bad version may get.
		ProbeEvery: 250,
		// Below 2, uneven work alone would eject healthy servers.
		SlowFactor: 2.5,
		// Above a third, the cause is more likely load or a fault of this instance
		// than bad servers, and ejecting more would overload the rest.
		MaxEjected: 0.34,
	}
}

// withDefaults fills in fields that are zero or negative.
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
	orDefault(&c.RateHalfLife, d.RateHalfLife)
	orDefault(&c.WaitMargin, d.WaitMargin)
	orDefault(&c.BacklogHalfLife, d.BacklogHalfLife)
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

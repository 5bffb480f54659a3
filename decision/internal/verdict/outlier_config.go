package verdict

import "time"

// OutlierConfig holds the parameters of Outliers.
type OutlierConfig struct {
	// SlowFactor is the multiple of its peers' median unit latency above which a
	// server is slow. Below 2, uneven work alone would eject healthy servers.
	SlowFactor float64
	// MinLatencySamples is the discounted number of attempts needed to call a
	// server slow. The default is exceeded from the fifth attempt on (four give
	// 3.3) and is this low because each of eight instances sees only an eighth of
	// a server's attempts, and a slow server completes few.
	MinLatencySamples float64
	// LatencyMemory is the window of a server's unit latency, in attempts.
	LatencyMemory float64
	// ErrorMargin is how much a server's error rate may exceed that of its peers.
	ErrorMargin float64
	// FalseAlarmRate bounds false ejections for errors: the mean number of
	// attempts between two of them is at least 1/FalseAlarmRate.
	FalseAlarmRate float64
	// MaxEjectedShare is the largest share of a group that is ejected at once; one
	// server of a group of two or more may always be ejected.
	// If more servers look bad, the cause is more likely load or a fault of this
	// instance, and ejecting them would overload the rest.
	MaxEjectedShare float64
	// MinBackoff is the length of the first ejection; it doubles with each
	// further one, up to MaxBackoff.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// ProbesToReturn is how many successive good probes bring a server back.
	// They are sent one at a time: a server that still hangs delays one request
	// and not a burst.
	ProbesToReturn int
	// ProbeTimeout is the time without a result of a probe after which another
	// one may be sent.
	ProbeTimeout time.Duration
	// SweepInterval is how often unit latencies are compared. The comparison
	// visits every server, so it is not made for each decision.
	SweepInterval time.Duration
}

// DefaultOutlierConfig returns the defaults.
func DefaultOutlierConfig() OutlierConfig {
	return OutlierConfig{
		SlowFactor:        2.5,
		MinLatencySamples: 3.5,
		LatencyMemory:     8,
		ErrorMargin:       0.1,
		FalseAlarmRate:    1e-4,
		MaxEjectedShare:   0.34,
		MinBackoff:        5 * time.Second,
		MaxBackoff:        5 * time.Minute,
		ProbesToReturn:    5,
		ProbeTimeout:      30 * time.Second,
		SweepInterval:     time.Second,
	}
}

package verdict

import "time"

// OutlierConfig holds the limits of Outliers.
type OutlierConfig struct {
	// SlowFactor is how many times the median pace of its peers makes a server
	// slow. Below 2, uneven work alone would eject healthy ones.
	SlowFactor float64
	// SlowSample is how many attempts, discounted, are needed to call a server
	// slow: four. Each of eight instances sees an eighth of a server's attempts,
	// and a slow one ends few.
	MinLatencySamples float64
	// PaceMemory is the number of attempts that a server's pace looks back on.
	LatencyMemory float64
	// WorseErrors is how much a server's error rate may pass its peers'.
	ErrorMargin float64
	// FalseAlarm is 1 over the mean number of attempts between two false
	// ejections for errors, at least.
	FalseAlarmRate float64
	// MaxShare caps the part of a group that is ejected at once. Past it, what
	// looks like bad servers is rather load, or a fault of our own, and
	// ejecting more would push the rest over.
	MaxEjectedShare float64
	// Backoff is the first ejection's length; it doubles up to MaxBackoff.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Trials is how many good attempts in a row bring a server back, one at a
	// time: a server that still hangs holds up one request and not a burst.
	ProbesToReturn int
	// TrialTimeout lets another trial go when nothing came of the last.
	ProbeTimeout time.Duration
	// SweepEvery is how often paces are compared. The comparison looks at every
	// server, so it is kept off the path of single decisions.
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

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
	SlowSample float64
	// PaceMemory is the number of attempts that a server's pace looks back on.
	PaceMemory float64
	// WorseErrors is how much a server's error rate may pass its peers'.
	WorseErrors float64
	// FalseAlarm is 1 over the mean number of attempts between two false
	// ejections for errors, at least.
	FalseAlarm float64
	// MaxShare caps the part of a group that is ejected at once. Past it, what
	// looks like bad servers is rather load, or a fault of our own, and
	// ejecting more would push the rest over.
	MaxShare float64
	// Backoff is the first ejection's length; it doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Trials is how many good attempts in a row bring a server back, one at a
	// time: a server that still hangs holds up one request and not a burst.
	Trials int
	// TrialTimeout lets another trial go when nothing came of the last.
	TrialTimeout time.Duration
	// SweepEvery is how often paces are compared. The comparison looks at every
	// server, so it is kept off the path of single decisions.
	SweepEvery time.Duration
}

// DefaultOutlierConfig returns the defaults.
func DefaultOutlierConfig() OutlierConfig {
	return OutlierConfig{
		SlowFactor:   2.5,
		SlowSample:   3.5,
		PaceMemory:   8,
		WorseErrors:  0.1,
		FalseAlarm:   1e-4,
		MaxShare:     0.34,
		Backoff:      5 * time.Second,
		MaxBackoff:   5 * time.Minute,
		Trials:       5,
		TrialTimeout: 30 * time.Second,
		SweepEvery:   time.Second,
	}
}

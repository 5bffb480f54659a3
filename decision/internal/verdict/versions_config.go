package verdict

import "time"

// VersionConfig holds the parameters of Versions.
type VersionConfig struct {
	// FalseAlarmRate bounds false alarms on one version: the mean number of
	// observations between two of them is at least 1/FalseAlarmRate. A false
	// alarm costs a roll-out some minutes; missing a bad version costs callers
	// bad answers.
	FalseAlarmRate float64
	// ErrorMargin is how much a version's error rate may exceed that of the
	// reference before the version counts as worse.
	ErrorMargin float64
	// RatingMargin is how much a version's mean rating may be below the reference
	// before the version counts as worse.
	RatingMargin float64
	// PriorRatingMargin replaces RatingMargin while the only reference is the
	// quality stated in the manifest. It is wide: a wrong quality there must not
	// block a version that is as good as it always was.
	PriorRatingMargin float64
	// MinReferenceSamples is the discounted number of observations of the
	// predecessor, or of the version itself, that a reference needs.
	MinReferenceSamples float64
	// Memory is the window of a reference, in observations.
	Memory float64
	// ProbeEvery is the number of requests of which one is sent to a bad version.
	// The default of 250 sends it 0.4%: less than the 1% that a bad version may
	// get, which leaves room for requests that were already queued when it was
	// blocked.
	ProbeEvery uint64
	// FalseRecoveryRate bounds the probability that a version that is still bad is
	// ever judged good again; each recovery halves the bound for the next.
	FalseRecoveryRate float64
	// MaxPeerDuration bounds how long a peer's verdict holds, whatever its
	// Until: a peer with a wrong clock must not block a version for a day.
	MaxPeerDuration time.Duration
	// ShareInterval is how often a bad verdict is shared again while it holds.
	// Its Until is three intervals away, so that one lost message does not end
	// it.
	ShareInterval time.Duration
	// MaxSuspicion is how long a suspicion without a verdict is shared.
	MaxSuspicion time.Duration
}

// DefaultVersionConfig returns the defaults.
func DefaultVersionConfig() VersionConfig {
	return VersionConfig{
		FalseAlarmRate:      3e-5,
		ErrorMargin:         0.015,
		RatingMargin:        0.03,
		PriorRatingMargin:   0.2,
		MinReferenceSamples: 12,
		Memory:              1000,
		ProbeEvery:          250,
		FalseRecoveryRate:   0.02,
		MaxPeerDuration:     10 * time.Minute,
		ShareInterval:       20 * time.Second,
		MaxSuspicion:        time.Minute,
	}
}

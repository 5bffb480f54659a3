package verdict

import "time"

// VersionConfig holds the limits of Versions.
type VersionConfig struct {
	// FalseAlarm is 1 over the mean number of observations between two false
	// alarms of one version, at least. A false alarm costs a roll-out some
	// minutes; missing a bad version costs callers bad answers.
	FalseAlarmRate float64
	// WorseErrors is how much a version's error rate may pass the reference's
	// before it counts as worse.
	ErrorMargin float64
	// WorseRating is the same for the mean rating.
	RatingMargin float64
	// PriorSlack is WorseRating where only the manifest's word is known. It is
	// wide: a wrong word in the manifest must not bar a version that is as good
	// as it ever was.
	PriorRatingMargin float64
	// MinReference is how many observations of the predecessor, or of the
	// version itself, make a reference.
	MinReferenceSamples float64
	// Memory is the number of observations that a reference looks back on.
	Memory float64
	// ProbeEvery lets one request in so many through to a bad version. 250 is
	// 0.4%: under the 1% that a bad version may get, with room for what was
	// already queued when it was barred.
	ProbeEvery uint64
	// WrongRecovery is the chance that a version still bad is ever taken back,
	// for the first recovery; each later one halves it.
	FalseRecoveryRate float64
	// PeerLimit bounds how long a peer's verdict holds, whatever it says: a
	// peer with a wrong clock must not bar a version for a day.
	MaxPeerDuration time.Duration
	// ShareEvery is how often an own verdict is said again while it holds. Its
	// Until is three times as long, so that one lost message lifts nothing.
	ShareInterval time.Duration
	// SuspectFor is how long a mere suspicion is told to the peers.
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

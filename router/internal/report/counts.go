// Package report measures service levels and reports how fast they burn their
// error budgets.
//
// Each instance has a Recorder: counters in short slots of time and histograms,
// with a bound on memory. A Snapshot of it goes out on the admin listener; the
// operators' tool merges the snapshots of all instances into one Report. The
// instances keep nothing, so a replaced one takes its part of the past along,
// and a Report says since when each has counted.
package report

// Counts are the events of one team in a span of time. Counts add up over
// slots and over instances.
type Counts struct {
	// Served requests got a whole answer; Unavailable ones did not, by the
	// system's doing. A caller's own faults are in neither.
	Served      uint64 `json:"served"`
	Unavailable uint64 `json:"unavailable"`
	// First counts answers with a first token; FirstSlow those over the
	// objective in force when they came.
	FirstTokens     uint64 `json:"first"`
	SlowFirstTokens uint64 `json:"first_slow"`
	// Inter and InterSlow count answers by their mean gap between tokens.
	InterTokens     uint64 `json:"inter"`
	SlowInterTokens uint64 `json:"inter_slow"`
	// Cost of all billed requests, and their number.
	Cost   float64 `json:"cost"`
	Billed uint64  `json:"billed"`
	// Versions counts the requests that ran on each version. Whether one is
	// bad may turn out later.
	Versions map[string]uint64 `json:"versions,omitempty"`
}

// maxVersions bounds the versions counted apart in one slot: all that a team
// uses in a roll-out of every model at the largest target.
const maxVersions = 64

// otherVersions stands for those beyond the bound.
const otherVersions = "other"

// Add adds the events of o.
func (c *Counts) Add(o Counts) {
	c.Served += o.Served
	c.Unavailable += o.Unavailable
	c.FirstTokens += o.FirstTokens
	c.SlowFirstTokens += o.SlowFirstTokens
	c.InterTokens += o.InterTokens
	c.SlowInterTokens += o.SlowInterTokens
	c.Cost += o.Cost
	c.Billed += o.Billed
	for v, n := range o.Versions {
		c.addRuns(v, n)
	}
}

// ran counts n requests on a version.
func (c *Counts) addRuns(version string, n uint64) {
	if c.Versions == nil {
		c.Versions = map[string]uint64{}
	}
	if _, known := c.Versions[version]; !known && len(c.Versions) >= maxVersions {
		version = otherVersions
	}
	c.Versions[version] += n
}

// Exposed is how many requests ran on versions that are judged bad, and how
// many ran on any.
func (c Counts) Exposed(bad map[string]bool) (exposed, all uint64) {
	for v, n := range c.Versions {
		all += n
		if bad[v] {
			exposed += n
		}
	}
	return exposed, all
}

// Empty says that nothing was counted.
func (c Counts) Empty() bool {
	return c.Served+c.Unavailable+c.FirstTokens+c.InterTokens+c.Billed == 0 && len(c.Versions) == 0
}

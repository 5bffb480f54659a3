// Package report measures service levels and reports how fast each team uses up
// its error budgets.
//
// Each instance has a Recorder: counters in short slots of time, and histograms,
// with a bound on memory. The admin listener serves a Snapshot of it; the
// operators' tool merges the snapshots of all instances into one Report. Counts are
// kept in memory only, so those of a restarted or replaced instance are lost, and a
// Report says since when each instance has counted.
package report

// Counts are the requests of one team in a span of time. Counts of several slots
// and of several instances can be added up.
type Counts struct {
	// Served requests got a complete answer; Unavailable ones did not, for a
	// reason of the system. Failures that the caller caused are in neither.
	Served      uint64 `json:"served"`
	Unavailable uint64 `json:"unavailable"`
	// FirstTokens counts answers with a first token; SlowFirstTokens those whose
	// time to the first token was over the objective then in force.
	FirstTokens     uint64 `json:"first"`
	SlowFirstTokens uint64 `json:"first_slow"`
	// InterTokens counts answers with a mean time between tokens; SlowInterTokens
	// those with one over the objective then in force.
	InterTokens     uint64 `json:"inter"`
	SlowInterTokens uint64 `json:"inter_slow"`
	// Cost is the sum over all requests with a cost above 0, Billed their number.
	Cost   float64 `json:"cost"`
	Billed uint64  `json:"billed"`
	// Versions counts the requests that ran on each version, all of them, since
	// a version may be judged bad later.
	Versions map[string]uint64 `json:"versions,omitempty"`
}

// maxVersions bounds the versions counted separately in one Counts, and the versions that
// a Recorder keeps as bad. It covers what a team uses during a roll-out of every model in
// the largest target deployment.
const maxVersions = 64

// otherVersions is the key for the versions beyond the bound.
const otherVersions = "other"

// Add adds the counts of o.
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

// addRuns adds n requests that ran on a version.
func (c *Counts) addRuns(version string, n uint64) {
	if c.Versions == nil {
		c.Versions = map[string]uint64{}
	}
	if _, known := c.Versions[version]; !known && len(c.Versions) >= maxVersions {
		version = otherVersions
	}
	c.Versions[version] += n
}

// Exposed returns how many requests ran on versions that are judged bad, and how
// many ran on any version. Requests counted under otherVersions are not exposed.
func (c Counts) Exposed(bad map[string]bool) (exposed, all uint64) {
	for v, n := range c.Versions {
		all += n
		if bad[v] {
			exposed += n
		}
	}
	return exposed, all
}

// Empty reports whether nothing was counted.
func (c Counts) Empty() bool {
	return c.Served+c.Unavailable+c.FirstTokens+c.InterTokens+c.Billed == 0 && len(c.Versions) == 0
}

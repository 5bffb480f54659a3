package passthrough

// Counts are the counts of one version's responses over all instances.
type Counts struct {
	Good int
	Bad  int
	// FirstByte and EventInterval compare the times of the version's responses with the old
	// version's baseline.
	FirstByte     LogRatioStats
	EventInterval LogRatioStats
}

// Add counts one response.
func (c Counts) Add(o Observation) Counts {
	switch {
	case o.TimingOnly:
	case o.Bad:
		c.Bad++
	default:
		c.Good++
	}
	c.FirstByte, c.EventInterval = c.FirstByte.plus(o.FirstByte), c.EventInterval.plus(o.EventInterval)
	return c
}

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad, FirstByte: c.FirstByte.plus(o.FirstByte), EventInterval: c.EventInterval.plus(o.EventInterval)}
}

// since returns what was added after an earlier state. A count may be lower than in that state,
// as an instance that restarts counts from zero again; its difference is then 0.
func (c Counts) since(o Counts) Counts {
	return Counts{Good: max(c.Good-o.Good, 0), Bad: max(c.Bad-o.Bad, 0), FirstByte: c.FirstByte.since(o.FirstByte), EventInterval: c.EventInterval.since(o.EventInterval)}
}

// Total is the number of responses.
func (c Counts) Total() int { return c.Good + c.Bad }

// failed is the proportion of failures.
func (c Counts) failed() proportion { return proportion{c.Bad, c.Total()} }

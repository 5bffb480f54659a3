package passthrough

// Counts are the answers of one version, by all instances.
type Counts struct {
	Good int
	Bad  int
	// First and Pace compare its times with the old version's.
	FirstByte     LogRatioStats
	EventInterval LogRatioStats
}

// Add counts one answer.
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

// Plus sums two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad, FirstByte: c.FirstByte.plus(o.FirstByte), EventInterval: c.EventInterval.plus(o.EventInterval)}
}

// since is what came since an earlier count. An instance that started again counts anew;
// what it had counted is left out then.
func (c Counts) since(o Counts) Counts {
	return Counts{Good: max(c.Good-o.Good, 0), Bad: max(c.Bad-o.Bad, 0), FirstByte: c.FirstByte.since(o.FirstByte), EventInterval: c.EventInterval.since(o.EventInterval)}
}

// Total is the number of answers.
func (c Counts) Total() int { return c.Good + c.Bad }

// failed is the failures among the answers.
func (c Counts) failed() proportion { return proportion{c.Bad, c.Total()} }

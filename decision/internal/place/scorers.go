package place

// Load prefers servers with little in use. Load reports lag, so two choices with
// the own count beat the least loaded of all, on which every instance would
// throw itself at once.
type Load struct{}

// Score implements Scorer.
func (Load) Score(c *Candidate) float64 { return -c.Load }

// Affinity prefers servers that have the prompt's prefix cached, until their
// load passes Bound: beyond it the wait costs more than the prefix saves, and a
// popular prefix would pile all its requests onto one server.
type Affinity struct {
	Weight float64
	// Bound is a part of the capacity.
	Bound float64
}

// Score implements Scorer.
func (a Affinity) Score(c *Candidate) float64 {
	if c.Load >= a.Bound {
		return 0
	}
	return a.Weight * c.Saved
}

// Domain prefers servers in the own failure domain by a little: the way there
// and back saves some 3 ms of a first token in 350, which is worth no more than
// a small difference in load.
type Domain struct{ Weight float64 }

// Score implements Scorer.
func (d Domain) Score(c *Candidate) float64 {
	if c.Near {
		return d.Weight
	}
	return 0
}

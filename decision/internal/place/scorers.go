package place

// Load prefers servers with little in use. Load reports lag, so two choices with
// the own count beat the least loaded of all, on which every instance would
// throw itself at once.
type LeastLoad struct{}

// Score implements Scorer.
func (LeastLoad) Score(c *Candidate) float64 { return -c.Load }

// Affinity prefers servers that have the prompt's prefix cached, until their
// load passes Bound: beyond it the wait costs more than the prefix saves, and a
// popular prefix would pile all its requests onto one server.
type PrefixAffinity struct {
	Weight float64
	// Bound is a part of the capacity.
	MaxLoad float64
}

// Score implements Scorer.
func (a PrefixAffinity) Score(c *Candidate) float64 {
	if c.Load >= a.MaxLoad {
		return 0
	}
	return a.Weight * c.CacheSavings
}

// Domain prefers servers in the own failure domain by a little: the way there
// and back saves some 3 ms of a first token in 350, which is worth no more than
// a small difference in load.
type DomainAffinity struct{ Weight float64 }

// Score implements Scorer.
func (d DomainAffinity) Score(c *Candidate) float64 {
	if c.SameDomain {
		return d.Weight
	}
	return 0
}

package place

// LeastLoad prefers servers with a low load. Load reports lag: if each instance
// chose the least loaded of all servers, all would send to the same one at once.
// Choosing the better of two random servers, with an exact count of the
// instance's own attempts, avoids that.
type LeastLoad struct{}

// Score implements Scorer.
func (LeastLoad) Score(c *Candidate) float64 { return -c.Load }

// PrefixAffinity prefers servers that have the prompt's prefix cached, as long
// as their load is below MaxLoad: above it the wait costs more than the prefix
// saves, and all requests with a popular prefix would go to one server.
type PrefixAffinity struct {
	// Weight is the score of a request that the cache saves entirely.
	Weight float64
	// MaxLoad is a share of the server's capacity, compared with Candidate.Load.
	MaxLoad float64
}

// Score implements Scorer.
func (a PrefixAffinity) Score(c *Candidate) float64 {
	if c.Load >= a.MaxLoad {
		return 0
	}
	return a.Weight * c.CacheSavings
}

// DomainAffinity slightly prefers servers in the instance's own failure domain:
// the shorter round trip saves some 3 ms of the 350 ms to a first token, which is
// worth no more than a small difference in load. Weight is the score of such a
// server.
type DomainAffinity struct{ Weight float64 }

// Score implements Scorer.
func (d DomainAffinity) Score(c *Candidate) float64 {
	if c.SameDomain {
		return d.Weight
	}
	return 0
}

// Package place picks a backend server out of a few candidates: filters drop
// those that must not take the request, scorers weigh the rest, and the best
// score wins.
//
// The caller draws the candidates (two at random, and the deepest prefix match),
// so the cost of a pick does not grow with the fleet. Everything here is a pure
// function of the candidates; nothing is allocated.
package place

// Candidate is what is known of one backend server for one request.
type Candidate struct {
	// Running is this instance's own attempts at the server, and Slots how many
	// it runs at once.
	Running int
	Slots   int
	// Load is the part of the capacity that is thought to be in use: the own
	// attempts and the others' by the last report, faded with its age.
	Load float64
	// Saved is the part (0 to 1) of the request's work that the server's prefix
	// cache is thought to save.
	CacheSavings float64
	// Near says that the server is in the instance's own failure domain.
	SameDomain bool
	// Loaded says that it has the version, or is the plain service.
	VersionLoaded bool
	// Leaving servers get nothing new, nor do Ejected ones, nor such as are shut
	// out for a moment.
	Leaving bool
	Ejected bool
	// Tried says that the request has failed there already.
	Tried bool
}

// Filter says whether a candidate may take the request at all.
type Filter interface {
	Keep(c *Candidate) bool
}

// Scorer weighs a candidate; higher is better. Scores are in parts of one
// request's work, so that those of different scorers add up.
type Scorer interface {
	Score(c *Candidate) float64
}

// Picker is filters and scorers in a row. It is read-only after it is made.
type Picker struct {
	Filters []Filter
	Scorers []Scorer
}

// None is what Pick returns where no candidate may take the request.
const None = -1

// Pick returns the index of the best candidate; of equal ones the first.
func (p *Picker) Pick(list []Candidate) int {
	best, bestScore := None, 0.0
	for i := range list {
		c := &list[i]
		if !p.keep(c) {
			continue
		}
		score := p.score(c)
		if best == None || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func (p *Picker) keep(c *Candidate) bool {
	for _, f := range p.Filters {
		if !f.Keep(c) {
			return false
		}
	}
	return true
}

func (p *Picker) score(c *Candidate) float64 {
	sum := 0.0
	for _, s := range p.Scorers {
		sum += s.Score(c)
	}
	return sum
}

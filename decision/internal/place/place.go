// Package place picks a backend server from a few candidates: filters drop those
// that must not take the request, scorers rate the rest, and the highest total
// score wins.
//
// The caller supplies the candidates (two random servers and up to two with the
// deepest prefix matches), so the cost of a pick does not grow with the number of
// servers. Everything here is a pure function of the candidates; nothing is
// allocated.
package place

// Candidate is the state of one backend server with respect to one request.
type Candidate struct {
	// Running is the number of this instance's own attempts at the server, and
	// Slots the number that the server runs at once.
	Running int
	Slots   int
	// Load is the estimated share of the server's capacity that is in use: by
	// this instance's own attempts, and by those of the other instances according
	// to the last load report, which counts less the older it is.
	Load float64
	// CacheSavings is the estimated share (0 to 1) of the request's work that the
	// server's prefix cache saves.
	CacheSavings float64
	// SameDomain is true if the server is in the instance's own failure domain.
	SameDomain bool
	// VersionLoaded is true if the server has the version loaded, or provides
	// the plain service that the request is for.
	VersionLoaded bool
	// Leaving and Ejected servers get no new work. Servers in backoff after a
	// refusal or a crash count as Ejected too.
	Leaving bool
	Ejected bool
	// Avoid is true if the request should avoid the server: it has failed there
	// already, or the server takes only probes and the request cannot be retried.
	Avoid bool
}

// Filter decides whether a candidate may take the request at all.
type Filter interface {
	Keep(c *Candidate) bool
}

// Scorer rates a candidate; higher is better. Scores are fractions of one
// request's work, so that those of different scorers can be added.
type Scorer interface {
	Score(c *Candidate) float64
}

// Picker applies filters and scorers in order. It must not change after its first
// use.
type Picker struct {
	Filters []Filter
	Scorers []Scorer
}

// None is returned by Pick if no candidate may take the request.
const None = -1

// Pick returns the index of the best candidate, or of the first of equal ones.
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

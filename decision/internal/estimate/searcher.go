package estimate

// searcher keeps the cheapest plan that meets the target with the configured
// confidence, and a fallback for when none does.
type searcher[V comparable] struct {
	target      float64
	confidence  float64
	hasCheapest bool
	cheapest    Plan[V]
	// bestQuality is the highest expected quality of any plan considered, and
	// fallback a cheap plan within about minQualityGain of it.
	bestQuality float64
	hasFallback bool
	fallback    Plan[V]
}

// minQualityGain is the gain in quality that is worth a higher cost if no plan
// meets the target: raters cannot tell smaller differences.
const minQualityGain = 0.005

// consider compares a plan, whose quality has the standard error stderr, with the
// best ones so far.
func (s *searcher[V]) consider(p Plan[V], stderr float64) {
	if p.Quality-s.confidence*stderr >= s.target {
		if !s.hasCheapest || p.Cost < s.cheapest.Cost {
			s.cheapest = p
			s.hasCheapest = true
		}
	}
	s.bestQuality = max(s.bestQuality, p.Quality)
	better := p.Quality > s.fallback.Quality+minQualityGain
	cheaper := p.Quality >= s.bestQuality-minQualityGain && p.Cost < s.fallback.Cost
	if !s.hasFallback || better || cheaper {
		s.fallback = p
		s.hasFallback = true
	}
}

func (s *searcher[V]) considerSingle(c *candidate[V]) {
	s.consider(Plan[V]{First: c.version, Quality: c.mean, Cost: c.cost}, c.stderr)
}

func (s *searcher[V]) result() Plan[V] {
	if s.hasCheapest {
		return s.cheapest
	}
	return s.fallback
}

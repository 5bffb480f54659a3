package estimate

// searcher keeps the cheapest plan that meets the target with confidence, and
// the best one for when none does.
type searcher[V comparable] struct {
	target     float64
	confidence float64
	found      bool
	cheapest   Plan[V]
	// top is the highest quality, and best the cheapest plan about as good.
	top   float64
	tried bool
	best  Plan[V]
}

// worth is the quality that is worth paying for where no plan meets the target:
// less is within what raters can tell.
const worth = 0.005

func (s *searcher[V]) consider(p Plan[V], stderr float64) {
	if p.Quality-s.confidence*stderr >= s.target {
		if !s.found || p.Cost < s.cheapest.Cost {
			s.cheapest = p
			s.found = true
		}
	}
	s.top = max(s.top, p.Quality)
	better := p.Quality > s.best.Quality+worth
	cheaper := p.Quality >= s.top-worth && p.Cost < s.best.Cost
	if !s.tried || better || cheaper {
		s.best = p
		s.tried = true
	}
}

func (s *searcher[V]) single(c *candidate[V]) {
	s.consider(Plan[V]{First: c.version, Quality: c.mean, Cost: c.cost}, c.stderr)
}

func (s *searcher[V]) result() Plan[V] {
	if s.found {
		return s.cheapest
	}
	return s.best
}

package speed

import (
	"math"
	"slices"
	"time"
)

// statements are the latest statements of a server, by whichever instance got them.
type statements struct {
	values      [statementMemory]float64
	count, next int
	newest      float64
	newestAt    time.Time
	// usual is what estimate returned after the last statement; 0 if there are none.
	usual float64
}

// add adds a statement, unless it is older than the newest one or the same.
func (s *statements) add(at time.Time, slowdown float64) {
	gap := at.Sub(s.newestAt)
	if s.count > 0 && (gap < minStatementGap || gap < sameStatement && slowdown == s.newest) {
		return
	}
	s.values[s.next] = slowdown
	s.next = (s.next + 1) % statementMemory
	s.count = min(s.count+1, statementMemory)
	s.newest, s.newestAt = slowdown, at
	s.usual = s.estimate()
}

// estimate is the lower third of the statements, as a busy machine states too much and none states too little. Fewer than enoughStatements may all be about one busy moment, so that they count together with the 1 of an
// unknown server.
func (s *statements) estimate() float64 {
	sorted := s.values
	values := sorted[:s.count]
	slices.Sort(values)
	lower := values[(s.count-1)/3]
	if s.count < enoughStatements {
		return math.Sqrt(lower)
	}
	return lower
}

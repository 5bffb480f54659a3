package speed

import (
	"slices"
	"time"
)

// statements are the latest statements of a server, by whichever instance got them.
type statements struct {
	values      [statementMemory]float64
	count, next int
	newest      float64
	newestAt    time.Time
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
}

// median is the lower median of the statements, as a busy machine states too much rather than too little; 1 if there
// are none.
func (s *statements) median() float64 {
	if s.count == 0 {
		return 1
	}
	sorted := s.values
	values := sorted[:s.count]
	slices.Sort(values)
	return values[(s.count-1)/2]
}

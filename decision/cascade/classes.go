package cascade

import (
	"cmp"
	"math"
	"time"
)

// Class is what gets larger models alike: the requests of a route at one priority; 0 is the most urgent.
type Class struct {
	Priority int
	Route    string
}

// Work is what a request would take from the larger models' time, and what its caller gains by that.
type Work struct {
	// Prefill is the time of the prompt at the largest model, on an engine of unit speed, in seconds.
	Prefill float64
	// Gain is the size of the response in tokens.
	Gain float64
	// Target is the target latency in seconds.
	Target float64
}

// classMemory is how long the shares of the classes look back: some requests of each class at an instance that gets one
// a second, and short enough that a burst of one class counts while it lasts.
const classMemory = 20 * time.Second

// minClassFraction is the fraction of the requests from which on a class's target counts for the service.
const minClassFraction = 0.05

// classSums are sums over a class's requests, in which older ones fade.
type classSums struct{ prefill, gain, target, requests float64 }

// classes holds the sums of one service's classes.
type classes struct {
	sums map[Class]*classSums
	at   time.Time
}

// record adds a request.
func (c *classes) record(now time.Time, class Class, work Work) {
	if c.sums == nil {
		c.sums = map[Class]*classSums{}
	}
	c.fade(now)
	s := c.sums[class]
	if s == nil {
		s = &classSums{}
		c.sums[class] = s
	}
	s.prefill += work.Prefill
	s.gain += work.Gain
	s.target += work.Target
	s.requests++
}

// fade lets all sums fade, and forgets classes of which nothing is left.
func (c *classes) fade(now time.Time) {
	const forgotten = 0.01 // requests
	keep := math.Exp(-max(now.Sub(c.at), 0).Seconds() / classMemory.Seconds())
	c.at = now
	for class, s := range c.sums {
		*s = classSums{s.prefill * keep, s.gain * keep, s.target * keep, s.requests * keep}
		if s.requests < forgotten {
			delete(c.sums, class)
		}
	}
}

// interval returns where the class is in the order of all work, from 0 for the first to 1: more urgent classes come
// first, and among equally urgent ones those whose callers gain more for the same prefill.
//
// Load: a summary of 800 prompt tokens and a draft of 12,000, both hard. Harm prevented: fifteen callers with a weak response for
// one with a good one.
func (c *classes) interval(class Class) (from, to float64) {
	own := c.sums[class]
	if own == nil {
		return 0, 1
	}
	before, total := 0.0, 0.0
	for other, s := range c.sums {
		total += s.prefill
		if other != class && c.precedes(other, class) {
			before += s.prefill
		}
	}
	if total <= 0 {
		return 0, 1
	}
	return before / total, (before + own.prefill) / total
}

// precedes reports whether class a gets room before class b.
func (c *classes) precedes(a, b Class) bool {
	density := func(s *classSums) float64 { return s.gain / max(s.prefill, 1e-9) }
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(density(c.sums[b]), density(c.sums[a])), cmp.Compare(a.Route, b.Route)) < 0
}

// target is the shortest target latency of the service's classes in seconds, 0 if none is known: a backlog of prefill
// delays the requests of all classes alike.
func (c *classes) target() float64 {
	requests := 0.0
	for _, s := range c.sums {
		requests += s.requests
	}
	shortest := 0.0
	for _, s := range c.sums {
		if mean := s.target / s.requests; s.requests >= minClassFraction*requests && (shortest == 0 || mean < shortest) {
			shortest = mean
		}
	}
	return shortest
}

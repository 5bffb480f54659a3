package passthrough

import "time"

// VersionCounts are the counts of the new and of the old version.
type VersionCounts struct {
	New Counts
	Old Counts
}

// Add counts one response: as the new version's if it came from the target version, else as the
// old one's.
func (c VersionCounts) Add(o Observation, target string) VersionCounts {
	if o.Version == target {
		c.New = c.New.Add(o)
	} else {
		c.Old = c.Old.Add(o)
	}
	return c
}

// Plus returns the sum of two counts.
func (c VersionCounts) Plus(o VersionCounts) VersionCounts {
	return VersionCounts{New: c.New.Plus(o.New), Old: c.Old.Plus(o.Old)}
}

// since returns the counts that were added after an earlier state.
func (c VersionCounts) since(o VersionCounts) VersionCounts {
	return VersionCounts{New: c.New.since(o.New), Old: c.Old.since(o.Old)}
}

// SumRoutes returns the sum of the counts of all routes.
func SumRoutes(sums map[string]VersionCounts) VersionCounts {
	var all VersionCounts
	for _, p := range sums {
		all = all.Plus(p)
	}
	return all
}

// Evidence judges a roll-out by the counts of all instances, by route: those since the roll-out
// was ordered, and the recent ones alone, so that a good start does not hide a version that
// turns bad late.
type Evidence struct {
	// bad is true if the version was judged bad. It gets no requests from then on, so only
	// failures of the old version could make it look good again.
	bad bool
	// past are the counts at earlier evaluations, oldest first.
	past []pastSums
}

// pastSums are the counts of all instances at one time, by route.
type pastSums struct {
	at   time.Time
	sums map[string]VersionCounts
}

// recentWindow is how far back the recent counts reach: long enough for five bad responses of a
// canary, short compared to a good first half of a roll-out.
const recentWindow = 5 * time.Second

// Evaluate records the current counts by route, and reports whether the new version is bad on any
// route or over all routes. A bad verdict is final. The caller must not change sums afterwards.
//
// Load: a fault that cuts off the old version's responses while a bad version is being
// reverted. Harm prevented: the bad version gets requests again, as the old one then looks no
// better.
func (e *Evidence) Evaluate(now time.Time, sums map[string]VersionCounts) bool {
	if e.bad {
		return true
	}
	recent := e.recentCounts(now, sums)
	e.past = append(e.past, pastSums{now, sums})
	e.bad = anyRouteBad(sums) || anyRouteBad(recent)
	return e.bad
}

// recentCounts returns the counts that were added since the last evaluation that is at least
// recentWindow old, or since the first evaluation if none is.
func (e *Evidence) recentCounts(now time.Time, sums map[string]VersionCounts) map[string]VersionCounts {
	for len(e.past) > 1 && now.Sub(e.past[1].at) >= recentWindow {
		e.past = e.past[1:]
	}
	out := map[string]VersionCounts{}
	if len(e.past) == 0 {
		return out
	}
	for route, counts := range sums {
		out[route] = counts.since(e.past[0].sums[route])
	}
	return out
}

// anyRouteBad reports whether the new version is bad on any route, or over all routes.
func anyRouteBad(sums map[string]VersionCounts) bool {
	for _, p := range sums {
		if IsBad(p.New, p.Old) {
			return true
		}
	}
	all := SumRoutes(sums)
	return IsBad(all.New, all.Old)
}

package passthrough

import "time"

// Pair is the answers of the new and of the old version.
type VersionCounts struct {
	New Counts
	Old Counts
}

// Add counts one answer, as the new version's if it has the target.
func (p VersionCounts) Add(o Observation, target string) VersionCounts {
	if o.Version == target {
		p.New = p.New.Add(o)
	} else {
		p.Old = p.Old.Add(o)
	}
	return p
}

// Plus sums two pairs.
func (p VersionCounts) Plus(o VersionCounts) VersionCounts {
	return VersionCounts{New: p.New.Plus(o.New), Old: p.Old.Plus(o.Old)}
}

// since is what came since an earlier pair.
func (p VersionCounts) since(o VersionCounts) VersionCounts {
	return VersionCounts{New: p.New.since(o.New), Old: p.Old.since(o.Old)}
}

// Total sums the routes' pairs.
func SumRoutes(sums map[string]VersionCounts) VersionCounts {
	var all VersionCounts
	for _, p := range sums {
		all = all.Plus(p)
	}
	return all
}

// Evidence judges a roll-out by the sums of all instances, by route: since the order, and
// lately, so that a version that turns bad late is not excused by its start.
type Evidence struct {
	// bad says that the version was found bad: it gets nothing from then on, so that nothing
	// could clear it but failures of the old version.
	bad bool
	// past are the sums at earlier looks, oldest first.
	past []pastSums
}

// pastSums is what all instances had seen at a time, by route.
type pastSums struct {
	at   time.Time
	sums map[string]VersionCounts
}

// recent is how far back the counts reach that are judged beside the whole: long enough
// for five bad answers of a canary, short beside a good first half of a roll-out.
const recentWindow = 5 * time.Second

// Bad takes in the sums of now, which the caller must not change later, and says whether the
// new version is bad, on some route or on all. That is final.
//
// Load: a fault that cuts off the old version's answers while a bad version is taken back. Harm
// prevented: the bad one let in again, as the old one looks no better by then.
func (e *Evidence) Evaluate(now time.Time, sums map[string]VersionCounts) bool {
	if e.bad {
		return true
	}
	recent := e.recentCounts(now, sums)
	e.past = append(e.past, pastSums{now, sums})
	e.bad = anyRouteBad(sums) || anyRouteBad(recent)
	return e.bad
}

// lately is what came in the recent time.
func (e *Evidence) recentCounts(now time.Time, sums map[string]VersionCounts) map[string]VersionCounts {
	for len(e.past) > 1 && now.Sub(e.past[1].at) >= recentWindow {
		e.past = e.past[1:]
	}
	out := map[string]VersionCounts{}
	if len(e.past) == 0 {
		return out
	}
	for route, p := range sums {
		out[route] = p.since(e.past[0].sums[route])
	}
	return out
}

// judgeRoutes says whether the new version is bad, on some route or on all.
func anyRouteBad(sums map[string]VersionCounts) bool {
	for _, p := range sums {
		if IsBad(p.New, p.Old) {
			return true
		}
	}
	all := SumRoutes(sums)
	return IsBad(all.New, all.Old)
}

package culprit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minCandidateCrashes is how many crashes make a part a candidate.
	minCandidateCrashes = 2
	// maxCandidates bounds the candidates of an instance, maxExamined the parts that are examined for that.
	maxCandidates = 16
	maxExamined   = 64
	// candidateMemory is how long a candidate counts after an instance named it.
	candidateMemory = 2 * time.Second
	// answerWait is how long after a candidate was named it may be convicted: by then the other instances' answers
	// on it are known. A report takes up to 0.6 s to reach all.
	answerWait = 1200 * time.Millisecond
	// maxReturnAge is how long ago another instance has named a candidate at most: reports that are full leave it out.
	maxReturnAge = time.Second
	// isolationTime is how long no other instance has reported when this one convicts by its own evidence.
	isolationTime = 5 * time.Second
)

// candidacy is a candidate of this instance.
type candidacy struct {
	// since and last are when it was first and last named.
	since, last time.Time
	// returnedAt is when another instance was last known to name it as well: reports reach the others and come back.
	returnedAt time.Time
	crashes    int
}

// nominate names the parts with the most crashes that count against them, of those in counts. It removes parts with
// few crashes from counts.
//
// Load: hundreds of crashes a second, of which reports hold a few, so that most instances do not know which parts are
// suspects. Harm prevented: a sound part is convicted because the instances that get responses on it do not say so.
func (f *Finder) nominate(now time.Time, counts map[Part]int) {
	maps.DeleteFunc(counts, func(_ Part, n int) bool { return n < minCandidateCrashes })
	blamed := f.blamed()
	parts := slices.SortedFunc(maps.Keys(counts), func(a, b Part) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var found []Candidate
	for _, p := range parts[:min(len(parts), maxExamined)] {
		c := f.caseAgainst(now, p, blamed, 0)
		if len(c.crashes) >= minCandidateCrashes && !f.isKnown(c.together) {
			found = append(found, Candidate{Part: p, Crashes: len(c.crashes)})
		}
	}
	slices.SortStableFunc(found, func(a, b Candidate) int { return cmp.Compare(b.Crashes, a.Crashes) })
	for _, c := range found[:min(len(found), maxCandidates)] {
		f.name(now, c)
	}
}

// name makes a part a candidate, or confirms that it still is one.
func (f *Finder) name(now time.Time, c Candidate) {
	known := f.candidates[c.Part]
	if known == nil {
		known = &candidacy{since: now}
		f.candidates[c.Part] = known
	}
	known.last, known.crashes = now, c.Crashes
}

// mergeCandidates applies the candidates that other instances report.
func (f *Finder) mergeCandidates(now time.Time, candidates []Candidate) {
	for _, c := range candidates {
		if known, ok := f.named[c.Part]; !ok || c.Named.After(known.Named) {
			f.named[c.Part] = c
		}
		if own := f.candidates[c.Part]; own != nil {
			if !own.returnedAt.IsZero() && now.Sub(own.returnedAt) > maxReturnAge {
				own.since = now // answers of the time in between were not reported
			}
			own.returnedAt = now
		}
		if sent, ok := f.ownAnswers.Peek(c.Part); ok {
			keepLatest(f.acquitted, c.Part, sent)
		}
	}
}

// reportedCandidates returns this instance's candidates, and those of the others: these show the others that their
// reports arrive.
func (f *Finder) reportedCandidates() []Candidate {
	var out []Candidate
	for p, c := range f.candidates {
		out = append(out, Candidate{Part: p, Named: c.last, Crashes: c.crashes})
	}
	for _, c := range f.named {
		out = append(out, c)
	}
	return combineCandidates(out)
}

// convictable returns the candidates on which all answers are known, in ascending order.
func (f *Finder) convictable(now time.Time) []Part {
	isolated := now.Sub(f.mergedAt) > isolationTime
	var out []Part
	for p, c := range f.candidates {
		if isolated || now.Sub(c.returnedAt) <= maxReturnAge && now.Sub(c.since) >= answerWait {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// expireCandidates drops the candidates that have not been named lately.
func (f *Finder) expireCandidates(now time.Time) {
	maps.DeleteFunc(f.candidates, func(_ Part, c *candidacy) bool { return now.Sub(c.last) > candidateMemory })
	maps.DeleteFunc(f.named, func(_ Part, c Candidate) bool { return now.Sub(c.Named) > candidateMemory })
}

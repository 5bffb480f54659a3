package culprit

import (
	"math"
	"slices"
	"time"
)

// Verdict is a set of parts that together crash servers: requests that contain all of them are held back.
type Verdict struct {
	// Parts are in ascending order.
	Parts []Part
	// Since is the first crash that counts against them, LastSeen when a request with them last came.
	Since    time.Time
	LastSeen time.Time
	// Crashes is the number of crashes that the verdict rests on.
	Crashes int
}

const (
	// minConvictionCrashes is the least number of crashes, each of a server to which a request with the part was sent
	// after the crash before, that convicts a part. More are needed as long as the probability that any of the
	// suspect parts is lost as often, at the rate at which others are lost, is above maxChance. answeredFactor times
	// as many are needed if responses on the part began lately.
	minConvictionCrashes = 4
	maxChance            = 0.01
	answeredFactor       = 2
	// settleTime is how old a crash must be to count: until then other instances may still report suspects.
	settleTime = 500 * time.Millisecond
	// minCoverage is which fraction of the crashes that no other part explains the part must have been at: less than
	// that is left of four parts at once. Crashes within coverageStep count once.
	minCoverage  = 0.25
	coverageStep = 100 * time.Millisecond
	// answerCover is how long after an answered request was sent crashes do not count against its parts: events
	// arrive late from servers under load, and the news of them from other instances.
	answerCover = time.Second
	// judgePeriod is for how long after the latest crash the evidence is judged: as long as it may still change.
	judgePeriod = 5 * time.Second
	// minAge is the least age that distinguishes crashes: load brings down servers soon after responses begin, too.
	minAge = SurvivalTime / 4
	// clockSlack is by how much times may differ between instances, which state them as ages.
	clockSlack = 20 * time.Millisecond
	// verdictMemory is how long a verdict holds after a request with its parts last came.
	verdictMemory = 2 * time.Minute
)

// Convict draws verdicts from the evidence and returns those that are new.
//
// Load: requests with a part that crashes servers, no two of them alike, among hundreds of times as many others, at
// hundreds of instances of which none sees more than one crash. Harm prevented: all servers brought down, one after
// the other; and sound requests held back because they were at the servers that crashed.
func (f *Finder) Convict(now time.Time) []Verdict {
	f.expire(now)
	if n := len(f.crashes); n == 0 || now.Sub(f.crashes[n-1].At) > judgePeriod {
		return nil
	}
	f.sampleOutcomes(now)
	counts := f.crashCounts()
	suspects := countStages(counts)
	f.nominate(now, counts)
	var out []Verdict
	for len(f.verdicts) < maxVerdicts {
		v, ok := f.nextVerdict(now, suspects)
		if !ok {
			break
		}
		f.verdicts = append(f.verdicts, v)
		out = append(out, v)
	}
	return out
}

// nextVerdict returns a verdict on one of the suspect parts that the evidence allows and that is not known yet.
func (f *Finder) nextVerdict(now time.Time, suspects [stages]int) (Verdict, bool) {
	if len(f.crashes) < minConvictionCrashes {
		return Verdict{}, false
	}
	blamed := f.blamed()
	for _, p := range f.convictable(now) {
		c := f.caseAgainst(now, p, blamed, settleTime)
		if !c.covers() || !f.suffices(c, suspects[c.stage]) || f.isKnown(c.together) || f.hasRival(c) {
			continue
		}
		return Verdict{Parts: c.together, Since: c.crashes[0].At, LastSeen: now, Crashes: len(c.crashes)}, true
	}
	return Verdict{}, false
}

// blamed returns, for each crash, the parts that verdicts hold responsible for it; nil for none.
func (f *Finder) blamed() [][]Part {
	out := make([][]Part, len(f.crashes))
	for i, c := range f.crashes {
		for _, s := range c.Suspects {
			if v := f.convicted(s.Parts); v != nil {
				out[i] = append(out[i], f.remaining(*v)...)
			}
		}
	}
	return out
}

// isKnown reports whether requests with the parts are held back already.
func (f *Finder) isKnown(parts []Part) bool { return f.convicted(parts) != nil }

// crashCounts returns the number of crashes at which each suspect part was.
func (f *Finder) crashCounts() map[Part]int {
	out, counted := map[Part]int{}, map[Part]int{}
	for i, c := range f.crashes {
		for _, s := range c.Suspects {
			for _, p := range s.Parts {
				if counted[p] != i+1 {
					counted[p] = i + 1
					out[p]++
				}
			}
		}
	}
	return out
}

// countStages returns the number of parts in each stage.
func countStages(counts map[Part]int) (out [stages]int) {
	for p := range counts {
		out[stageOf(p)]++
	}
	return out
}

// indictment is what speaks against a part.
type indictment struct {
	// stage is the one in which the part counts, and crashes are those that count against it.
	stage   stage
	crashes []Crash
	// maxAge is for how long the part had been at the servers at most when these crashed (Crash.age).
	maxAge time.Duration
	// together are the part and those that all suspects with it contain, in ascending order.
	together []Part
	// answered is true if responses on the part began lately.
	answered bool
	// with and all count the steps of coverageStep, from the first crash to the last one, with crashes at which the
	// part was, and with any.
	with, all int
	// explains is, for each crash that is known, the number of suspects that contain the part, or all of the stage if a
	// verdict is on another part.
	explains []int
}

// covers reports whether the part was at enough of the crashes in its time.
func (c *indictment) covers() bool { return float64(c.with) >= minCoverage*float64(c.all) }

// suffices reports whether the crashes convict one of the suspect parts of its stage.
func (f *Finder) suffices(c indictment, suspects int) bool {
	crashes, improbability := minConvictionCrashes, math.Log(float64(suspects)/maxChance)
	if c.answered {
		crashes, improbability = answeredFactor*crashes, answeredFactor*improbability
	}
	if len(c.crashes) < crashes {
		return false
	}
	sum := 0.0
	for _, fraction := range f.lostFractions(c) {
		sum -= math.Log(c.lostWithinAge(fraction))
	}
	return sum >= improbability
}

// lostWithinAge returns which fraction of the requests is lost within maxAge of their first event, if fraction is lost
// within SurvivalTime, at a constant rate. In the first stage, which has no fixed length, it returns fraction.
//
// Load: a part that crashes the few servers so often that most responses on other parts are lost soon after they began as
// well. Harm prevented: its crashes look probable, and it is found after many more. It crashes servers always at the same
// age; other parts are lost at any.
func (c *indictment) lostWithinAge(fraction float64) float64 {
	if c.stage != begun {
		return fraction
	}
	share := min(float64(max(c.maxAge, minAge))/float64(SurvivalTime), 1)
	return 1 - math.Pow(1-fraction, share)
}

// caseAgainst collects the crashes that count against the part. Those that other parts are held responsible for do
// not, nor do those after which less than settle has passed.
func (f *Finder) caseAgainst(now time.Time, p Part, blamed [][]Part, settle time.Duration) indictment {
	out := indictment{stage: stageOf(p)}
	answered, ok := f.acquitted.Peek(p)
	out.answered = ok && now.Sub(answered) <= memory
	out.explains = make([]int, len(f.crashes))
	var last, lastStep, lastStepWith time.Time
	for i, c := range f.crashes {
		out.explains[i] = c.count(p)
		if blamed[i] != nil {
			out.explains[i] = c.countStage(out.stage)
		}
		if blamed[i] != nil && !slices.Contains(blamed[i], p) || ok && !c.At.After(answered.Add(answerCover)) {
			continue
		}
		sent := c.lastSent(p)
		if sent.IsZero() && len(out.crashes) == 0 {
			continue
		}
		countStep(&out.all, &lastStep, c.At)
		if sent.IsZero() {
			continue
		}
		countStep(&out.with, &lastStepWith, c.At)
		out.together = commonParts(out.together, c, p)
		settled := now.Sub(c.At) >= settle
		if settled && (last.IsZero() || sent.After(last.Add(-clockSlack)) && c.At.Sub(last) > clockSlack) {
			out.crashes, last = append(out.crashes, c), c.At
			out.maxAge = max(out.maxAge, c.age(p))
		}
	}
	if len(out.crashes) > 0 {
		out.together = f.unanswered(out.together, out.crashes[0].At)
	}
	return out
}

// countStep counts a crash unless it is within coverageStep of the last one that was counted.
func countStep(count *int, last *time.Time, at time.Time) {
	if last.IsZero() || at.Sub(*last) >= coverageStep {
		*count++
		*last = at
	}
}

// commonParts returns the parts of known that all suspects of the crash with p contain; known is empty at first.
func commonParts(known []Part, c Crash, p Part) []Part {
	for _, s := range c.Suspects {
		switch {
		case !slices.Contains(s.Parts, p):
		case len(known) == 0:
			known = slices.Clone(s.Parts)
			slices.Sort(known)
			known = slices.Compact(known)
		default:
			known = slices.DeleteFunc(known, func(q Part) bool { return !slices.Contains(s.Parts, q) })
		}
	}
	return known
}

// unanswered returns the parts on which no response has begun to a request that was sent after the time.
func (f *Finder) unanswered(parts []Part, since time.Time) []Part {
	return slices.DeleteFunc(slices.Clone(parts), func(p Part) bool {
		sent, ok := f.acquitted.Peek(p)
		return ok && sent.After(since)
	})
}

// hasRival reports whether another part, of other requests, may explain the crashes as well.
func (f *Finder) hasRival(c indictment) bool {
	for _, rival := range f.unanswered(c.crashes[0].parts(), c.crashes[0].At) {
		if !slices.Contains(c.together, rival) &&
			!slices.ContainsFunc(c.crashes, func(x Crash) bool { return !x.has(rival) }) {
			return true
		}
	}
	return false
}

func containsAll(parts, all []Part) bool {
	return !slices.ContainsFunc(all, func(p Part) bool { return !slices.Contains(parts, p) })
}

// remaining returns the parts of a verdict that no response has acquitted since.
func (f *Finder) remaining(v Verdict) []Part { return f.unanswered(v.Parts, v.Since) }

// convicted returns the verdict that holds back requests with the parts, nil for none.
func (f *Finder) convicted(parts []Part) *Verdict {
	for i := range f.verdicts {
		if left := f.remaining(f.verdicts[i]); len(left) > 0 && containsAll(parts, left) {
			return &f.verdicts[i]
		}
	}
	return nil
}

// Holds reports whether requests with the parts are held back. Such a request prolongs the verdict.
func (f *Finder) Holds(now time.Time, parts []Part) bool {
	return f.holdsInStage(now, parts) || f.HoldsBegun(now, parts)
}

// HoldsBegun reports whether requests with the parts are held back although their responses have begun: the
// parts crash servers after that. Such a request prolongs the verdict.
func (f *Finder) HoldsBegun(now time.Time, parts []Part) bool {
	return len(f.verdicts) > 0 && f.holdsInStage(now, Begun(parts))
}

// holdsInStage is Holds for the parts of one stage.
func (f *Finder) holdsInStage(now time.Time, parts []Part) bool {
	if len(parts) == 0 || len(f.verdicts) == 0 {
		return false
	}
	v := f.convicted(parts)
	if v == nil || now.Sub(v.LastSeen) > verdictMemory {
		return false
	}
	v.LastSeen = now
	return true
}

// SharesPart reports whether the parts contain some that a verdict holds responsible only together with others.
func (f *Finder) SharesPart(parts []Part) bool {
	if len(f.verdicts) == 0 {
		return false
	}
	both := append(Begun(parts), parts...)
	for i := range f.verdicts {
		left := f.remaining(f.verdicts[i])
		if len(left) > 1 && slices.ContainsFunc(left, func(p Part) bool { return slices.Contains(both, p) }) {
			return true
		}
	}
	return false
}

// AddVerdict adds a verdict of another instance, and reports whether it is new here.
func (f *Finder) AddVerdict(now time.Time, v Verdict) bool {
	if len(v.Parts) == 0 || now.Sub(v.LastSeen) > verdictMemory {
		return false
	}
	for i := range f.verdicts {
		known := &f.verdicts[i]
		if slices.Equal(known.Parts, v.Parts) {
			if v.LastSeen.After(known.LastSeen) {
				known.LastSeen = v.LastSeen
			}
			return false
		}
	}
	if len(f.verdicts) >= maxVerdicts || len(f.remaining(v)) == 0 {
		return false
	}
	f.verdicts = append(f.verdicts, v)
	return true
}

package culprit

import (
	"cmp"
	"slices"
	"time"
)

// Part identifies a part of a prompt, by a hash that is the same at all instances.
type Part = uint64

// Suspect is a request that was lost when a server crashed, before any event of its response or, in the second stage,
// soon after the first one (see Begun).
type Suspect struct {
	// Request is a hash of the request's id.
	Request uint64
	// Parts are the parts of its prompt that other requests may share; Sent is when it was sent to the server, or, in
	// the second stage, when the first event arrived.
	Parts []Part
	Sent  time.Time
}

// Crash is the end of a server's process.
type Crash struct {
	// Process is a hash of the process, the same at all instances.
	Process uint64
	// At is when the first connection to it broke.
	At       time.Time
	Suspects []Suspect
}

// Answer is the latest request with the part on which a response has begun or, in the second stage, has been survived.
// Sent is as in Suspect.
type Answer struct {
	Part Part
	Sent time.Time
}

// Candidate is a part that an instance may convict soon. All instances report their answers on it first.
type Candidate struct {
	Part Part
	// Named is when the instance named it last.
	Named time.Time
	// Crashes is the number of crashes that speak against it.
	Crashes int
}

// Evidence is what instances tell each other.
type Evidence struct {
	Crashes    []Crash
	Answers    []Answer
	Candidates []Candidate
	Verdicts   []Verdict
	// Waiting and Begun are the outcomes of the two stages.
	Waiting, Begun Outcomes
}

// Outcomes count the requests whose stage ended with an answer, and those that were lost in it, within about
// outcomeMemory.
type Outcomes struct{ Answered, Lost float64 }

// Add returns the sum of two counts.
func (o Outcomes) Add(with Outcomes) Outcomes {
	return Outcomes{Answered: o.Answered + with.Answered, Lost: o.Lost + with.Lost}
}

const (
	// memory is how long a crash counts. It spans several requests with a part that few callers use.
	memory = time.Minute
	// sameCrash is within which time connections to one process break in one crash.
	sameCrash = time.Second
	// maxCrashes and maxSuspects bound the crashes that are kept and the suspects of each. More at once are not due
	// to prompts. MaxParts bounds the parts of a request; those beyond are ignored.
	maxCrashes  = 128
	maxSuspects = 24
	MaxParts    = 16
)

// crashTable holds crashes in the order of their times, each once, whoever saw it.
type crashTable []Crash

// add adds a view of a crash.
func (t *crashTable) add(c Crash) {
	known := t.find(c)
	if known == nil {
		if len(*t) >= maxCrashes {
			*t = slices.Delete(*t, 0, 1)
		}
		at, _ := slices.BinarySearchFunc(*t, c, func(a, b Crash) int {
			return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process))
		})
		*t = slices.Insert(*t, at, Crash{Process: c.Process, At: c.At})
		known = &(*t)[at]
	}
	for _, s := range c.Suspects {
		known.addSuspect(s)
	}
}

// find returns the crash that c is another view of, nil for none.
func (t *crashTable) find(c Crash) *Crash {
	for i := range *t {
		if known := &(*t)[i]; known.Process == c.Process && known.At.Sub(c.At).Abs() < sameCrash {
			return known
		}
	}
	return nil
}

func (c *Crash) addSuspect(s Suspect) {
	known := slices.ContainsFunc(c.Suspects, func(x Suspect) bool { return x.Request == s.Request })
	if !known && len(s.Parts) > 0 && len(c.Suspects) < maxSuspects {
		s.Parts = s.Parts[:min(len(s.Parts), MaxParts)]
		c.Suspects = append(c.Suspects, s)
	}
}

// has reports whether a suspect of the crash contains the part.
func (c *Crash) has(p Part) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return slices.Contains(s.Parts, p) })
}

// parts returns the parts of all suspects, in ascending order.
func (c *Crash) parts() []Part {
	var out []Part
	for _, s := range c.Suspects {
		out = append(out, s.Parts...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// count returns the number of suspects with the part.
func (c *Crash) count(p Part) int {
	n := 0
	for _, s := range c.Suspects {
		if slices.Contains(s.Parts, p) {
			n++
		}
	}
	return n
}

// countStage returns the number of suspects in the stage.
func (c *Crash) countStage(in stage) int {
	n := 0
	for _, s := range c.Suspects {
		if stageOfParts(s.Parts) == in {
			n++
		}
	}
	return n
}

// lastSent returns when the latest suspect with the part was sent; the zero time if there is none.
func (c *Crash) lastSent(p Part) time.Time {
	var last time.Time
	for _, s := range c.Suspects {
		if slices.Contains(s.Parts, p) && s.Sent.After(last) {
			last = s.Sent
		}
	}
	return last
}

// age returns for how long the part had been at the server: since its first suspect with the part was sent or, in the
// second stage, had begun its response. It is 0 if there is none.
func (c *Crash) age(p Part) time.Duration {
	var longest time.Duration
	for _, s := range c.Suspects {
		if slices.Contains(s.Parts, p) {
			longest = max(longest, c.At.Sub(s.Sent))
		}
	}
	return longest
}

// expire drops the crashes that no longer count.
func (t *crashTable) expire(now time.Time) {
	*t = slices.DeleteFunc(*t, func(c Crash) bool { return now.Sub(c.At) > memory })
}

// since returns the crashes after the time, the newest limit of them.
func (t crashTable) since(at time.Time, limit int) []Crash {
	first := len(t)
	for first > 0 && len(t)-first < limit && t[first-1].At.After(at) {
		first--
	}
	return slices.Clone(t[first:])
}

// Combine returns evidence of several instances as one, without repetitions and within the bounds of a report. Of
// the answers, those on candidates and on parts of verdicts come first.
func Combine(e Evidence) Evidence {
	var crashes crashTable
	for _, c := range e.Crashes {
		crashes.add(c)
	}
	out := Evidence{Crashes: crashes.since(time.Time{}, maxReportedCrashes), Waiting: e.Waiting, Begun: e.Begun}
	out.Candidates = combineCandidates(e.Candidates)
	out.Verdicts = combineVerdicts(e.Verdicts)
	out.Answers = combineAnswers(e.Answers, out.namedParts())
	return out
}

// namedParts returns the parts of candidates and verdicts.
func (e *Evidence) namedParts() map[Part]bool {
	out := map[Part]bool{}
	for _, c := range e.Candidates {
		out[c.Part] = true
	}
	for _, v := range e.Verdicts {
		for _, p := range v.Parts {
			out[p] = true
		}
	}
	return out
}

func combineAnswers(answers []Answer, first map[Part]bool) []Answer {
	latest := map[Part]time.Time{}
	for _, a := range answers {
		if a.Sent.After(latest[a.Part]) {
			latest[a.Part] = a.Sent
		}
	}
	var out []Answer
	for p, sent := range latest {
		out = append(out, Answer{p, sent})
	}
	slices.SortFunc(out, func(a, b Answer) int {
		if first[a.Part] != first[b.Part] {
			if first[a.Part] {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Part, b.Part)
	})
	return out[:min(len(out), maxReportedAnswers)]
}

// combineCandidates returns each candidate once, those with the most crashes if there are too many.
func combineCandidates(candidates []Candidate) []Candidate {
	byPart := map[Part]Candidate{}
	for _, c := range candidates {
		known, ok := byPart[c.Part]
		if !ok || c.Named.After(known.Named) {
			known.Named = c.Named
		}
		byPart[c.Part] = Candidate{Part: c.Part, Named: known.Named, Crashes: max(known.Crashes, c.Crashes)}
	}
	var out []Candidate
	for _, c := range byPart {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Part, b.Part))
	})
	return out[:min(len(out), maxReportedCandidates)]
}

func combineVerdicts(verdicts []Verdict) []Verdict {
	var out []Verdict
	for _, v := range verdicts {
		at := slices.IndexFunc(out, func(x Verdict) bool { return slices.Equal(x.Parts, v.Parts) })
		switch {
		case at < 0 && len(out) < maxVerdicts:
			out = append(out, v)
		case at >= 0 && v.LastSeen.After(out[at].LastSeen):
			out[at].LastSeen = v.LastSeen
		}
	}
	return out
}

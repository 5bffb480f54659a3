package culprit

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxOwnAnswers bounds the parts whose last response is remembered, maxAcquitted those whose responses matter.
	maxOwnAnswers = 8192
	maxAcquitted  = 4096
	// outcomeMemory is the time constant of the counts of answered and lost requests.
	outcomeMemory = time.Second
	// reportPeriod is for how long a crash is reported: several rounds between instances.
	reportPeriod = 2 * time.Second
	// maxReportedCrashes, maxReportedAnswers, maxReportedCandidates and maxVerdicts bound a report.
	maxReportedCrashes    = 32
	maxReportedAnswers    = 64
	maxReportedCandidates = 32
	maxVerdicts           = 64
)

// Finder pools evidence and draws verdicts. It is not safe for concurrent use.
type Finder struct {
	// crashes are those that all instances saw, own those that this instance saw.
	crashes, own crashTable
	// ownAnswers is, by part, the latest time of an answer of this instance (Answer.Sent).
	ownAnswers *simplelru.LRU[Part, time.Time]
	// acquitted is the same over all instances, for parts that crashes or verdicts name.
	acquitted *simplelru.LRU[Part, time.Time]
	// outcomes are those of this instance, others what the other instances reported last.
	// samples are the sums of both, for as long as crashes count.
	outcomes stageOutcomes
	others   stageOutcomes
	samples  []outcomeSample
	// candidates are those of this instance, named those that other instances reported, by part.
	candidates map[Part]*candidacy
	named      map[Part]Candidate
	// mergedAt is when other instances reported last; zero for never.
	mergedAt time.Time
	verdicts []Verdict
}

// NewFinder returns a finder without evidence.
func NewFinder() *Finder {
	return &Finder{ownAnswers: newAnswers(maxOwnAnswers), acquitted: newAnswers(maxAcquitted),
		candidates: map[Part]*candidacy{}, named: map[Part]Candidate{}}
}

func newAnswers(size int) *simplelru.LRU[Part, time.Time] {
	lru, err := simplelru.NewLRU[Part, time.Time](size, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return lru
}

// keepLatest records the time of an answer, unless a later one is known.
func keepLatest(in *simplelru.LRU[Part, time.Time], p Part, sent time.Time) {
	if known, ok := in.Peek(p); !ok || sent.After(known) {
		in.Add(p, sent)
	}
}

// AddCrash adds a request of this instance that was lost as the server's process crashed.
func (f *Finder) AddCrash(process uint64, at time.Time, s Suspect) {
	c := Crash{Process: process, At: at, Suspects: []Suspect{s}}
	f.own.add(c)
	f.addCrash(c)
	f.outcomes.add(at, s.Parts, Outcomes{Lost: 1})
}

// addCrash adds a crash to those of all instances, and applies what this instance knows of its suspects.
func (f *Finder) addCrash(c Crash) {
	f.crashes.add(c)
	for _, s := range c.Suspects {
		for _, p := range s.Parts {
			if sent, ok := f.ownAnswers.Peek(p); ok {
				keepLatest(f.acquitted, p, sent)
			}
		}
	}
}

// AddAnswer adds a response of this instance that has begun now, to a request that was sent at the time; or, with the
// parts of the second stage, one whose server has survived it by now, and whose first event arrived at the time.
func (f *Finder) AddAnswer(now time.Time, parts []Part, sent time.Time) {
	for _, p := range parts {
		keepLatest(f.ownAnswers, p, sent)
		if f.isNamed(p) {
			keepLatest(f.acquitted, p, sent)
		}
	}
	f.outcomes.add(now, parts, Outcomes{Answered: 1})
}

// isNamed reports whether a crash, a candidate or a verdict names the part.
func (f *Finder) isNamed(p Part) bool {
	if _, ok := f.named[p]; ok || f.candidates[p] != nil {
		return true
	}
	return slices.ContainsFunc(f.verdicts, func(v Verdict) bool { return slices.Contains(v.Parts, p) }) ||
		slices.ContainsFunc(f.crashes, func(c Crash) bool { return c.has(p) })
}

// Merge applies what other instances report, and returns the verdicts that are new here.
func (f *Finder) Merge(now time.Time, e Evidence) []Verdict {
	f.mergedAt = now
	f.mergeCandidates(now, e.Candidates)
	for _, c := range e.Crashes {
		if now.Sub(c.At) <= memory {
			f.addCrash(c)
		}
	}
	for _, a := range e.Answers {
		keepLatest(f.acquitted, a.Part, a.Sent)
	}
	f.others = stageOutcomes{counts: [stages]Outcomes{waiting: e.Waiting, begun: e.Begun}, at: now}
	var added []Verdict
	for _, v := range e.Verdicts {
		if f.AddVerdict(now, v) {
			added = append(added, v)
		}
	}
	return added
}

// Report returns what this instance tells the others: the crashes that it saw itself, its own responses on parts
// that matter, all candidates and all verdicts.
func (f *Finder) Report(now time.Time) Evidence {
	f.expire(now)
	f.outcomes.decay(now)
	out := Evidence{
		Crashes: f.own.since(now.Add(-reportPeriod), maxReportedCrashes), Candidates: f.reportedCandidates(),
		Verdicts: slices.Clone(f.verdicts), Waiting: f.outcomes.counts[waiting], Begun: f.outcomes.counts[begun],
	}
	for p := range out.namedParts() {
		out.addAnswer(f, p)
	}
	for _, p := range f.suspectParts(now) {
		if len(out.Answers) >= maxReportedAnswers {
			break
		}
		out.addAnswer(f, p)
	}
	out.Answers = combineAnswers(out.Answers, out.namedParts())
	return out
}

// addAnswer adds the instance's latest answer on the part, if there is one.
func (e *Evidence) addAnswer(f *Finder, p Part) {
	if sent, ok := f.ownAnswers.Peek(p); ok {
		e.Answers = append(e.Answers, Answer{p, sent})
	}
}

// suspectParts returns the parts that crashes name that are still reported.
func (f *Finder) suspectParts(now time.Time) []Part {
	var out []Part
	for _, c := range f.crashes.since(now.Add(-reportPeriod), maxCrashes) {
		for _, s := range c.Suspects {
			out = append(out, s.Parts...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// expire drops what no longer counts.
func (f *Finder) expire(now time.Time) {
	f.crashes.expire(now)
	f.own.expire(now)
	f.samples = slices.DeleteFunc(f.samples, func(s outcomeSample) bool { return now.Sub(s.at) > memory })
	f.expireCandidates(now)
	f.verdicts = slices.DeleteFunc(f.verdicts, func(v Verdict) bool {
		return now.Sub(v.LastSeen) > verdictMemory || len(f.remaining(v)) == 0
	})
}

package relay

import (
	"math"
	"time"

	"masticplank.example/decision/passthrough"
)

// packedEvidence is the evidence of crashes as it is sent. Times are sent as ages in milliseconds, since the clocks
// of the instances differ.
type packedEvidence struct {
	Crashes    []packedCrash     `json:"crashes,omitempty"`
	Answers    []packedAnswer    `json:"answers,omitempty"`
	Candidates []packedCandidate `json:"candidates,omitempty"`
	Verdicts   []packedVerdict   `json:"verdicts,omitempty"`
	// Answered and Lost count requests within about a second that waited for an event of their response, AnsweredBegun
	// and LostBegun those whose response had just begun.
	Answered      int `json:"answered,omitempty"`
	Lost          int `json:"lost,omitempty"`
	AnsweredBegun int `json:"answered_begun,omitempty"`
	LostBegun     int `json:"lost_begun,omitempty"`
}

type packedCrash struct {
	Process  uint64          `json:"process"`
	AgeMS    int64           `json:"age"`
	Suspects []packedSuspect `json:"suspects"`
}

type packedSuspect struct {
	Request uint64   `json:"request"`
	Parts   []uint64 `json:"parts"`
	AgeMS   int64    `json:"age"`
}

type packedAnswer struct {
	Part  uint64 `json:"part"`
	AgeMS int64  `json:"age"`
}

type packedCandidate struct {
	Part    uint64 `json:"part"`
	AgeMS   int64  `json:"age"`
	Crashes int    `json:"count"`
}

type packedVerdict struct {
	Parts []uint64 `json:"parts"`
	// SinceMS is the age of the first crash, LastMS that of the latest request with the parts.
	SinceMS int64 `json:"since"`
	LastMS  int64 `json:"last"`
	Crashes int   `json:"count"`
}

// packEvidence encodes evidence as of the given time.
func packEvidence(e passthrough.CrashEvidence, now time.Time) packedEvidence {
	age := func(at time.Time) int64 { return max(now.Sub(at).Milliseconds(), 0) }
	round := func(x float64) int { return int(math.Round(x)) }
	out := packedEvidence{Answered: round(e.Waiting.Answered), Lost: round(e.Waiting.Lost),
		AnsweredBegun: round(e.Begun.Answered), LostBegun: round(e.Begun.Lost)}
	for _, c := range e.Crashes {
		crash := packedCrash{Process: c.Process, AgeMS: age(c.At)}
		for _, s := range c.Suspects {
			crash.Suspects = append(crash.Suspects, packedSuspect{s.Request, s.Parts, age(s.Sent)})
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, a := range e.Answers {
		out.Answers = append(out.Answers, packedAnswer{a.Part, age(a.Sent)})
	}
	for _, c := range e.Candidates {
		out.Candidates = append(out.Candidates, packedCandidate{c.Part, age(c.Named), c.Crashes})
	}
	for _, v := range e.Verdicts {
		out.Verdicts = append(out.Verdicts, packedVerdict{v.Parts, age(v.Since), age(v.LastSeen), v.Crashes})
	}
	return out
}

const (
	// maxEvidenceAgeMS bounds ages: older evidence is of no use.
	maxEvidenceAgeMS = 3_600_000
	// maxOutcomes bounds the counts of an instance, so that sums cannot overflow.
	maxOutcomes = 1_000_000
)

// unpack decodes evidence whose ages refer to the given time. What is beyond the bounds of a report is dropped.
func (p packedEvidence) unpack(at time.Time) passthrough.CrashEvidence {
	timeOf := func(ageMS int64) time.Time {
		return at.Add(-time.Duration(min(max(ageMS, 0), maxEvidenceAgeMS)) * time.Millisecond)
	}
	outcomes := func(answered, lost int) passthrough.CrashOutcomes {
		bound := func(n int) float64 { return float64(min(max(n, 0), maxOutcomes)) }
		return passthrough.CrashOutcomes{Answered: bound(answered), Lost: bound(lost)}
	}
	out := passthrough.CrashEvidence{Waiting: outcomes(p.Answered, p.Lost), Begun: outcomes(p.AnsweredBegun, p.LostBegun)}
	for _, c := range p.Crashes {
		crash := passthrough.ServerCrash{Process: c.Process, At: timeOf(c.AgeMS)}
		for _, s := range c.Suspects {
			crash.Suspects = append(crash.Suspects, passthrough.CrashSuspect{Request: s.Request, Parts: s.Parts, Sent: timeOf(s.AgeMS)})
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, a := range p.Answers {
		out.Answers = append(out.Answers, passthrough.PartAnswer{Part: a.Part, Sent: timeOf(a.AgeMS)})
	}
	for _, c := range p.Candidates {
		out.Candidates = append(out.Candidates, passthrough.PartCandidate{Part: c.Part, Named: timeOf(c.AgeMS), Crashes: c.Crashes})
	}
	for _, v := range p.Verdicts {
		out.Verdicts = append(out.Verdicts, passthrough.PartVerdict{Parts: v.Parts, Since: timeOf(v.SinceMS), LastSeen: timeOf(v.LastMS), Crashes: v.Crashes})
	}
	return passthrough.CombineEvidence(out)
}

package relay

import (
	"reflect"
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
)

// crashEvidence returns evidence of everything that instances tell each other, as of the time.
func crashEvidence(now time.Time) passthrough.CrashEvidence {
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	return passthrough.CrashEvidence{
		Crashes: []passthrough.ServerCrash{{Process: 1<<63 + 5, At: ago(900), Suspects: []passthrough.CrashSuspect{
			{Request: 7, Parts: []uint64{1, 1<<64 - 1}, Sent: ago(1000)}, {Request: 8, Parts: []uint64{1}, Sent: ago(950)}}}},
		Answers:    []passthrough.PartAnswer{{Part: 1, Sent: ago(40)}},
		Candidates: []passthrough.PartCandidate{{Part: 9, Named: ago(100), Crashes: 3}},
		Verdicts:   []passthrough.PartVerdict{{Parts: []uint64{2, 3}, Since: ago(5000), LastSeen: ago(20), Crashes: 4}},
		Waiting:    passthrough.CrashOutcomes{Answered: 80, Lost: 3},
		Begun:      passthrough.CrashOutcomes{Answered: 60, Lost: 2},
	}
}

// TestEvidenceIsPackedAndUnpacked checks that evidence is the same after packing and unpacking, by a clock that shows
// another time.
func TestEvidenceIsPackedAndUnpacked(t *testing.T) {
	sender, receiver := time.Unix(1_000, 0), time.Unix(77, 0)
	got := packEvidence(crashEvidence(sender), sender).unpack(receiver)
	if want := crashEvidence(receiver); !reflect.DeepEqual(got, want) {
		t.Errorf("unpacked\n%+v, want\n%+v", got, want)
	}
	if packed := packEvidence(passthrough.CrashEvidence{}, sender); !reflect.DeepEqual(packed, packedEvidence{}) {
		t.Errorf("no evidence is packed as %+v, want nothing to be sent", packed)
	}
}

// TestHostileEvidenceIsBounded guards against a report that is too large, or whose numbers overflow.
func TestHostileEvidenceIsBounded(t *testing.T) {
	var p packedEvidence
	for i := range 1000 {
		crash := packedCrash{Process: uint64(i), AgeMS: -1 << 62}
		for j := range 100 {
			crash.Suspects = append(crash.Suspects, packedSuspect{Request: uint64(j), Parts: make([]uint64, 1000), AgeMS: 1 << 62})
		}
		p.Crashes = append(p.Crashes, crash)
		p.Answers = append(p.Answers, packedAnswer{Part: uint64(i)})
		p.Candidates = append(p.Candidates, packedCandidate{Part: uint64(i), AgeMS: -1 << 62, Crashes: 1 << 62})
		p.Verdicts = append(p.Verdicts, packedVerdict{Parts: []uint64{uint64(i)}})
	}
	p.Answered, p.Lost, p.AnsweredBegun, p.LostBegun = 1<<62, -5, 1<<62, -5
	e := p.unpack(time.Unix(1_000, 0))
	if len(e.Crashes) > 32 || len(e.Answers) > 64 || len(e.Candidates) > 32 || len(e.Verdicts) > 64 || e.Waiting.Answered > maxOutcomes || e.Waiting.Lost < 0 || e.Begun.Answered > maxOutcomes || e.Begun.Lost < 0 {
		t.Errorf("%d crashes, %d answers, %d candidates, %d verdicts, outcomes %v and %v, want a bounded report", len(e.Crashes), len(e.Answers), len(e.Candidates), len(e.Verdicts), e.Waiting, e.Begun)
	}
	for _, c := range e.Crashes {
		for _, s := range c.Suspects {
			if len(c.Suspects) > 24 || len(s.Parts) > passthrough.MaxPromptParts {
				t.Fatalf("%d suspects, %d parts, want bounded numbers", len(c.Suspects), len(s.Parts))
			}
		}
	}
}

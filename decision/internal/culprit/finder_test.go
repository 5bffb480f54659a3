package culprit

import (
	"slices"
	"testing"
	"time"
)

// crashed adds a crash of a server at which requests with the parts were lost, each sent 100 ms before.
func crashed(f *Finder, at time.Time, process uint64, prompts ...[]Part) {
	for i, parts := range prompts {
		f.AddCrash(process, at, Suspect{Request: 100*process + uint64(i), Parts: parts, Sent: at.Add(-100 * time.Millisecond)})
	}
}

// answerOthers adds responses on other parts, so that the servers are known to be up.
func answerOthers(f *Finder, now time.Time) {
	for range 40 {
		f.AddAnswer(now, []Part{900, 901}, now.Add(-50*time.Millisecond))
	}
}

// step is the time between two crashes of the tests.
const step = 300 * time.Millisecond

// TestVerdictIsOnPartsSeenTogether guards against a sound part that is quarantined by itself because it only occurred
// beside the one that crashes servers, and against a conjunction that stays although responses on one of its parts
// have begun.
func TestVerdictIsOnPartsSeenTogether(t *testing.T) {
	f, now := NewFinder(), simStart
	for process := range uint64(5) {
		now = now.Add(step)
		crashed(f, now, process+1, []Part{1, 2, 10 + process})
	}
	now = now.Add(settleTime)
	answerOthers(f, now)
	f.Convict(now)
	if !f.Holds(now, []Part{1, 2, 99}) || f.Holds(now, []Part{1, 99}) || f.Holds(now, []Part{2, 99}) {
		t.Fatalf("verdicts %v, want one on the parts 1 and 2 together", f.verdicts)
	}
	f.AddAnswer(now, []Part{1, 99}, now)
	if !f.Holds(now, []Part{2, 99}) || f.Holds(now, []Part{1, 99}) {
		t.Errorf("after a response on part 1, the verdict is on %v, want part 2 alone", f.remaining(f.verdicts[0]))
	}
}

// TestOneMoreCrashSeparatesParts guards against a part that needs as many crashes again once it comes without the one
// that it was convicted with.
func TestOneMoreCrashSeparatesParts(t *testing.T) {
	f, now := NewFinder(), simStart
	for process := range uint64(5) {
		now = now.Add(step)
		crashed(f, now, process+1, []Part{1, 2})
	}
	now = now.Add(settleTime)
	answerOthers(f, now)
	f.Convict(now)
	crashed(f, now, 50, []Part{2, 3})
	now = now.Add(settleTime)
	answerOthers(f, now)
	f.Convict(now)
	if !f.Holds(now, []Part{2, 4}) || f.Holds(now, []Part{1, 4}) {
		t.Errorf("verdicts %v, want one on part 2 alone", f.verdicts)
	}
}

// TestCrashesAtOnceCountOnce guards against parts that are convicted because several servers were lost together.
func TestCrashesAtOnceCountOnce(t *testing.T) {
	f, now := NewFinder(), simStart
	for process := range uint64(20) {
		crashed(f, now.Add(time.Duration(process)*time.Millisecond), process+1, []Part{2})
	}
	now = now.Add(settleTime + step)
	answerOthers(f, now)
	if v := f.Convict(now); len(v) > 0 {
		t.Errorf("verdicts %v, want none", v)
	}
}

// TestAnswerBeforeTheFirstCrashAcquitsNothing guards against a part that turns bad and is never found.
func TestAnswerBeforeTheFirstCrashAcquitsNothing(t *testing.T) {
	f, now := NewFinder(), simStart
	f.AddAnswer(now, []Part{2}, now)
	now = now.Add(answerCover)
	for process := range uint64(9) {
		now = now.Add(step)
		crashed(f, now, process+1, []Part{2})
	}
	now = now.Add(settleTime)
	answerOthers(f, now)
	f.Convict(now)
	if !f.Holds(now, []Part{2}) {
		t.Error("a part on which a response began before the crashes is not convicted")
	}
}

// TestAnswerEndsAVerdict guards against a wrong verdict that lasts although a response on the part has begun.
func TestAnswerEndsAVerdict(t *testing.T) {
	f, now := NewFinder(), simStart
	f.AddVerdict(now, Verdict{Parts: []Part{2}, Since: now, LastSeen: now})
	if !f.Holds(now, []Part{2}) {
		t.Fatal("the verdict does not hold")
	}
	f.Merge(now, Evidence{Answers: []Answer{{2, now.Add(time.Millisecond)}}})
	if f.Holds(now.Add(time.Second), []Part{2}) {
		t.Error("the verdict holds although another instance reports a response")
	}
}

// TestVerdictLastsWhileRequestsCome checks that a verdict ends verdictMemory after the last request at any instance.
func TestVerdictLastsWhileRequestsCome(t *testing.T) {
	f, now := NewFinder(), simStart
	f.AddVerdict(now, Verdict{Parts: []Part{2}, Since: now, LastSeen: now})
	for range 10 {
		now = now.Add(verdictMemory - time.Second)
		if !f.Holds(now, []Part{2}) {
			t.Fatal("the verdict ended while requests came")
		}
	}
	now = now.Add(verdictMemory - time.Second)
	f.Merge(now, Evidence{Verdicts: []Verdict{{Parts: []Part{2}, Since: simStart, LastSeen: now}}})
	now = now.Add(verdictMemory - time.Second)
	if !f.Holds(now, []Part{2}) {
		t.Fatal("the verdict ended although requests came to another instance")
	}
	now = now.Add(verdictMemory + time.Second)
	if f.Holds(now, []Part{2}) {
		t.Error("the verdict holds after the last request")
	}
}

// TestPartIsFoundAlthoughMostResponsesAreLost guards against a part that crashes few servers, soon after each response on it
// has begun, and is found late as most other responses are lost within SurvivalTime too, at any age.
func TestPartIsFoundAlthoughMostResponsesAreLost(t *testing.T) {
	const bad, frequent = Part(2), Part(3)
	f, now := NewFinder(), simStart
	for process := range uint64(8) {
		now = now.Add(step)
		lost := func(p Part, age time.Duration) {
			f.AddCrash(process, now, Suspect{Request: 100*process + p, Parts: Begun([]Part{p}), Sent: now.Add(-age)})
		}
		lost(bad, 50*time.Millisecond)
		if process != 3 {
			lost(frequent, time.Duration(40+50*process)*time.Millisecond)
		}
		lost(100+process, 200*time.Millisecond)
		f.AddAnswer(now, Begun([]Part{900 + process}), now.Add(-SurvivalTime))
		f.Convict(now)
	}
	f.Convict(now.Add(settleTime))
	if !f.Holds(now, []Part{bad}) || f.Holds(now, []Part{frequent}) {
		t.Errorf("verdicts %v, want one on the part that was at all crashes at the same age", f.verdicts)
	}
}

// BenchmarkConvict judges as many crashes as are kept, each with as many suspects, after a verdict.
func BenchmarkConvict(b *testing.B) {
	f, now := NewFinder(), simStart
	for process := range uint64(maxCrashes) {
		now = now.Add(50 * time.Millisecond)
		for i := range uint64(maxSuspects) {
			f.AddCrash(process, now, Suspect{Request: 100*process + i, Parts: []Part{i % 3, 2, 1000 + 31*process + i}, Sent: now.Add(-100 * time.Millisecond)})
		}
	}
	answerOthers(f, now)
	f.Convict(now.Add(settleTime))
	for b.Loop() {
		f.Convict(now.Add(settleTime))
	}
}

// TestAnswerOfAnInstanceThatDoesNotKnowTheCrashes guards against a sound part that is convicted as the instances that
// get responses on it do not report them: of many crashes at once, reports hold the latest only, so that they do not
// know that the part is a suspect.
func TestAnswerOfAnInstanceThatDoesNotKnowTheCrashes(t *testing.T) {
	f, other, now := NewFinder(), NewFinder(), simStart
	for process := range uint64(10) {
		now = now.Add(step)
		other.AddAnswer(now, []Part{2}, now.Add(-50*time.Millisecond))
		crashed(f, now, process+1, []Part{2})
		f.Merge(now, other.Report(now))
	}
	now = now.Add(settleTime)
	answerOthers(f, now)
	if v := f.Convict(now); len(v) > 0 {
		t.Errorf("verdicts %v, want none: responses on the part began all the time", v)
	}
}

// TestCandidateIsNamedBeforeItIsConvicted guards against a sound part that is convicted before the instances that got
// responses on it have said so, and against one that is never convicted as nobody has.
func TestCandidateIsNamedBeforeItIsConvicted(t *testing.T) {
	for _, answered := range []bool{true, false} {
		f, other, now := NewFinder(), NewFinder(), simStart
		f.Merge(now, Evidence{})
		for process := range uint64(8) {
			now = now.Add(step)
			if answered {
				other.AddAnswer(now, []Part{2}, now.Add(-50*time.Millisecond))
			}
			crashed(f, now, process+1, []Part{2})
			answerOthers(f, now)
			if f.Convict(now); f.Holds(now, []Part{2}) && process < 4 {
				t.Fatalf("answered %v: convicted after %d crashes", answered, process+1)
			}
			// Only candidates and answers are exchanged: reports are full of other crashes.
			other.Merge(now, Evidence{Candidates: f.Report(now).Candidates})
			e := other.Report(now)
			f.Merge(now, Evidence{Answers: e.Answers, Candidates: e.Candidates})
		}
		now = now.Add(settleTime)
		answerOthers(f, now)
		f.Convict(now)
		if got, want := f.Holds(now, []Part{2}), !answered; got != want {
			t.Errorf("answered %v: the part is held back %v, want %v", answered, got, want)
		}
	}
}

// TestAnswersOnCandidatesAreReportedFirst guards against a sound part that is convicted, or that stays so, as a report
// has no room for the answers on it.
func TestAnswersOnCandidatesAreReportedFirst(t *testing.T) {
	const candidate, convicted = Part(1 << 40), Part(1<<40 + 1)
	f, now := NewFinder(), simStart
	var many []Part
	for p := range Part(10 * maxReportedAnswers) {
		many = append(many, p)
	}
	for _, p := range append(slices.Clone(many), candidate, convicted) {
		f.AddAnswer(now, []Part{p}, now)
	}
	for i, p := range many {
		crashed(f, now.Add(time.Millisecond), uint64(i), []Part{p})
	}
	f.AddVerdict(now, Verdict{Parts: []Part{convicted}, Since: now, LastSeen: now})
	f.Merge(now, Evidence{Candidates: []Candidate{{Part: candidate, Named: now, Crashes: 2}}})
	e := Combine(f.Report(now))
	for _, p := range []Part{candidate, convicted} {
		if !slices.ContainsFunc(e.Answers, func(a Answer) bool { return a.Part == p }) {
			t.Errorf("the report lacks the answer on part %d", p)
		}
	}
	if len(e.Answers) > maxReportedAnswers {
		t.Errorf("%d answers, want %d at most", len(e.Answers), maxReportedAnswers)
	}
}

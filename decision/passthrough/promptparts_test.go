package passthrough

import (
	"testing"
	"time"

	"masticplank.example/decision/internal/culprit"
)

const (
	firstPart, badPart, otherPart uint64 = 1, 2, 3
)

// quarantineParts lets the world know a verdict on the parts.
func (h *harness) quarantineParts(parts ...uint64) []Command {
	return h.tick(PeerEvidence{Evidence: CrashEvidence{Verdicts: []PartVerdict{{Parts: parts, Since: h.now, LastSeen: h.now, Crashes: 4}}}, Instances: 1})
}

// prompt sets the parts of a request's prompt.
func prompt(parts ...uint64) func(*Request) {
	return func(r *Request) { r.Parts = parts }
}

// newEngineHarness returns a harness with engines.
func newEngineHarness(t *testing.T, engines int) *harness {
	t.Helper()
	return newListedHarness(t, streamRoute(), servers("llm", engines, 8))
}

// TestRequestWithAQuarantinedPartIsRefused guards against requests with a part that crashes servers and are sent, on
// arrival or as a retry or a larger model, and against sound requests that are refused with them.
func TestRequestWithAQuarantinedPartIsRefused(t *testing.T) {
	bad := prompt(firstPart, badPart)
	arrived := func(t *testing.T, end AttemptEnded) (*harness, RequestID) {
		h := newEngineHarness(t, 4)
		id := h.arrive(streamRoute(), bad)
		h.requireDispatch(id)
		end.Request = id
		h.quarantineParts(badPart)
		h.tick(end)
		return h, id
	}
	t.Run("on arrival", func(t *testing.T) {
		h := newEngineHarness(t, 4)
		h.quarantineParts(badPart)
		if r := h.requireRefusal(h.arrive(streamRoute(), bad), ReasonPartQuarantined); r.RetryAfter != quarantineRetryAfter {
			t.Errorf("retry after %v, want %v", r.RetryAfter, quarantineRetryAfter)
		}
		h.requireDispatch(h.arrive(streamRoute(), prompt(firstPart, otherPart)))
		h.requireDispatch(h.arrive(streamRoute(), nil))
	})
	t.Run("before a retry", func(t *testing.T) {
		h, id := arrived(t, AttemptEnded{Result: Broken, ConnectionLost: true})
		h.requireFinish(id)
	})
	t.Run("before it is sent elsewhere", func(t *testing.T) {
		h, id := arrived(t, AttemptEnded{Result: Withheld})
		h.requireRefusal(id, ReasonPartQuarantined)
	})
	t.Run("before its stream is resumed", func(t *testing.T) {
		h := newEngineHarness(t, 4)
		id := h.arrive(streamRoute(), bad)
		h.requireDispatch(id)
		h.tick(FirstEvent{Request: id})
		h.advance(time.Second)
		h.quarantineParts(badPart)
		h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true, Begun: true})
		h.requireFinish(id)
	})
	t.Run("before a larger model", func(t *testing.T) {
		h, id := arrived(t, AttemptEnded{Result: Dropped, Confidence: 0.1})
		h.requireFinish(id)
	})
}

// TestQueuedRequestWithAQuarantinedPartIsRefused guards against a request that waits in the queue when the part of its
// prompt is quarantined, and is sent later.
func TestQueuedRequestWithAQuarantinedPartIsRefused(t *testing.T) {
	h := newEngineHarness(t, 1)
	var ids []RequestID
	for range 12 {
		ids = append(ids, h.arrive(streamRoute(), prompt(firstPart, badPart)))
	}
	waiting := ids[len(ids)-1]
	if h.last(waiting) != nil {
		t.Fatalf("got %#v, want the request to be queued", h.last(waiting))
	}
	h.quarantineParts(badPart)
	h.requireRefusal(waiting, ReasonPartQuarantined)
}

// TestRequestsAtServersAreWithdrawn guards against a server that crashes although the part was quarantined before it
// began the response, and against responses that are ended although they have begun.
func TestRequestsAtServersAreWithdrawn(t *testing.T) {
	h := newEngineHarness(t, 4)
	begun, waiting := h.arrive(streamRoute(), prompt(badPart)), h.arrive(streamRoute(), prompt(badPart))
	server := h.requireDispatch(waiting).Server
	h.tick(FirstEvent{Request: begun})
	h.advance(time.Second)
	withdrawn := map[RequestID]bool{}
	for _, c := range h.quarantineParts(badPart) {
		if c, ok := c.(Withdraw); ok {
			withdrawn[c.Request] = true
		}
	}
	if withdrawn[begun] || !withdrawn[waiting] {
		t.Errorf("withdrawn %v, want request %d only", withdrawn, waiting)
	}
	if h.world.MaySend(h.now, waiting, server) {
		t.Error("a withdrawn request may be sent")
	}
	h.tick(AttemptEnded{Request: waiting, Result: Broken})
	h.requireFinish(waiting)
	if s := h.world.servers[server.ID]; s.health.total != 0 {
		t.Error("a withdrawn request counts as a failure of its server")
	}
}

// TestQuarantineTakesBackLostFailureDomain guards against servers that stay in slow start because others of their
// failure domain were crashed by a part of prompts.
func TestQuarantineTakesBackLostFailureDomain(t *testing.T) {
	h := newEngineHarness(t, 6)
	h.tick(Configured{NewIndex(Config{Version: 2, Routes: []Route{*streamRoute()},
		Services: []Service{{Name: "llm", Slots: 8, SlowStartDuration: 10 * time.Second, SlowStartRate: 1}}})})
	inSlowStart := func() int {
		n := 0
		for _, s := range h.world.servers {
			if s.inSlowStart(h.now) {
				n++
			}
		}
		return n
	}
	lost := 0
	for ; inSlowStart() < 6 && lost < 6; lost++ {
		id := h.arrive(streamRoute(), prompt(badPart))
		h.requireDispatch(id)
		h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true})
		h.tick(RequestCancelled{Request: id})
	}
	if inSlowStart() < 6 {
		t.Fatalf("%d of 6 servers in slow start after %d lost ones, want all", inSlowStart(), lost)
	}
	h.quarantineParts(badPart)
	if got := inSlowStart(); got > lost {
		t.Errorf("%d servers stay in slow start, want the %d lost ones at most", got, lost)
	}
}

// TestCrashesOfAVersionAreNoEvidence guards against parts that are quarantined because the version that is being
// rolled out crashes by itself.
func TestCrashesOfAVersionAreNoEvidence(t *testing.T) {
	for _, share := range []float64{0.3, 1} {
		h := newEngineHarness(t, 4)
		h.tick(RolloutUpdated{Rollout{Order: Order{Service: "llm", Target: "v1", Duration: time.Minute}, Phase: PhaseCanary, Share: share}})
		id := h.arrive(streamRoute(), func(r *Request) { r.Parts, r.RolloutPosition = []uint64{badPart}, 0.1 })
		h.requireDispatch(id)
		h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true})
		if got, want := len(h.world.OwnEvidence(h.now).Crashes), share == 1; (got > 0) != want {
			t.Errorf("share %.1f: %d crashes reported, want any: %v", share, got, want)
		}
	}
}

// TestRequestWithOneOfTwoQuarantinedPartsIsSentOnce guards against a request that holds one part of a verdict on two,
// and crashes one server after the other.
func TestRequestWithOneOfTwoQuarantinedPartsIsSentOnce(t *testing.T) {
	h := newEngineHarness(t, 4)
	h.quarantineParts(firstPart, badPart)
	h.requireRefusal(h.arrive(streamRoute(), prompt(firstPart, badPart, otherPart)), ReasonPartQuarantined)
	id := h.arrive(streamRoute(), prompt(badPart, otherPart))
	h.requireDispatch(id)
	h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true})
	h.requireFinish(id)
}

// loseServer lets a request with the parts be lost at its server, after the first event of its response if begun is true.
func (h *harness) loseServer(begun bool, parts ...uint64) {
	id := h.arrive(streamRoute(), prompt(parts...))
	h.requireDispatch(id)
	if begun {
		h.tick(FirstEvent{Request: id})
		h.advance(50 * time.Millisecond)
	}
	h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true, Begun: begun})
	h.tick(RequestCancelled{Request: id})
}

// serve lets requests with sound parts be answered, and their servers survive that.
func (h *harness) serve(requests int) {
	for range requests {
		id := h.arrive(streamRoute(), prompt(firstPart, otherPart))
		h.requireDispatch(id)
		h.tick(FirstEvent{Request: id})
		h.tick(AttemptEnded{Request: id, Result: Completed})
	}
	h.advance(culprit.SurvivalTime)
	h.tick()
}

// TestPartThatCrashesServersAfterAnEventIsFound guards against a part of prompts that the first event of each response
// acquits, although servers write one before they crash.
func TestPartThatCrashesServersAfterAnEventIsFound(t *testing.T) {
	for _, begun := range []bool{false, true} {
		h := newEngineHarness(t, 24)
		h.tick(PeerEvidence{Instances: 1})
		for crashes := 0; crashes < 8 && len(h.world.OwnEvidence(h.now).Verdicts) == 0; crashes++ {
			h.serve(6)
			h.loseServer(begun, firstPart, badPart)
			own := h.world.OwnEvidence(h.now)
			h.tick(PeerEvidence{Evidence: CrashEvidence{Candidates: own.Candidates}, Instances: 1})
		}
		h.requireRefusal(h.arrive(streamRoute(), prompt(firstPart, badPart)), ReasonPartQuarantined)
		h.requireDispatch(h.arrive(streamRoute(), prompt(firstPart, otherPart)))
	}
}

// TestServerThatGoesOnAcquitsAPart guards against a sound part that is a suspect for as long as its responses last, or that
// is acquitted by a response which its server has not survived.
func TestServerThatGoesOnAcquitsAPart(t *testing.T) {
	for after, want := range map[time.Duration]int{culprit.SurvivalTime - time.Millisecond: 1, culprit.SurvivalTime: 0} {
		h := newEngineHarness(t, 4)
		id := h.arrive(streamRoute(), prompt(badPart))
		h.requireDispatch(id)
		h.tick(FirstEvent{Request: id})
		h.advance(after)
		h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true, Begun: true})
		e := h.world.OwnEvidence(h.now)
		if len(e.Crashes) != want || (e.Begun.Answered > 0) == (want > 0) {
			t.Errorf("lost %v after the first event: %d crashes, outcomes %v, want %d crashes", after, len(e.Crashes), e.Begun, want)
		}
	}
}

// TestCompleteResponseStaysASuspect guards against a part that is never found as its responses are complete before the
// server crashes, which requests of other prompts observe.
func TestCompleteResponseStaysASuspect(t *testing.T) {
	h := newEngineHarness(t, 1)
	complete, other := h.arrive(streamRoute(), prompt(badPart)), h.arrive(streamRoute(), prompt(otherPart))
	h.tick(FirstEvent{Request: complete})
	h.tick(AttemptEnded{Request: complete, Result: Completed})
	h.advance(100 * time.Millisecond)
	h.tick(AttemptEnded{Request: other, Result: Broken, ConnectionLost: true})
	e := h.world.OwnEvidence(h.now)
	if len(e.Crashes) != 1 || len(e.Crashes[0].Suspects) != 2 || e.Begun.Lost == 0 {
		t.Errorf("crashes %v, outcomes %v, want one with both requests as suspects", e.Crashes, e.Begun)
	}
}

// TestResponsesThatMayCrashTheirServerAreWithdrawn guards against a server that crashes although the part was quarantined
// while the response had just begun, and against responses that are ended although the server survives them.
func TestResponsesThatMayCrashTheirServerAreWithdrawn(t *testing.T) {
	for _, afterEvents := range []bool{false, true} {
		parts := []uint64{badPart}
		if afterEvents {
			parts = culprit.Begun(parts)
		}
		h := newEngineHarness(t, 4)
		early, late := h.arrive(streamRoute(), prompt(badPart)), h.arrive(streamRoute(), prompt(badPart))
		h.tick(FirstEvent{Request: early})
		h.advance(culprit.SurvivalTime)
		h.tick(FirstEvent{Request: late})
		withdrawn := map[RequestID]bool{}
		h.now = h.now.Add(time.Millisecond)
		for _, c := range h.quarantineParts(parts...) {
			if c, ok := c.(Withdraw); ok {
				withdrawn[c.Request] = true
			}
		}
		if withdrawn[early] || withdrawn[late] != afterEvents {
			t.Errorf("crashes after events %v: withdrawn %v, want request %d: %v", afterEvents, withdrawn, late, afterEvents)
		}
	}
}

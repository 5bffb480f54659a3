package passthrough

import (
	"testing"
	"time"
)

// TestPromptsGoWhereTheyFit guards against engines whose memory is filled by a few long prompts, of this instance or of others,
// so that they preempt running requests.
func TestPromptsGoWhereTheyFit(t *testing.T) {
	h := newPlannedHarness(t, 1)
	full := h.world.servers["llm-0"]
	h.tick(PeerLoads{Loads: []PeerLoad{{Key: full.peerKey(), Tokens: 70_000}}, Instances: 2})
	for i := range 4 {
		id := h.arrive(streamRoute(), func(r *Request) { r.PromptTokens = 40_000 })
		if d := h.requireDispatch(id); d.Server.ID == "llm-0" {
			t.Errorf("prompt %d of 40,000 tokens went to llm-0, want it at a server with memory for it", i)
		}
	}
	h.requireDispatch(h.arrive(streamRoute(), func(r *Request) { r.PromptTokens = 40_000 }))
}

// TestTokensAreReleased guards against an engine that looks full after its requests have ended.
func TestTokensAreReleased(t *testing.T) {
	h := newPlannedHarness(t, 1)
	id := h.arrivePrompt()
	srv := h.world.servers[h.requireDispatch(id).Server.ID]
	if got := h.world.OwnLoads(); len(got) != 1 || got[0].Tokens != 10_100 {
		t.Errorf("own loads %+v, want one of 10,100 tokens", got)
	}
	h.tick(AttemptEnded{Request: id, Result: Completed})
	if srv.ownTokens != 0 {
		t.Errorf("%d tokens after the end of the only request, want 0", srv.ownTokens)
	}
}

// TestLostReportsLeaveAnEstimate guards against engines that look empty while the peers' reports are lost.
func TestLostReportsLeaveAnEstimate(t *testing.T) {
	h := newPlannedHarness(t, 1)
	h.advance(time.Second)
	h.tick(LoadReported{Server: "llm-0", Load: Load{Running: 4, Slots: 8}})
	if got := h.world.tokensAt(h.world.servers["llm-0"]); got < 30_000 {
		t.Errorf("%.0f tokens by four requests of 10,100, want at least 30,000", got)
	}
}

// TestPromptLargerThanAnyEngineIsRefused guards against a prompt that is tried at one engine after the other though none can run it.
func TestPromptLargerThanAnyEngineIsRefused(t *testing.T) {
	h := newPlannedHarness(t, 1)
	id := h.arrive(streamRoute(), func(r *Request) { r.PromptTokens = 100_001 })
	if refused := h.requireRefusal(id, ReasonTooLarge); refused.RetryAfter <= 0 {
		t.Error("refused without a retry-after time, want one above 0")
	}
}

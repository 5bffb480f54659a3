package decision

import (
	"math/rand/v2"
	"testing"
	"time"
)

// rolloutHarness has weave@2 take half of weave@1's new requests.
func rolloutHarness(t *testing.T, cfg Config) *harness {
	h := newHarness(t, cfg)
	h.manifest(1, []Team{testTeam("weavers", 1)}, []Version{
		{ID: weave1, Model: "weave", State: VersionServing, Share: 0.5, Quality: 0.8},
		{ID: weave2, Model: "weave", State: VersionServing, Share: 0.5, Quality: 0.8, Predecessor: weave1},
	})
	h.servers(testServers(6, 8, weave1, weave2)...)
	h.tick()
	return h
}

// A version that turns bad must get at most 1% of the requests after its first 50
// bad answers and no new sessions; sessions that are pinned to it stay.
func TestBadVersionIsShutOff(t *testing.T) {
	tests := map[string]struct {
		rating func(Dispatch, Request) (float64, bool)
		result AttemptResult
	}{
		"by ratings": {rating: func(d Dispatch, _ Request) (float64, bool) {
			if d.Version == weave2 {
				return 0.3, false
			}
			return 0.8, false
		}, result: AttemptCompleted},
		"by errors": {result: AttemptFailed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := rolloutHarness(t, DefaultConfig())
			h.rating = func(Dispatch, Request) (float64, bool) { return 0.8, false }
			rng := rand.New(rand.NewPCG(5, 5))
			load := demand{perSecond: 100, request: shortRequest("weavers"), deadline: 5 * time.Second}
			offer(h, rng, 5*time.Second, load)

			h.rating = tt.rating
			h.result = func(d Dispatch, _ Request) AttemptResult {
				if d.Version == weave2 {
					return tt.result
				}
				return AttemptCompleted
			}
			first, bad, shared := 0, 0, 0
			h.onCommand = func(c Command) {
				if v, ok := c.(ShareVerdict); ok && v.Verdict.Bad && v.Verdict.Version == weave2 {
					shared++
				}
				if d, ok := c.(Dispatch); ok && d.Attempt == 1 {
					first++
					if d.Version == weave2 {
						bad++
					}
				}
			}
			offer(h, rng, 20*time.Second, load)
			if first < 1900 || bad > 50+first/100 {
				t.Errorf("the bad version got %d of %d requests, want at most 50 plus 1%% of the requests, and at least 1900 requests", bad, first)
			}
			if shared == 0 {
				t.Error("the verdict was not shared")
			}
			for _, id := range h.w.sessionVersions(SessionOpening{Team: "weavers", RolloutPosition: 0.1}) {
				if id == weave2 {
					t.Error("a new session is pinned to the bad version")
				}
			}
			h.result = always(AttemptCompleted)
			pinned := h.arrive(Request{Team: "weavers", Pinned: weave2})
			h.run(2 * time.Second)
			if _, ok := h.outcomes[pinned].command.(Deliver); !ok {
				t.Errorf("pinned request: %+v, want delivered", h.outcomes[pinned])
			}
		})
	}
}

// A peer's verdict must count until it expires.
func TestPeerVerdict(t *testing.T) {
	h := rolloutHarness(t, DefaultConfig())
	h.send(VersionVerdict{Version: weave2, Bad: true, Until: h.now.Add(time.Second)})
	h.tick()
	sessionVersion := func() VersionID { return h.w.sessionVersions(SessionOpening{Team: "weavers", RolloutPosition: 0.1})[0] }
	if got := sessionVersion(); got != weave1 {
		t.Errorf("version %s with the verdict in force, want weave@1", got)
	}
	h.run(2 * time.Second)
	if got := sessionVersion(); got != weave2 {
		t.Errorf("version %s after the verdict has expired, want weave@2", got)
	}
}

// One slow backend server among six must be detected and ejected, so that callers
// wait little longer than without it.
func TestSlowServer(t *testing.T) {
	p99 := func(policy Policy) time.Duration {
		cfg := DefaultConfig()
		cfg.Policy = policy
		h := newHarness(t, cfg)
		h.manifest(1, []Team{testTeam("weavers", 1)}, testVersions())
		h.servers(testServers(6, 8, weave1, draft1)...)
		h.duration = func(d Dispatch, r Request) time.Duration {
			if d.Server == "s0" {
				return 10 * tenMsPerToken(d, r)
			}
			return tenMsPerToken(d, r)
		}
		rng := rand.New(rand.NewPCG(9, 9))
		load := demand{perSecond: 120, request: shortRequest("weavers"), deadline: 10 * time.Second}
		offer(h, rng, 10*time.Second, load)
		h.outcomes = map[RequestID]outcome{}
		offer(h, rng, 20*time.Second, load)
		h.run(10 * time.Second)
		h.requireAllEnded()
		if got := h.delivered(""); got != len(h.outcomes) {
			t.Errorf("%d of %d delivered, want all", got, len(h.outcomes))
		}
		return percentile(h.answerTimes("weavers"), 0.99)
	}
	with, without := p99(Policy{}), p99(Policy{NoVerdicts: true})
	if with > 300*time.Millisecond || without < time.Second {
		t.Errorf("p99 %v, want at most 300 ms; without ejection %v, want at least 1 s", with, without)
	}
}

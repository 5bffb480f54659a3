package passthrough

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// randomHistory drives a world by random events and checks its commands.
type randomHistory struct {
	*harness
	rng    *rand.Rand
	routes []*Route
	list   []Server
	live   map[RequestID]*liveRequest
	phase  Phase
	// leaving are the processes that have stated that they are leaving, backoff the times until which
	// processes want no requests.
	leaving map[serverProcess]bool
	backoff map[serverProcess]time.Time
}

// liveRequest is a request that has not ended. notSent counts its attempts that reached no server.
type liveRequest struct {
	route   *Route
	server  string
	ran     bool
	sent    int
	notSent int
}

// TestInvariants guards against commands that no sequence of events may cause: requests that end
// twice or are sent while they run, that are refused though they may have run, that run more often
// than their route allows, or that go to servers which may not get them. It runs seeded histories
// of arrivals, ends of all kinds, callers that leave, changes of the server list, servers that
// restart, that state that they are leaving or want no requests for a time, roll-outs and pauses.
func TestInvariants(t *testing.T) {
	for seed := range uint64(400) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runInvariants(t, rand.New(rand.NewPCG(seed, 9)), 400) })
	}
}

// FuzzInvariants lets the fuzzer choose the events.
func FuzzInvariants(f *testing.F) {
	f.Add(uint64(1), uint64(2))
	f.Fuzz(func(t *testing.T, a, b uint64) { runInvariants(t, rand.New(rand.NewPCG(a, b)), 200) })
}

func runInvariants(t *testing.T, rng *rand.Rand, steps int) {
	h := &randomHistory{harness: newHarness(t, Settings{}), rng: rng, live: map[RequestID]*liveRequest{}, leaving: map[serverProcess]bool{}, backoff: map[serverProcess]time.Time{}}
	h.routes = []*Route{plainRoute(), onceRoute(), streamRoute()}
	h.configure(h.routes...)
	h.relistServers()
	for range steps {
		h.advance(time.Duration(rng.IntN(80)) * time.Millisecond)
		h.step()
		h.checkCounts()
	}
}

func (h *randomHistory) relistServers() {
	h.list = h.list[:0]
	for _, s := range append(servers("shop", 3, 2), servers("llm", 4, 3)...) {
		if h.rng.IntN(5) == 0 {
			continue
		}
		s.Leaving = h.rng.IntN(6) == 0
		s.StartTime = int64(1 + h.rng.IntN(8)/7)
		if h.rng.IntN(2) == 0 {
			s.Version = "v2"
		}
		h.list = append(h.list, s)
	}
	h.tickChecked(ServersListed{append([]Server(nil), h.list...)})
}

func (h *randomHistory) step() {
	switch h.rng.IntN(16) {
	case 0:
		h.relistServers()
	case 1:
		h.phase = []Phase{PhaseCanary, PhaseCompleted, PhaseReverted}[h.rng.IntN(3)]
		h.tickChecked(RolloutUpdated{Rollout{Order: Order{Service: "llm", Target: "v2"}, Phase: h.phase, Share: 0.3}})
	case 2:
		for id, r := range h.live {
			if r.server != "" && h.rng.IntN(4) == 0 {
				h.tickChecked(LoadReported{Server: r.server, Load: Load{Running: h.rng.IntN(5), Waiting: h.rng.IntN(3), Slots: 3}})
			}
			_ = id
		}
	case 3:
		h.withLiveRequest(func(id RequestID, _ *liveRequest) { h.tickChecked(RequestCancelled{id}); delete(h.live, id) })
	case 4:
		h.withLiveRequest(func(id RequestID, _ *liveRequest) { h.tickChecked(QueueWaitExpired{id}) })
	case 14, 15:
		h.state()
	case 5, 6, 7, 8:
		h.next++
		route := h.routes[h.rng.IntN(len(h.routes))]
		h.live[h.next] = &liveRequest{route: route}
		h.tickChecked(RequestArrived{Request{
			ID: h.next, Route: route, Service: route.Backends[0].Service, Team: fmt.Sprint(h.rng.IntN(3)), Priority: h.rng.IntN(3),
			Session: []string{"", "a", "b"}[h.rng.IntN(3)], PrefixHash: uint64(h.rng.IntN(3)), PromptTokens: h.rng.IntN(9000),
			RolloutPosition: h.rng.Float64(), Fingerprint: uint64(h.rng.IntN(30)), TargetTime: h.now.Add(route.TargetLatency),
			Deadline: h.now.Add(time.Duration(h.rng.IntN(3000)) * time.Millisecond), ChooseModel: len(route.Models) > 0,
		}})
	default:
		h.withLiveRequest(func(id RequestID, r *liveRequest) {
			if r.server == "" {
				return
			}
			result := Result(1 + h.rng.IntN(8))
			if result == Dropped && r.route.Kind != KindStream {
				result = Broken
			}
			r.server = ""
			r.ran = r.ran || result.MayHaveRun()
			if result == NotSent || result == Withheld {
				r.notSent++
			}
			if result == Completed || result == Abandoned {
				delete(h.live, id)
			}
			h.tickChecked(AttemptEnded{Request: id, Result: result, ConnectionLost: result == Broken && h.rng.IntN(2) == 0, EventInterval: time.Millisecond})
		})
	}
}

// state lets a server that is listed now, or was listed earlier, state something.
func (h *randomHistory) state() {
	s := append(servers("shop", 3, 2), servers("llm", 4, 3)...)[h.rng.IntN(7)]
	s.StartTime = int64(1 + h.rng.IntN(2))
	if h.world.findProcess(s.process()) == nil {
		return
	}
	e := ServerStated{Server: s, Leaving: h.rng.IntN(8) == 0}
	if h.rng.IntN(2) == 0 {
		e.RetryAfter = time.Duration(h.rng.IntN(1500)) * time.Millisecond
	}
	h.leaving[s.process()] = h.leaving[s.process()] || e.Leaving
	if until := h.now.Add(e.RetryAfter); until.After(h.backoff[s.process()]) {
		h.backoff[s.process()] = until
	}
	h.tickChecked(e)
}

// withLiveRequest calls do with a recent live request, chosen at random, or not at all.
func (h *randomHistory) withLiveRequest(do func(RequestID, *liveRequest)) {
	for id := h.next; id > 0 && id+40 > h.next; id-- {
		if r := h.live[id]; r != nil && h.rng.IntN(3) == 0 {
			do(id, r)
			return
		}
	}
}

// tickChecked sends an event and checks all commands.
func (h *randomHistory) tickChecked(e Event) {
	h.t.Helper()
	for _, c := range h.tick(e) {
		switch c := c.(type) {
		case Dispatch:
			h.dispatch(c)
		case Refuse:
			r := h.takeLive(c.Request)
			if r.ran {
				h.t.Fatalf("request %d was refused though it may have run", c.Request)
			}
			if c.RetryAfter < 0 || c.RetryAfter > 2*maxRetryAfter {
				h.t.Fatalf("request %d: retry after %v, want 0 to twice maxRetryAfter", c.Request, c.RetryAfter)
			}
		case Finish:
			if r := h.takeLive(c.Request); !r.ran {
				h.t.Fatalf("request %d was finished though it has not run, want a refusal", c.Request)
			}
		}
	}
}

func (h *randomHistory) takeLive(id RequestID) *liveRequest {
	r := h.live[id]
	if r == nil || r.server != "" {
		h.t.Fatalf("request %d was refused or finished twice, or while it runs", id)
	}
	delete(h.live, id)
	return r
}

func (h *randomHistory) dispatch(c Dispatch) {
	r := h.live[c.Request]
	if r == nil || r.server != "" {
		h.t.Fatalf("request %d was dispatched after its end, or while it runs", c.Request)
	}
	if r.ran && !r.route.Retryable() {
		h.t.Fatalf("request %d of route %s was sent again though it may have run", c.Request, r.route.Name)
	}
	r.server = c.Server.ID
	r.sent++
	if r.sent-r.notSent > r.route.MaxAttempts {
		h.t.Fatalf("request %d was sent %d times, more than its route allows", c.Request, r.sent-r.notSent)
	}
	if h.leaving[c.Server.process()] || h.now.Before(h.backoff[c.Server.process()]) {
		h.t.Fatalf("request %d was sent to a server that has stated that it is leaving or wants no requests: %+v", c.Request, c.Server)
	}
	for _, s := range h.list {
		if s.ID != c.Server.ID {
			continue
		}
		if s.Leaving || s.Service != r.route.Backends[0].Service {
			h.t.Fatalf("request %d was sent to a server that is leaving or of another service: %+v", c.Request, s)
		}
		if h.phase == PhaseReverted && s.Service == "llm" && s.Version == "v2" {
			h.t.Fatalf("request %d was sent to a reverted version", c.Request)
		}
		return
	}
	h.t.Fatalf("request %d was sent to %s, which is not listed", c.Request, c.Server.ID)
}

// checkCounts compares the servers' counts with the running requests, and the queues' with
// the waiting ones.
func (h *randomHistory) checkCounts() {
	running := map[string]int{}
	for _, r := range h.world.requests {
		if r.server != nil && !r.server.gone {
			running[r.server.ID]++
		}
	}
	for id, s := range h.world.servers {
		if s.ownRequests != running[id] || len(s.prefilling) > s.ownRequests || s.prefillBacklog < 0 || len(s.prefilling) == 0 && s.prefillBacklog != 0 {
			h.t.Fatalf("server %s counts %d requests, %d run there; %d in prefill, a backlog of %v s", id, s.ownRequests, running[id], len(s.prefilling), s.prefillBacklog)
		}
	}
	for name, s := range h.world.services {
		waiting := 0
		for _, r := range h.world.requests {
			if r.queued && r.service == s {
				waiting++
			}
		}
		if s.queue.len != waiting {
			h.t.Fatalf("service %s counts %d requests in its queue, %d wait", name, s.queue.len, waiting)
		}
	}
}

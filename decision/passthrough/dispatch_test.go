package passthrough

import (
	"fmt"
	"testing"
	"time"
)

// TestPrefixStaysOnOneServerWithinLoadBound guards against requests with one prefix that
// spread over all servers, which repeats its prefill, or overload a single one.
func TestPrefixStaysOnOneServerWithinLoadBound(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(streamRoute())
	h.tick(ServersListed{servers("llm", 6, 8)})
	seen := map[string]int{}
	for range 20 {
		id := h.arrive(streamRoute(), func(r *Request) { r.PrefixHash = 99 })
		seen[h.requireDispatch(id).Server.ID]++
	}
	largest := 0
	for _, n := range seen {
		largest = max(largest, n)
	}
	if len(seen) < 2 || len(seen) > 4 {
		t.Errorf("20 requests with one prefix went to %d servers, want 2 to 4: %v", len(seen), seen)
	}
	if largest > 8 {
		t.Errorf("one server got %d of 20, more than its 8 slots", largest)
	}
}

// TestAllInstancesChooseTheSameServerForAPrompt guards against instances that send the same
// prefix to different servers.
func TestAllInstancesChooseTheSameServerForAPrompt(t *testing.T) {
	want := ""
	for seed := range uint64(5) {
		h := newHarness(t, Settings{Seed: seed, RetryRatio: 1, RetryWindow: time.Second})
		h.configure(streamRoute())
		h.tick(ServersListed{servers("llm", 12, 8)})
		got := h.requireDispatch(h.arrive(streamRoute(), func(r *Request) { r.PrefixHash = 7 })).Server.ID
		if want == "" {
			want = got
		}
		if got != want {
			t.Errorf("seed %d: server %s, with other seeds %s", seed, got, want)
		}
	}
}

// TestLeavingServerGetsNoRequests guards against requests to a server that is leaving.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(plainRoute())
	list := servers("shop", 2, 6)
	h.tick(ServersListed{list})
	list[0].Leaving = true
	h.tick(ServersListed{list})
	for range 10 {
		id := h.arrive(plainRoute(), nil)
		if server := h.requireDispatch(id).Server.ID; server != "shop-1" {
			t.Fatalf("sent to %s, want shop-1", server)
		}
		h.tick(AttemptEnded{Request: id, Result: Completed})
		h.advance(300 * time.Millisecond)
	}
}

// TestRestartedServerIsUsedAgain guards against a server that stays excluded as leaving after
// it has restarted under its id.
func TestRestartedServerIsUsedAgain(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(plainRoute())
	list := servers("shop", 1, 6)
	h.tick(ServersListed{list})
	id := h.arrive(plainRoute(), nil)
	h.tick(AttemptEnded{Request: id, Result: Rejected, Leaving: true})
	h.advance(time.Second)
	h.tick(ServersListed{list})
	h.requireRefusal(h.arrive(plainRoute(), nil), ReasonNoServer)
	list[0].StartTime = 2
	h.tick(ServersListed{list})
	h.requireDispatch(h.arrive(plainRoute(), nil))
}

// TestAttemptEndAfterServerRemovalIsHandled guards against a request that never ends because
// its server was removed from the list before its attempt ended.
func TestAttemptEndAfterServerRemovalIsHandled(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(plainRoute())
	h.tick(ServersListed{servers("shop", 1, 6)})
	id := h.arrive(plainRoute(), nil)
	h.tick(ServersListed{nil})
	h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true})
	h.requireFinish(id)
}

// TestFailingServerIsEjected guards against a failing server that attracts requests because it
// looks idle.
func TestFailingServerIsEjected(t *testing.T) {
	h := newHarness(t, Settings{})
	route := plainRoute()
	h.configure(route)
	h.tick(ServersListed{servers("shop", 3, 6)})
	failing, late := 0, 0
	for i := range 200 {
		h.advance(20 * time.Millisecond)
		id := h.arrive(route, nil)
		for range 2 {
			d, ok := h.last(id).(Dispatch)
			if !ok {
				break
			}
			if d.Server.ID != "shop-0" {
				h.tick(AttemptEnded{Request: id, Result: Completed})
				break
			}
			failing++
			if i > 100 {
				late++
			}
			h.tick(AttemptEnded{Request: id, Result: Failed})
		}
	}
	if failing > 40 || late > 15 {
		t.Errorf("the failing server got %d attempts in 200 requests, %d of them in the last 99; want at most 40 and 15", failing, late)
	}
}

// TestTimedOut guards against giving up on attempts at servers that are only busy, and against
// waiting for servers that are down.
func TestTimedOut(t *testing.T) {
	stream, plain := streamRoute(), plainRoute()
	tests := []struct {
		name string
		in   Inactivity
		want bool
	}{
		{"stream's server sends events", Inactivity{Route: stream, AttemptIdle: 5 * time.Second, ServerIdle: 100 * time.Millisecond}, false},
		{"stream's server is idle", Inactivity{Route: stream, AttemptIdle: 3 * time.Second, ServerIdle: 3 * time.Second}, true},
		{"long prompt at a busy server", Inactivity{Route: stream, PromptTokens: 50000, AttemptIdle: 7 * time.Second, ServerIdle: 7 * time.Second}, false},
		{"long prompt at an idle server", Inactivity{Route: stream, PromptTokens: 50000, AttemptIdle: 9 * time.Second, ServerIdle: 9 * time.Second}, true},
		{"stream waits for twice its target", Inactivity{Route: stream, AttemptIdle: 9 * time.Second}, true},
		{"pause within the bound", Inactivity{Route: stream, Begun: true, AttemptIdle: time.Second}, false},
		{"pause too long", Inactivity{Route: stream, Begun: true, AttemptIdle: 2100 * time.Millisecond}, true},
		{"plain within the timeout", Inactivity{Route: plain, FirstByteTimeout: 400 * time.Millisecond, AttemptIdle: 300 * time.Millisecond}, false},
		{"plain past the timeout", Inactivity{Route: plain, FirstByteTimeout: 400 * time.Millisecond, AttemptIdle: 500 * time.Millisecond}, true},
		{"plain last attempt, without a timeout", Inactivity{Route: plain, AttemptIdle: 900 * time.Millisecond}, false},
	}
	for _, tt := range tests {
		if got := tt.in.TimedOut(); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestSlowServerGetsFewerRequests guards against a slow server that gets as many requests as
// the others.
func TestSlowServerGetsFewerRequests(t *testing.T) {
	h := newHarness(t, Settings{})
	route := plainRoute()
	h.configure(route)
	h.tick(ServersListed{servers("shop", 3, 6)})
	got := map[string]int{}
	type job struct {
		id     RequestID
		server string
		until  time.Time
		took   time.Duration
	}
	var jobs []job
	for range 1500 { // 100 requests per second of 30 ms each; one server is five times as slow
		h.advance(10 * time.Millisecond)
		keep := jobs[:0]
		for _, j := range jobs {
			if j.until.After(h.now) {
				keep = append(keep, j)
				continue
			}
			h.tick(AttemptEnded{Request: j.id, Result: Completed, EventInterval: j.took})
		}
		jobs = keep
		id := h.arrive(route, nil)
		d := h.requireDispatch(id)
		took := 30 * time.Millisecond
		if d.Server.ID == "shop-1" {
			took *= 5
		}
		got[d.Server.ID]++
		jobs = append(jobs, job{id, d.Server.ID, h.now.Add(took), took})
	}
	if part := float64(got["shop-1"]) / 1500; part > 0.12 {
		t.Errorf("the slow server got %.2f of the requests, want at most 0.12: %v", part, got)
	}
}

// TestEjectedServersAreUsedIfAllAreEjected guards against refusals because all servers are
// ejected.
func TestEjectedServersAreUsedIfAllAreEjected(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(onceRoute())
	h.tick(ServersListed{servers("shop", 1, 6)})
	for range 10 {
		id := h.arrive(onceRoute(), nil)
		h.requireDispatch(id)
		h.tick(AttemptEnded{Request: id, Result: Failed})
	}
}

// TestExpiredLoadReportDoesNotCauseRefusals guards against refusals at plain servers whose load
// was reported at the height of a burst: requests of 30 ms end long before the report is old.
func TestExpiredLoadReportDoesNotCauseRefusals(t *testing.T) {
	h := newHarness(t, Settings{})
	route := plainRoute()
	h.configure(route)
	list := servers("shop", 2, 6)
	h.tick(ServersListed{list})
	for range 10 {
		id := h.arrive(route, nil)
		h.advance(30 * time.Millisecond)
		h.tick(AttemptEnded{Request: id, Result: Completed, EventInterval: 30 * time.Millisecond})
	}
	for _, s := range list {
		h.tick(LoadReported{Server: s.ID, Load: Load{Running: 6, Waiting: 4, Slots: 6}})
	}
	h.advance(200 * time.Millisecond)
	h.requireDispatch(h.arrive(route, nil))
}

// configureLargeEngines configures engines of 128 slots.
func (h *harness) configureLargeEngines() {
	h.tick(Configured{NewIndex(Config{Version: 1, Routes: []Route{*streamRoute()}, Services: []Service{{Name: "llm", Slots: 128}}})})
}

// threeDomains returns engines in three failure domains, the given number in each.
func threeDomains(each int) []Server {
	list := servers("llm", 3*each, 128)
	for i := range list {
		list[i].Domain = string(rune('a' + i%3))
	}
	return list
}

// localShare sends prompts of 9,000 tokens, prefixTokens of them shared, to engines that have
// few running requests and each report the given number of waiting prompts. It returns the
// fraction of the prompts that stayed in the failure domain.
func localShare(t *testing.T, prefixTokens, waiting int) float64 {
	t.Helper()
	h := newHarness(t, Settings{Seed: 1, Domain: "a", RetryRatio: 1, RetryWindow: time.Second})
	h.configureLargeEngines()
	h.tick(ServersListed{threeDomains(4)})
	stayed := 0
	const count = 60
	for i := range count {
		for _, s := range threeDomains(4) {
			h.tick(LoadReported{Server: s.ID, Load: Load{Running: 5 + waiting, Waiting: waiting, Slots: 128}})
		}
		id := h.arrive(streamRoute(), func(r *Request) {
			r.PrefixHash, r.PrefixTokens, r.PromptTokens = uint64(i+1), prefixTokens, 9000
		})
		if h.requireDispatch(id).Server.Domain == "a" {
			stayed++
		}
		h.tick(AttemptEnded{Request: id, Result: Completed})
	}
	return float64(stayed) / count
}

// TestPromptsStayLocalWithoutPrefillBacklog guards against needless traffic between
// failure domains, and against repeated prefill when there is no time for it. While engines
// have no prefill backlog, no prompt leaves. As they fall behind, first those with long shared
// prefixes go to the server that has them cached, and finally all do.
func TestPromptsStayLocalWithoutPrefillBacklog(t *testing.T) {
	const shortPrefix, longPrefix = 900, 6000
	if got := localShare(t, longPrefix, 0); got < 1 {
		t.Errorf("no waiting prompts: %.2f stayed in the failure domain, want all", got)
	}
	if got := localShare(t, shortPrefix, 4); got < 1 {
		t.Errorf("few waiting prompts, short prefix: %.2f stayed in the failure domain, want all", got)
	}
	if got := localShare(t, longPrefix, 4); got > 0.5 {
		t.Errorf("few waiting prompts, long prefix: %.2f stayed in the failure domain, want at most half", got)
	}
	if got := localShare(t, shortPrefix, 20); got > 0.5 {
		t.Errorf("many waiting prompts: %.2f stayed in the failure domain, want at most half", got)
	}
}

// TestLongPromptsOfLargerModelUseOneServer guards against a larger model's prefill of a long prefix
// in each failure domain. The smallest model's prefill stays local. When its response was dropped,
// the larger model is requested at the one server that all instances use for the prefix, so that the
// prefix is cached there. Short prompts stay local for both models.
func TestLongPromptsOfLargerModelUseOneServer(t *testing.T) {
	for _, c := range []struct {
		shared       int
		singleServer bool
	}{{6000, true}, {600, false}} {
		h := newUnconstrainedHarness(t)
		h.tick(ServersListed{threeDomains(4)})
		prefillServers := map[string]map[string]bool{}
		const prompts = 20
		for _, domain := range []string{"a", "b"} {
			h.world.cfg.Domain = domain
			for i := range prompts {
				id := h.arrive(streamRoute(), func(r *Request) {
					r.PrefixHash, r.PrefixTokens, r.PromptTokens = uint64(i+1), c.shared, 2*c.shared
				})
				if d := h.requireDispatch(id); d.Server.Domain != domain {
					t.Fatalf("%d shared tokens: the smallest model is requested in failure domain %s, want this instance's", c.shared, d.Server.Domain)
				}
				h.dropResponse(id, 0.1)
				d := h.requireDispatch(id)
				h.tick(AttemptEnded{Request: id, Result: Completed})
				key := fmt.Sprint(i)
				if prefillServers[key] == nil {
					prefillServers[key] = map[string]bool{}
				}
				prefillServers[key][d.Server.ID] = true
			}
		}
		single := 0
		for _, at := range prefillServers {
			if len(at) == 1 {
				single++
			}
		}
		if singleServer := single == prompts; singleServer != c.singleServer {
			t.Errorf("%d shared tokens: %d of %d prompts have the larger model's prefill at a single server, want all of the long prompts and not all of the short ones", c.shared, single, prompts)
		}
	}
}

// TestPromptsLeaveAnOverloadedFailureDomain guards against keeping prompts in a failure domain
// whose engines have three times the load of the others.
func TestPromptsLeaveAnOverloadedFailureDomain(t *testing.T) {
	h := newHarness(t, Settings{Seed: 1, Domain: "a", RetryRatio: 1, RetryWindow: time.Second})
	h.configureLargeEngines()
	h.tick(ServersListed{threeDomains(4)})
	for _, s := range threeDomains(4) {
		load := Load{Running: 20, Slots: 128}
		if s.Domain == "a" {
			load.Running = 60
		}
		h.tick(LoadReported{Server: s.ID, Load: load})
	}
	for i := range 20 {
		id := h.arrive(streamRoute(), func(r *Request) { r.PrefixHash, r.PromptTokens = uint64(i+1), 1000 })
		if d := h.requireDispatch(id); d.Server.Domain == "a" {
			t.Fatalf("request %d stayed at an engine with three times the load of others", i)
		}
		h.tick(AttemptEnded{Request: id, Result: Completed})
	}
}

// TestPromptsAvoidEnginesWithPrefillBacklog guards against comparing engines by running requests
// alone: an engine with few running requests and many waiting prompts must get no more prompts if
// another one has more running requests and no waiting prompts.
func TestPromptsAvoidEnginesWithPrefillBacklog(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configureLargeEngines()
	h.tick(ServersListed{servers("llm", 2, 128)})
	for i := range 20 {
		h.tick(
			LoadReported{Server: "llm-0", Load: Load{Running: 2, Waiting: 10, Slots: 128}},
			LoadReported{Server: "llm-1", Load: Load{Running: 14, Slots: 128}})
		id := h.arrive(streamRoute(), func(r *Request) { r.PrefixHash, r.PromptTokens = uint64(i+1), 9000 })
		if d := h.requireDispatch(id); i > 0 && d.Server.ID == "llm-0" {
			t.Errorf("request %d went to the engine with ten waiting prompts", i)
		}
		h.tick(AttemptEnded{Request: id, Result: Completed})
	}
}

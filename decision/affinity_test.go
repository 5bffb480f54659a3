package decision

import "testing"

// Requests with the same long prefix must go to few servers, but not once these are
// loaded.
func TestPrefixAffinity(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.manifest(1, []Team{testTeam("weavers", 1)}, testVersions())
	h.servers(testServers(6, 8, weave1, draft1)...)
	requestsPerServer := map[ServerID]int{}
	h.onCommand = func(c Command) {
		if d, ok := c.(Dispatch); ok {
			requestsPerServer[d.Server]++
		}
	}
	r := shortRequest("weavers")
	r.PromptTokens, r.Blocks = 2000, []BlockHash{1, 2, 3, 4}
	for range 30 {
		h.arrive(r)
		h.run(12 * step)
	}
	if len(requestsPerServer) > 2 {
		t.Errorf("one request at a time: requests per server %v, want at most 2 servers", requestsPerServer)
	}
	clear(requestsPerServer)
	for range 40 {
		h.arrive(r)
	}
	h.tick()
	if len(requestsPerServer) < 5 {
		t.Errorf("40 requests at once: requests per server %v, want at least 5 servers", requestsPerServer)
	}
}

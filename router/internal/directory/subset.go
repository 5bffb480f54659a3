package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticplank.example/router/internal/wire"
)

const (
	// subsetSize is how many backend servers of one version or service an
	// instance uses. Two random choices among 64 balance as well as among
	// 10,000, and connections and load reports stay bounded in a large fleet.
	// Smaller deployments are used in full.
	subsetSize = 64
	// maxPollsPerSecond bounds the load reports that an instance fetches per
	// second, over all backend servers: with more servers, each is polled less
	// often.
	maxPollsPerSecond = 64
)

// Subset picks the backend servers that an instance uses: for each version and
// service, the subsetSize servers with the highest rendezvous hash with the
// instance's name. A server that joins or leaves changes the subset little, and
// over all instances every server is picked about equally often.
func Subset(instance string, servers []wire.ListedServer) []wire.ListedServer {
	picked := map[string]bool{}
	for _, group := range groupByTarget(servers) {
		for _, s := range topByHash(instance, group) {
			picked[s.ID] = true
		}
	}
	out := make([]wire.ListedServer, 0, len(picked))
	for _, s := range servers {
		if picked[s.ID] {
			out = append(out, s)
		}
	}
	return out
}

// groupByTarget returns the servers of each version and service. A server
// without either is in no group.
func groupByTarget(servers []wire.ListedServer) map[string][]wire.ListedServer {
	out := map[string][]wire.ListedServer{}
	for _, s := range servers {
		if s.Service != "" {
			out["service/"+s.Service] = append(out["service/"+s.Service], s)
		}
		for _, v := range s.Versions {
			out[v] = append(out[v], s)
		}
	}
	return out
}

func topByHash(instance string, group []wire.ListedServer) []wire.ListedServer {
	if len(group) <= subsetSize {
		return group
	}
	weight := make(map[string]uint64, len(group))
	for _, s := range group {
		weight[s.ID] = xxhash.Sum64String(instance + "\x00" + s.ID)
	}
	sorted := slices.Clone(group)
	slices.SortFunc(sorted, func(a, b wire.ListedServer) int {
		return cmp.Or(cmp.Compare(weight[b.ID], weight[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return sorted[:subsetSize]
}

// pollInterval lengthens the configured interval if many servers are polled.
func pollInterval(wanted time.Duration, servers int) time.Duration {
	return max(wanted, time.Duration(servers)*time.Second/maxPollsPerSecond)
}

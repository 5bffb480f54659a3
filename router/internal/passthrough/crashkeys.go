package passthrough

import (
	"fmt"
	"slices"

	"masticplank.example/decision/passthrough"
)

const (
	// crashWindowMS is the window, in milliseconds since the roll-out order, within which
	// responses that one server truncates count as one crash: the instances know the time
	// since the order to some tenths of a second.
	crashWindowMS = 2000
	// maxCrashKeys bounds the crashes that a set lists for a route: more than a verdict needs.
	maxCrashKeys = 64
)

// crashKey names a crash of a server. All instances derive the same key.
func crashKey(server string, elapsedMS int64) string {
	return fmt.Sprintf("%08x/%d", uint32(hashOf(server)), elapsedMS/crashWindowMS)
}

// addCrash records that a server of the new version truncated a response.
//
// Load: a canary of few servers, of which some crash as old ones do, each with a dozen responses in
// progress. Harm prevented: a good version is reverted, since eight responses that broke with three
// servers, counted one by one, were eight failures of eighty. All that one server truncates at
// about the same time counts as one failure, whichever instances saw it. A version that truncates
// responses again and again is still found.
func (s *observationSet) addCrash(o passthrough.Observation) {
	key := crashKey(o.Server, s.ElapsedMS)
	list := s.CrashKeys[o.Route]
	if len(list) >= maxCrashKeys || slices.Contains(list, key) {
		return
	}
	if s.CrashKeys == nil {
		s.CrashKeys = map[string][]string{}
	}
	s.CrashKeys[o.Route] = append(list, key)
}

// crashSet holds the keys of the new version's server crashes by route, as seen by all instances.
type crashSet map[string]map[string]bool

// merge merges what one instance saw.
func (c crashSet) merge(seen map[string][]string) {
	for route, keys := range seen {
		if c[route] == nil {
			c[route] = map[string]bool{}
		}
		for _, key := range keys {
			c[route][key] = true
		}
	}
}

// addToCounts counts each crash as one bad response of the new version.
func (c crashSet) addToCounts(sums map[string]passthrough.VersionCounts) {
	for route, keys := range c {
		pair := sums[route]
		pair.New.Bad += len(keys)
		sums[route] = pair
	}
}

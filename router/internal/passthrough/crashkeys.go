package passthrough

import (
	"fmt"
	"slices"

	"masticplank.example/decision/passthrough"
)

const (
	// crashWindowMS is the length, in milliseconds, of the windows into which the time since
	// the roll-out order is divided. Responses that one server truncates within one window
	// count as one crash. The window is long compared with the differences between the
	// instances, which know the time since the order to some tenths of a second.
	crashWindowMS = 2000
	// maxCrashKeys is the maximum number of crashes that an observation set lists for a route;
	// a verdict needs fewer.
	maxCrashKeys = 64
)

// crashKey returns the key that identifies a crash of a server. All instances compute the same key.
func crashKey(server string, elapsedMS int64) string {
	return fmt.Sprintf("%08x/%d", uint32(hashOf(server)), elapsedMS/crashWindowMS)
}

// addCrash records that a server of the new version truncated a response.
//
// Load: a canary of few servers, some of which crash, as servers of the old version do, each with a
// dozen responses in progress. Harm prevented: a good version is reverted because one crash counts
// as many failures: eight responses truncated by the crashes of three servers would be eight failures
// among eighty responses. All responses that a server truncates within crashWindowMS count as one
// failure, whichever instances saw them. A version that truncates responses repeatedly is still found
// bad.
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

// merge adds the crashes that one instance saw.
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

// addToCounts adds each crash to sums as one bad response of the new version.
func (c crashSet) addToCounts(sums map[string]passthrough.VersionCounts) {
	for route, keys := range c {
		pair := sums[route]
		pair.New.Bad += len(keys)
		sums[route] = pair
	}
}

package passthrough

import (
	"fmt"
	"slices"

	"masticplank.example/decision/passthrough"
)

const (
	// cutTogetherMS is how long after each other answers are cut off that one crash of a server
	// ends: the instances know the time since the order to some tenths of a second.
	crashWindowMS = 2000
	// cutsMost bounds the crashes that a set tells of a route: more than are needed to judge.
	maxCrashKeys = 64
)

// cutKey names a crash of a server, alike at all instances.
func crashKey(server string, elapsedMS int64) string {
	return fmt.Sprintf("%08x/%d", uint32(hashOf(server)), elapsedMS/crashWindowMS)
}

// noteCut takes in that a server of the new version cut an answer off.
//
// Load: a canary of few servers, of which some crash as old ones do, with a dozen answers each.
// Harm prevented: a good version taken back, since eight answers that broke with three servers
// passed for eight failures of eighty. All that one server cuts off at about the same time counts
// as one failure, whoever saw it; a version that cuts off answers again and again is still told.
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

// cuts are the crashes of the new version's servers by route, by all instances.
type crashSet map[string]map[string]bool

// add takes in what one instance saw.
func (c crashSet) add(seen map[string][]string) {
	for route, keys := range seen {
		if c[route] == nil {
			c[route] = map[string]bool{}
		}
		for _, key := range keys {
			c[route][key] = true
		}
	}
}

// count adds each crash to the new version's bad answers.
func (c crashSet) addTo(sums map[string]passthrough.VersionCounts) {
	for route, keys := range c {
		pair := sums[route]
		pair.New.Bad += len(keys)
		sums[route] = pair
	}
}

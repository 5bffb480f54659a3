package passthrough

import (
	"hash/fnv"
	"maps"
	"slices"
)

// Instances tell each other with the load reports which versions they find bad, so that none completes a roll-out before
// the observations of the others have reached it through the store.

// rolloutHash identifies a roll-out in the load reports between instances.
func rolloutHash(service, target string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service + "\x00" + target)) // never fails
	return h.Sum64()
}

// setFoundBad records whether this instance finds the version of a roll-out in progress bad.
func (st *observationStore) setFoundBad(service, target string, bad bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if bad {
		st.foundBad[rolloutHash(service, target)] = true
	} else {
		delete(st.foundBad, rolloutHash(service, target))
	}
}

// ownFoundBad returns the roll-outs whose versions this instance finds bad.
func (st *observationStore) ownFoundBad() []uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return slices.Sorted(maps.Keys(st.foundBad))
}

// applyPeersFoundBad applies what the other instances report.
func (st *observationStore) applyPeersFoundBad(rollouts []uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.peersFoundBad = map[uint64]bool{}
	for _, hash := range rollouts {
		st.peersFoundBad[hash] = true
	}
}

// peerFoundBad reports whether another instance finds the version of the roll-out bad.
func (st *observationStore) peerFoundBad(service, target string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.peersFoundBad[rolloutHash(service, target)]
}

package passthrough

import (
	"math"
	"slices"
)

// wantedVersion is the version that the request goes to: the roll-out's target, or "" for
// any other.
//
// If there is no such server (see countVersions), the others take the request: an instance
// that has just started may not know yet that the old servers are gone. A reverted version
// gets nothing even then.
func (w *World) wantedVersion(r *request, ro *Rollout) string {
	atTarget, others := w.countVersions(r.service, ro.Target)
	switch {
	case ro.Phase == PhaseReverted, w.wantsTarget(r, ro) && atTarget == 0:
		return ""
	case w.wantsTarget(r, ro) && ro.Phase == PhaseCanary && others > 0 && w.limitsBlockVersion(r, ro.Target):
		return "" // delays the canary, not the callers in its share
	case w.wantsTarget(r, ro), others == 0:
		return ro.Target
	}
	return ""
}

// countVersions counts the servers with the target version and with others, without those that
// are gone, leaving, drained or of a reverted version.
func (w *World) countVersions(s *service, target string) (atTarget, others int) {
	for _, srv := range s.servers {
		switch {
		case srv.gone, srv.leaving(), srv.drained, w.revertedVersions[versionKey{srv.Service, srv.Version}]:
		case srv.Version == target:
			atTarget++
		default:
			others++
		}
	}
	return atTarget, others
}

// versionFilter returns a function that reports whether a server has the version that the
// request goes to. A reverted version stays excluded while another one is rolled out, as
// its servers may still be listed.
func (w *World) versionFilter(r *request) func(*server) bool {
	ro := w.rollouts[r.service.name]
	if ro == nil {
		return func(*server) bool { return true }
	}
	wanted := w.wantedVersion(r, ro)
	minHash := uint64(0)
	_, others := w.countVersions(r.service, ro.Target)
	if wanted == ro.Target && ro.Phase == PhaseCanary && others > 0 && !w.switchesEarly(r, ro) {
		minHash = w.canaryMinHash(r.service, ro)
	}
	return func(s *server) bool {
		return (s.Version == ro.Target) == (wanted == ro.Target) && s.hash >= minHash &&
			!w.revertedVersions[versionKey{s.Service, s.Version}]
	}
}

// minCanaryServers is the least number of servers that a canary uses: with a single one, a slow
// server cannot be distinguished from a slow version, and a good version may be reverted in up to
// two of twelve roll-outs at a usual load.
const minCanaryServers = 3

// canaryMinHash is the lowest hash of the servers that the canary's share goes to: their
// fraction of the new servers is about the canary's share of all requests.
//
// Load: a version that fails only under load, with a small share spread over as many
// servers as the whole traffic has. Harm prevented: a canary that shows nothing, as its
// servers are idle.
func (w *World) canaryMinHash(s *service, ro *Rollout) uint64 {
	var hashes []uint64
	for _, srv := range s.servers {
		if srv.Version == ro.Target && srv.usable(w.now) {
			hashes = append(hashes, srv.hash)
		}
	}
	if len(hashes) == 0 {
		return 0
	}
	slices.Sort(hashes)
	count := max(int(math.Ceil(ro.Share*float64(len(hashes)))), minCanaryServers)
	return hashes[max(len(hashes)-count, 0)]
}

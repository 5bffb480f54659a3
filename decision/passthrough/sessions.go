package passthrough

import "time"

// sessionMargin is how long a session's version is kept beyond SessionTTL after the deadline
// of its last request: clocks differ, and a response may end late.
const sessionMargin = 2 * time.Second

// sessionEntry is the service and version that a session last ran on.
type sessionEntry struct {
	service         string
	version         string
	rolloutPosition float64
	until           time.Time
}

// wantsTarget reports whether a request goes to the roll-out's target.
//
// Load: sessions whose requests come to any instance, during a roll-out. Harm prevented:
// a session that changes its version midway. Sessions that are open when the roll-out is
// ordered stay at the old version through the first half: before the canary gets any
// traffic, the instances report the open sessions in its share to each other, a few each. All
// other sessions in the share belong to the new version, by a hash that is the same at
// all instances, and stay there.
func (w *World) wantsTarget(r *request, ro *Rollout) bool {
	switch {
	case ro.Phase == PhaseCompleted:
		return true
	case ro.Phase == PhaseReverted:
		return false
	case w.switchesEarly(r, ro):
		return true
	}
	if r.version != "" {
		return r.version == ro.Target // sent before, maybe before the roll-out was ordered
	}
	if r.Session == "" {
		return r.RolloutPosition < ro.Share
	}
	if ro.CollectingSessions || w.keptOnOldVersion[r.Session] {
		return false
	}
	entry, known := w.sessions.Get(r.Session)
	if known && w.now.Before(entry.until) && entry.service == r.service.name {
		return entry.version == ro.Target
	}
	return r.RolloutPosition < ro.Share
}

// switchesEarly reports whether the request goes to the new version because it would still
// run at the old one when the roll-out is completed.
//
// Load: streams that take many seconds, at old servers that stop at once when the
// roll-out is completed. Harm prevented: their responses cut off. The routes with the
// longest responses switch first, and none sooner than it must, since the new version
// may still turn out to be bad.
func (w *World) switchesEarly(r *request, ro *Rollout) bool {
	if ro.FirstHalf || ro.CompleteAt.IsZero() {
		return false
	}
	return !w.now.Before(ro.CompleteAt.Add(-min(w.expectedDuration(r.Route, durationFactor), ro.MaxLead)))
}

// recordSession records the version that the session runs on.
func (w *World) recordSession(r *request, version string) {
	if r.Session == "" {
		return
	}
	until := r.Deadline.Add(w.cfg.SessionTTL + sessionMargin)
	w.sessions.Add(r.Session, sessionEntry{service: r.service.name, version: version, rolloutPosition: r.RolloutPosition, until: until})
}

// OpenSessions lists a service's sessions that may be open at another version than
// target and whose rollout position is below share.
func (w *World) OpenSessions(service, target string, share float64) []string {
	var out []string
	for _, id := range w.sessions.Keys() {
		entry, ok := w.sessions.Peek(id)
		if ok && entry.service == service && entry.version != target && entry.rolloutPosition < share && w.now.Before(entry.until) {
			out = append(out, id)
		}
	}
	return out
}

// maxKeptSessions bounds the sessions that are kept at the old version, over all
// roll-outs.
const maxKeptSessions = 1 << 16

// keepOnOldVersion adds sessions that other instances reported open.
func (w *World) keepOnOldVersion(sessions []string) {
	if len(w.keptOnOldVersion) > maxKeptSessions {
		clear(w.keptOnOldVersion)
	}
	for _, id := range sessions {
		w.keptOnOldVersion[id] = true
	}
}

package passthrough

import "time"

// sessionMemory is how long a session's version is kept after its last request, beyond
// the platform's own bound: clocks differ, and an answer may end late.
const sessionMargin = 2 * time.Second

// sessionRow is where a session last ran.
type sessionRow struct {
	service         string
	version         string
	rolloutPosition float64
	until           time.Time
}

// wantsNew says whether a request goes to the roll-out's target.
//
// Load: sessions whose requests come to any instance, during an order. Harm prevented: a
// session that changes its version midway. Sessions that are open when the order comes
// stay at the old version through the first half: the instances tell each other those in
// the canary's share, a few each, before it gets any. All others in the share belong to
// the new version, by a hash that is alike everywhere, and stay there.
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
		return r.version == ro.Target // it has begun, maybe before the order
	}
	if r.Session == "" {
		return r.RolloutPosition < ro.Share
	}
	if ro.CollectingSessions || w.keptOnOldVersion[r.Session] {
		return false
	}
	row, known := w.sessions.Get(r.Session)
	if known && w.now.Before(row.until) && row.service == r.service.name {
		return row.version == ro.Target
	}
	return r.RolloutPosition < ro.Share
}

// leads says whether the request goes to the new version since it would still run at the
// old one when the roll-out is completed.
//
// Load: streams of many seconds at servers that stop at once. Harm prevented: their
// answers cut. The longest turn first, and nothing sooner than it must, since the new
// version may yet turn out bad.
func (w *World) switchesEarly(r *request, ro *Rollout) bool {
	if ro.FirstHalf || ro.CompleteAt.IsZero() {
		return false
	}
	return !w.now.Before(ro.CompleteAt.Add(-min(w.expectedDuration(r.Route, durationFactor), ro.MaxLead)))
}

// noteSession keeps the version that the session runs on.
func (w *World) recordSession(r *request, version string) {
	if r.Session == "" {
		return
	}
	until := r.Deadline.Add(w.cfg.SessionTTL + sessionMargin)
	w.sessions.Add(r.Session, sessionRow{service: r.service.name, version: version, rolloutPosition: r.RolloutPosition, until: until})
}

// OpenSessions lists the sessions of a service that may be open at another version than
// the target, in the share.
func (w *World) OpenSessions(service, target string, share float64) []string {
	var out []string
	for _, id := range w.sessions.Keys() {
		row, ok := w.sessions.Peek(id)
		if ok && row.service == service && row.version != target && row.rolloutPosition < share && w.now.Before(row.until) {
			out = append(out, id)
		}
	}
	return out
}

// keptLimit bounds the sessions that are kept at the old version in all roll-outs.
const maxKeptSessions = 1 << 16

// keepOld takes in sessions that other instances saw open.
func (w *World) keepOnOldVersion(sessions []string) {
	if len(w.keptOnOldVersion) > maxKeptSessions {
		clear(w.keptOnOldVersion)
	}
	for _, id := range sessions {
		w.keptOnOldVersion[id] = true
	}
}

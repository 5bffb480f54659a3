package verdict

import (
	"cmp"
	"time"
)

// Admission says what may be sent to a version or a backend server.
type Admission uint8

// Word is a verdict to tell the peers of, or a change of one.
type SharedVerdict[V cmp.Ordered] struct {
	Version V
	Bad     bool
	// Until is when the word lapses by itself.
	Until time.Time
}

// Peer takes in a peer's word. A bad one bars the version until its Until, or
// PeerLimit from now if that is sooner; a good one lifts what peers said. The
// own verdict is not changed by a word alone: own evidence goes first.
func (t *Versions[V, S]) ApplyPeerVerdict(w SharedVerdict[V], now time.Time) {
	v := t.versions[w.Version]
	if v == nil {
		return
	}
	if !w.Bad {
		v.peerBadUntil = time.Time{}
		return
	}
	until := w.Until
	if limit := now.Add(t.cfg.MaxPeerDuration); until.After(limit) {
		until = limit
	}
	if until.After(v.peerBadUntil) {
		v.peerBadUntil = until
	}
	if v.peerBadUntil.After(now) {
		before := v.bad()
		t.confirmSuspicion(v)
		v.noteChange(before)
	}
}

// Bad reports whether the version is barred, by own verdict or a peer's.
func (t *Versions[V, S]) Bad(id V, now time.Time) bool {
	v := t.versions[id]
	return v != nil && (v.bad() || v.peerBadUntil.After(now))
}

// Admit says whether a request that the roll-out gives to the version may go
// there, and counts it. Every ProbeEvery-th one is a probe. The count runs over
// requests and not over time, so that the part that a bad version gets is
// bounded at any load; a burst buys it nothing.
func (t *Versions[V, S]) Admit(id V, now time.Time) Admission {
	if !t.Bad(id, now) {
		return Allowed
	}
	v := t.versions[id]
	v.offered++
	if v.offered%t.cfg.ProbeEvery == 0 {
		return Probe
	}
	return Blocked
}

// Share returns the words to tell the peers of now, in the order of the ids: each
// change of a verdict once, each bad one again every ShareEvery while it holds,
// and likewise a suspicion, which makes the peers hold back while this instance
// goes on and finds out. So what a bad version gets in the meantime is one
// instance's part.
func (t *Versions[V, S]) VerdictsToShare(now time.Time) []SharedVerdict[V] {
	var out []SharedVerdict[V]
	for _, id := range t.sortedIDs {
		v := t.versions[id]
		word := SharedVerdict[V]{Version: id, Bad: true, Until: now.Add(3 * t.cfg.ShareInterval)}
		switch {
		case v.bad():
			if !v.changePending && now.Before(v.nextShare) {
				continue
			}
		case t.sharesSuspicion(v, now):
			if now.Before(v.nextShare) {
				continue
			}
			word.Until = now.Add(t.cfg.ShareInterval)
		case v.changePending:
			word.Bad = false
		default:
			continue
		}
		v.changePending = false
		v.nextShare = now.Add(t.cfg.ShareInterval)
		out = append(out, word)
	}
	return out
}

// suspects reports whether the peers are to be told of a suspicion. One that
// neither grows nor fades, for want of traffic, is dropped after SuspectFor: it
// must not keep a version barred elsewhere on half the evidence. One that fades
// is taken back.
func (t *Versions[V, S]) sharesSuspicion(v *version[V, S], now time.Time) bool {
	if !v.errors.suspected(&t.cfg) && !v.ratings.suspected(&t.cfg) {
		if !v.suspectSince.IsZero() {
			v.suspectSince = time.Time{}
			v.changePending = true
		}
		return false
	}
	if v.suspectSince.IsZero() {
		v.suspectSince = now
		v.nextShare = now
	}
	return now.Sub(v.suspectSince) < t.cfg.MaxSuspicion
}

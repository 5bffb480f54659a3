package verdict

import (
	"cmp"
	"time"
)

// Admission says whether a version or a backend server may take a request.
type Admission uint8

// SharedVerdict is a bad verdict or a suspicion that is shared with the peers, or
// the withdrawal of one.
type SharedVerdict[V cmp.Ordered] struct {
	Version V
	// Bad is true for a verdict or a suspicion, and false for a withdrawal.
	Bad bool
	// Until is when a verdict or suspicion expires unless it is renewed.
	Until time.Time
}

// ApplyPeerVerdict applies the verdict of a peer. A bad one blocks the version
// until its Until, but no longer than MaxPeerDuration from now; a good one
// withdraws the verdicts of all peers. This instance's own verdict changes only if
// this instance suspects the version too.
func (t *Versions[V, S]) ApplyPeerVerdict(shared SharedVerdict[V], now time.Time) {
	v := t.versions[shared.Version]
	if v == nil {
		return
	}
	if !shared.Bad {
		v.peerBadUntil = time.Time{}
		return
	}
	until := shared.Until
	if limit := now.Add(t.cfg.MaxPeerDuration); until.After(limit) {
		until = limit
	}
	if until.After(v.peerBadUntil) {
		v.peerBadUntil = until
	}
	if v.peerBadUntil.After(now) {
		wasBad := v.bad()
		t.confirmSuspicion(v)
		v.noteChange(wasBad)
	}
}

// Bad reports whether the version is blocked, by this instance's own verdict or a
// peer's.
func (t *Versions[V, S]) Bad(id V, now time.Time) bool {
	v := t.versions[id]
	return v != nil && (v.bad() || v.peerBadUntil.After(now))
}

// Admit reports whether a request that the roll-out assigns to the version may
// run on it, and counts the request. For a bad version every ProbeEvery-th
// request is a probe. Probes depend on the number of requests and not on time, so
// that the share that a bad version gets is bounded at any load, bursts included.
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

// VerdictsToShare returns what to send to the peers now, in order of the version
// ids: each change of this instance's own verdict once, and each bad verdict again
// every ShareInterval while it holds. Suspicions are shared likewise: they make
// the peers block the version while this instance continues to observe it, so that
// a bad version gets only one instance's share of the requests in the meantime.
func (t *Versions[V, S]) VerdictsToShare(now time.Time) []SharedVerdict[V] {
	var out []SharedVerdict[V]
	for _, id := range t.sortedIDs {
		v := t.versions[id]
		shared := SharedVerdict[V]{Version: id, Bad: true, Until: now.Add(3 * t.cfg.ShareInterval)}
		switch {
		case v.bad():
			if !v.changePending && now.Before(v.nextShare) {
				continue
			}
		case t.sharesSuspicion(v, now):
			if now.Before(v.nextShare) {
				continue
			}
			shared.Until = now.Add(t.cfg.ShareInterval)
		case v.changePending:
			shared.Bad = false
		default:
			continue
		}
		v.changePending = false
		v.nextShare = now.Add(t.cfg.ShareInterval)
		out = append(out, shared)
	}
	return out
}

// sharesSuspicion reports whether a suspicion is to be shared with the peers, and
// records when it begins and ends. A suspicion that becomes neither a verdict nor
// weaker, for lack of traffic, is shared for no longer than MaxSuspicion: half of
// the evidence must not keep a version blocked at the peers. A suspicion that is
// no longer supported by the evidence is withdrawn.
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

package node

import (
	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

// anySent reports whether a Put that was handed to the log still waits.
func (ps *proposals) anySent() bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.waiting {
		if p.stage == stageSent {
			return true
		}
	}
	return false
}

// readBack settles what a folded record of this process's own was waiting for.
func (ps *proposals) readBack(c *fold.Change) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	id := proposalID{c.Record.Key, c.Record.Nonce}
	if c.Record.Kind == record.KindRelease {
		ps.releaseReadBack(id)
		return
	}
	p := ps.waiting[id]
	if p == nil || c.Record.Kind != record.KindPut {
		return
	}
	if p.pendingResult != nil {
		return
	}
	res := Result{Outcome: outcomeOf(c.Verdict), Register: c.Register}
	if res.Outcome != OutcomeWon && p.appends > 1 && ps.queueRelease(id) {
		p.pendingResult = &res
		return
	}
	ps.forget(p)
	p.done <- res
}

// released settles the Put that waited for its Release to be read back.
func (ps *proposals) releaseReadBack(id proposalID) {
	delete(ps.pendingReleases, id)
	if p := ps.waiting[id]; p != nil && p.pendingResult != nil {
		ps.forget(p)
		p.done <- *p.pendingResult
	}
}

func outcomeOf(v fold.Verdict) Outcome {
	switch v {
	case fold.VerdictWon, fold.VerdictDuplicate:
		return OutcomeWon
	case fold.VerdictLost:
		return OutcomeLost
	default:
		return OutcomeVoid
	}
}

// restored goes through the Puts whose own record may lie before a state that
// was taken over as a whole, so that it is not read back any more. One that
// holds its register has won. Of the others nothing is known: the state may be
// older than the Put, and who held the key then may be gone. They are in doubt
// like those whose reply was lost.
func (ps *proposals) stateRestored(lookup func(record.Key) (fold.Register, bool)) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for id, p := range ps.waiting {
		if p.stage == stageQueued || p.pendingResult != nil {
			continue
		}
		if reg, ok := lookup(id.key); ok && reg.Nonce == id.nonce {
			ps.forget(p)
			p.done <- Result{Outcome: OutcomeWon, Register: reg}
			continue
		}
		p.outcomeUnknown = true
		ps.skipped = append(ps.skipped, p)
		ps.signal()
	}
	// Releases in the part that was skipped are not read back any more.
	ps.releases = ps.releases[:0]
	for id := range ps.pendingReleases {
		ps.releases = append(ps.releases, releaseOf(id))
	}
	if len(ps.releases) > 0 {
		ps.signal()
	}
}

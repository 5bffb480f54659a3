package node

import (
	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

// anySent reports whether a Put that was handed to the log is still waiting.
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

// readBack settles the proposal whose record was folded, if it is one of this
// process.
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
	ps.stopWaiting(p)
	p.done <- res
}

// releaseReadBack settles the Put that waited for its Release to be read back.
func (ps *proposals) releaseReadBack(id proposalID) {
	delete(ps.pendingReleases, id)
	if p := ps.waiting[id]; p != nil && p.pendingResult != nil {
		ps.stopWaiting(p)
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

// stateRestored handles the Puts whose record may lie in the part of the log
// that a Restore skipped; a record there is never read back. A Put that holds its
// register in the restored state has won. Nothing is known of the others: the
// state may be older than the Put, and the holder of the key at that time may
// have released it. They are in doubt, like Puts whose reply was lost.
func (ps *proposals) stateRestored(lookup func(record.Key) (fold.Register, bool)) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for id, p := range ps.waiting {
		if p.stage == stageQueued || p.pendingResult != nil {
			continue
		}
		if reg, ok := lookup(id.key); ok && reg.Nonce == id.nonce {
			ps.stopWaiting(p)
			p.done <- Result{Outcome: OutcomeWon, Register: reg}
			continue
		}
		p.outcomeUnknown = true
		ps.skipped = append(ps.skipped, p)
		ps.signal()
	}
	// Releases in the skipped part of the log are never read back, so all pending
	// ones are queued again.
	ps.releases = ps.releases[:0]
	for id := range ps.pendingReleases {
		ps.releases = append(ps.releases, releaseOf(id))
	}
	if len(ps.releases) > 0 {
		ps.signal()
	}
}

package node

import (
	"masticplank.example/coordination/record"
)

// group is the content of one append: its records, and those of them that are
// Puts and Releases of this process.
type group struct {
	records  []record.Record
	puts     []*proposal
	releases []record.Record
}

// next takes the next group off the queues and marks its Puts as sent. It holds
// the same lock as abandon, so a Put that was reported void is never sent.
// Releases go first because they free keys that other callers may wait for.
func (ps *proposals) next() group {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var g group
	size := 0
	fits := func(r *record.Record) bool {
		size += len(r.Key) + len(r.Value) + recordOverhead
		return len(g.records) == 0 || len(g.records) < record.MaxRecords && size <= maxGroupBytes
	}
	for len(ps.releases) > 0 && fits(&ps.releases[0]) {
		g.releases = append(g.releases, ps.releases[0])
		g.records = append(g.records, ps.releases[0])
		ps.releases = ps.releases[1:]
	}
	for len(ps.queue) > 0 && fits(&ps.queue[0].record) {
		p := ps.queue[0]
		ps.queue = ps.queue[1:]
		p.queued = false
		if p.abandoned || p.pendingResult != nil {
			continue
		}
		p.stage = stageSent
		p.appends++
		g.puts = append(g.puts, p)
		g.records = append(g.records, p.record)
	}
	// One part of a checkpoint is added even if the group has reached
	// maxGroupBytes: under constant load there would never be space for it, and
	// the log would be trimmed without a checkpoint in it.
	if len(ps.checkpointParts) > 0 && len(g.records) < record.MaxRecords {
		g.records = append(g.records, ps.checkpointParts[0])
		ps.checkpointParts = ps.checkpointParts[1:]
	}
	if len(ps.queue)+len(ps.releases)+len(ps.checkpointParts) > 0 {
		ps.signal()
	}
	return g
}

// recordOverhead is the encoded size in bytes of a record without its key and
// value, rounded up.
const recordOverhead = 64

// markRefused settles a group that definitely had no effect: its Puts are void,
// unless an earlier append of the same Put may still take effect.
func (ps *proposals) markRefused(g *group) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range g.puts {
		if p.outcomeUnknown || p.abandoned {
			continue
		}
		ps.stopWaiting(p)
		p.done <- Result{Outcome: OutcomeVoid}
	}
}

// markUnknown records that the group may or may not be in the log. The callers
// keep waiting until its Puts are read back; resend queues them again.
func (ps *proposals) markUnknown(g *group) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range g.puts {
		p.outcomeUnknown = true
	}
}

// resend queues the records of g that were not read back, with the same nonces,
// so that two copies in the log count once.
func (ps *proposals) resend(g *group) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range g.puts {
		if !p.abandoned && !p.queued && p.pendingResult == nil {
			ps.enqueue(p)
		}
	}
	for _, r := range g.releases {
		if ps.pendingReleases[proposalID{r.Key, r.Nonce}] {
			ps.releases = append(ps.releases, r)
			ps.signal()
		}
	}
}

// takeSkipped removes and returns the skipped Puts.
func (ps *proposals) takeSkipped() []*proposal {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	out := ps.skipped
	ps.skipped = nil
	return out
}

// unresolved reports whether a record of g was not yet read back and is still
// wanted.
func (ps *proposals) unresolved(g *group) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range g.puts {
		if !p.abandoned && p.pendingResult == nil {
			return true
		}
	}
	for _, r := range g.releases {
		if ps.pendingReleases[proposalID{r.Key, r.Nonce}] {
			return true
		}
	}
	return false
}

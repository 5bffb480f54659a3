package node

import (
	"masticplank.example/coordination/record"
)

// group is one append: what to write, and what it settles.
type group struct {
	records  []record.Record
	puts     []*proposal
	releases []record.Record
}

// next takes the next group off the queues and marks its Puts as sent. This and
// abandon hold one lock, so a Put that was said to be void is never sent.
// Releases go first: they free keys that others may wait for.
func (ps *proposals) next() group {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var g group
	size := 0
	fits := func(r *record.Record) bool {
		size += len(r.Key) + len(r.Value) + recordOverhead
		return len(g.records) == 0 || len(g.records) < record.MaxRecords && size <= maxBatchBytes
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
	// One part of a checkpoint rides along, however full the group is: under
	// constant load there is never room, and the log would be trimmed with no
	// checkpoint in it.
	if len(ps.checkpointParts) > 0 && len(g.records) < record.MaxRecords {
		g.records = append(g.records, ps.checkpointParts[0])
		ps.checkpointParts = ps.checkpointParts[1:]
	}
	if len(ps.queue)+len(ps.releases)+len(ps.checkpointParts) > 0 {
		ps.signal()
	}
	return g
}

// recordOverhead is what a record takes beside its key and value, rounded up.
const recordOverhead = 64

// refused settles a group that certainly had no effect: its Puts are void,
// unless an earlier append of the same Put may still land.
func (ps *proposals) markRefused(g *group) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range g.puts {
		if p.outcomeUnknown || p.abandoned {
			continue
		}
		ps.forget(p)
		p.done <- Result{Outcome: OutcomeVoid}
	}
}

// lost notes that the group may or may not stand in the log. Its Puts stay
// with their waiters until they are read back; resend offers them again.
func (ps *proposals) markUnknown(g *group) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range g.puts {
		p.outcomeUnknown = true
	}
}

// resend queues what of g was not read back: the same nonces again, so that two
// copies in the log count once.
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

// takeOrphans empties the orphans.
func (ps *proposals) takeSkipped() []*proposal {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	out := ps.skipped
	ps.skipped = nil
	return out
}

// open reports whether g has anything left that was not read back.
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

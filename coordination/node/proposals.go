package node

import (
	"sync"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

// proposalID names one Put: its retries carry the same key and nonce.
type proposalID struct {
	key   record.Key
	nonce record.Nonce
}

// stage is how far a Put has come. It decides what may be said of it: only a
// Put that was never handed to the log, or which the log certainly refused, is
// void; one that was handed over once stays unknown until it is read back.
type stage uint8

const (
	// stageQueued: not handed to the log.
	stageQueued stage = iota
	// stageSent: handed to the log at least once.
	stageSent
)

// proposal is a Put of this process that waits for its outcome.
type proposal struct {
	record record.Record
	stage  stage
	// sends counts the appends that carried it; with more than one, a copy may
	// still come after the one that was read back.
	sends int
	// queued is set while it stands in the queue, gone once nobody waits.
	queued bool
	gone   bool
	// unknown is set once an append that carried it lost its reply.
	unknown bool
	done    chan Result
}

// proposals holds what this process has proposed and not yet read back. Safe
// for concurrent use.
type proposals struct {
	mu          sync.Mutex
	maxQueue    int
	maxReleases int
	waiting     map[proposalID]*proposal
	queue       []*proposal
	// releases wait for their append; dead holds the nonces given up until the
	// Release is read back from the log.
	releases []record.Record
	dead     map[proposalID]bool
	extra    []record.Record
	// orphans are Puts whose record may lie before a state that was taken over.
	orphans []*proposal
	// refusing is set while the log is known to take nothing.
	refusing bool
	// wake has room for one token: there is something to append.
	wake chan struct{}
}

func newProposals(maxQueue, maxReleases int) *proposals {
	return &proposals{
		maxQueue:    maxQueue,
		maxReleases: maxReleases,
		waiting:     map[proposalID]*proposal{},
		dead:        map[proposalID]bool{},
		wake:        make(chan struct{}, 1),
	}
}

// add queues a Put. A second Put of one key and nonce while the first waits is
// refused: it could not be told from a retry.
func (ps *proposals) add(r record.Record) (*proposal, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	id := proposalID{r.Key, r.Nonce}
	if ps.refusing || ps.waiting[id] != nil || ps.dead[id] || len(ps.queue) >= ps.maxQueue {
		return nil, false
	}
	p := &proposal{record: r, done: make(chan Result, 1)}
	ps.waiting[id] = p
	ps.enqueue(p)
	return p, true
}

func (ps *proposals) enqueue(p *proposal) {
	p.queued = true
	ps.queue = append(ps.queue, p)
	ps.signal()
}

// setRefusing makes add refuse while the log takes nothing: a Put is then void
// at once, instead of after its caller's deadline.
func (ps *proposals) setRefusing(refusing bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.refusing = refusing
}

// abandon ends the wait for p: void if it was never handed over, or else
// unknown. The outcome that came in the meantime wins.
func (ps *proposals) abandon(p *proposal) Result {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	select {
	case res := <-p.done:
		return res
	default:
	}
	ps.forget(p)
	if p.stage == stageQueued {
		return Result{Outcome: OutcomeVoid}
	}
	return Result{Outcome: OutcomeUnknown}
}

// forget ends the wait for p; next skips it should it stand in the queue.
func (ps *proposals) forget(p *proposal) {
	delete(ps.waiting, proposalID{p.record.Key, p.record.Nonce})
	p.gone = true
}

// release gives a nonce up: a Put of it that waits is void from now on, since
// only this process could have acted on it, and the Release follows.
func (ps *proposals) release(key record.Key, nonce record.Nonce) (accepted bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	id := proposalID{key, nonce}
	if p := ps.waiting[id]; p != nil {
		ps.forget(p)
		p.done <- Result{Outcome: OutcomeVoid}
		if p.stage == stageQueued {
			return true
		}
	}
	return ps.giveUp(id)
}

// giveUp queues the Release of id, once.
func (ps *proposals) giveUp(id proposalID) bool {
	if ps.dead[id] {
		return true
	}
	if len(ps.dead) >= ps.maxReleases {
		return false
	}
	ps.dead[id] = true
	ps.releases = append(ps.releases, releaseOf(id))
	ps.signal()
	return true
}

func releaseOf(id proposalID) record.Record {
	return record.Record{Kind: record.KindRelease, Key: id.key, Nonce: id.nonce}
}

func (ps *proposals) isDead(key record.Key, nonce record.Nonce) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return len(ps.dead) > 0 && ps.dead[proposalID{key, nonce}]
}

// addExtra queues records that nobody waits for (checkpoints).
func (ps *proposals) addExtra(records []record.Record) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.extra = append(ps.extra, records...)
	ps.signal()
}

func (ps *proposals) signal() {
	select {
	case ps.wake <- struct{}{}:
	default:
	}
}

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
		if p.gone {
			continue
		}
		p.stage = stageSent
		p.sends++
		g.puts = append(g.puts, p)
		g.records = append(g.records, p.record)
	}
	// One part of a checkpoint rides along, however full the group is: under
	// constant load there is never room, and the log would be trimmed with no
	// checkpoint in it.
	if len(ps.extra) > 0 && len(g.records) < record.MaxRecords {
		g.records = append(g.records, ps.extra[0])
		ps.extra = ps.extra[1:]
	}
	if len(ps.queue)+len(ps.releases)+len(ps.extra) > 0 {
		ps.signal()
	}
	return g
}

// recordOverhead is what a record takes beside its key and value, rounded up.
const recordOverhead = 64

// refused settles a group that certainly had no effect: its Puts are void,
// unless an earlier append of the same Put may still land.
func (ps *proposals) refused(g *group) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range g.puts {
		if p.unknown || p.gone {
			continue
		}
		ps.forget(p)
		p.done <- Result{Outcome: OutcomeVoid}
	}
}

// lost notes that the group may or may not stand in the log. Its Puts stay
// with their waiters until they are read back; resend offers them again.
func (ps *proposals) lost(g *group) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range g.puts {
		p.unknown = true
	}
}

// resend queues what of g was not read back: the same nonces again, so that two
// copies in the log count once.
func (ps *proposals) resend(g *group) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range g.puts {
		if !p.gone && !p.queued {
			ps.enqueue(p)
		}
	}
	for _, r := range g.releases {
		if ps.dead[proposalID{r.Key, r.Nonce}] {
			ps.releases = append(ps.releases, r)
			ps.signal()
		}
	}
}

// takeOrphans empties the orphans.
func (ps *proposals) takeOrphans() []*proposal {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	out := ps.orphans
	ps.orphans = nil
	return out
}

// open reports whether g has anything left that was not read back.
func (ps *proposals) open(g *group) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range g.puts {
		if !p.gone {
			return true
		}
	}
	for _, r := range g.releases {
		if ps.dead[proposalID{r.Key, r.Nonce}] {
			return true
		}
	}
	return false
}

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
		delete(ps.dead, id)
		return
	}
	p := ps.waiting[id]
	if p == nil || c.Record.Kind != record.KindPut {
		return
	}
	ps.forget(p)
	outcome := outcomeOf(c.Verdict)
	if outcome != OutcomeWon && p.sends > 1 {
		// Another copy may still come, and might win where this one did not
		// (once the winner has expired). The caller is told that it lost, so
		// the nonce must be dead for good.
		ps.giveUp(id)
	}
	p.done <- Result{Outcome: outcome, Register: c.Register}
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
func (ps *proposals) restored(lookup func(record.Key) (fold.Register, bool)) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for id, p := range ps.waiting {
		if p.stage == stageQueued {
			continue
		}
		if reg, ok := lookup(id.key); ok && reg.Nonce == id.nonce {
			ps.forget(p)
			p.done <- Result{Outcome: OutcomeWon, Register: reg}
			continue
		}
		p.unknown = true
		ps.orphans = append(ps.orphans, p)
		ps.signal()
	}
	// Releases in the part that was skipped are not read back any more.
	ps.releases = ps.releases[:0]
	for id := range ps.dead {
		ps.releases = append(ps.releases, releaseOf(id))
	}
	if len(ps.releases) > 0 {
		ps.signal()
	}
}

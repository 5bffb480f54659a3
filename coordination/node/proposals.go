package node

import (
	"sync"

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
	appends int
	// queued is set while it stands in the queue, gone once nobody waits.
	queued    bool
	abandoned bool
	// verdict is what the caller will be told once the Release is read back.
	// The Put was read back as a loser, but another copy of it may still come,
	// and might win where this one did not. Who is told "lost" must be able to
	// rely on it, also if this process is killed the next moment: so the
	// nonce is dead in the log first.
	pendingResult *Result
	// unknown is set once an append that carried it lost its reply.
	outcomeUnknown bool
	done           chan Result
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
	releases        []record.Record
	pendingReleases map[proposalID]bool
	checkpointParts []record.Record
	// orphans are Puts whose record may lie before a state that was taken over.
	skipped []*proposal
	// refusing is set while the log is known to take nothing.
	refusing bool
	// wake has room for one token: there is something to append.
	wake chan struct{}
}

func newProposals(maxQueue, maxReleases int) *proposals {
	return &proposals{
		maxQueue:        maxQueue,
		maxReleases:     maxReleases,
		waiting:         map[proposalID]*proposal{},
		pendingReleases: map[proposalID]bool{},
		wake:            make(chan struct{}, 1),
	}
}

// add queues a Put. A second Put of one key and nonce while the first waits is
// refused: it could not be told from a retry.
func (ps *proposals) add(r record.Record) (*proposal, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	id := proposalID{r.Key, r.Nonce}
	if ps.refusing || ps.waiting[id] != nil || ps.pendingReleases[id] || len(ps.queue) >= ps.maxQueue {
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
	p.abandoned = true
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
	return ps.queueRelease(id)
}

// giveUp queues the Release of id, once.
func (ps *proposals) queueRelease(id proposalID) bool {
	if ps.pendingReleases[id] {
		return true
	}
	if len(ps.pendingReleases) >= ps.maxReleases {
		return false
	}
	ps.pendingReleases[id] = true
	ps.releases = append(ps.releases, releaseOf(id))
	ps.signal()
	return true
}

func releaseOf(id proposalID) record.Record {
	return record.Record{Kind: record.KindRelease, Key: id.key, Nonce: id.nonce}
}

func (ps *proposals) isReleased(key record.Key, nonce record.Nonce) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return len(ps.pendingReleases) > 0 && ps.pendingReleases[proposalID{key, nonce}]
}

// addExtra queues records that nobody waits for (checkpoints).
func (ps *proposals) addCheckpointParts(records []record.Record) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.checkpointParts = append(ps.checkpointParts, records...)
	ps.signal()
}

func (ps *proposals) signal() {
	select {
	case ps.wake <- struct{}{}:
	default:
	}
}

package node

import (
	"sync"

	"masticplank.example/coordination/record"
)

// proposalID identifies one Put: its retries carry the same key and nonce.
type proposalID struct {
	key   record.Key
	nonce record.Nonce
}

// stage is how far a Put has progressed. It decides which outcome a caller may
// be given: only a Put that was never handed to the log, or that the log
// definitely refused, is void; one that was handed over stays unknown until it
// is read back.
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
	// appends counts the appends that carried the Put. With more than one,
	// another copy may still follow the one that was read back.
	appends int
	// queued is true while the Put is in the queue, abandoned once no caller
	// waits for it.
	queued    bool
	abandoned bool
	// pendingResult is set if the Put was read back without winning while
	// another copy of it may still arrive and win. A caller that is told "lost"
	// must be able to rely on it even if this process is killed right after, so
	// the nonce is first released in the log. The caller gets the result once
	// the Release is read back.
	pendingResult *Result
	// outcomeUnknown is true once an append that carried the Put may have taken
	// effect without being read back: its reply was lost, or a Restore skipped it.
	outcomeUnknown bool
	done           chan Result
}

// proposals holds the records that this process has proposed and not yet read
// back. Safe for concurrent use.
type proposals struct {
	mu          sync.Mutex
	maxQueue    int
	maxReleases int
	waiting     map[proposalID]*proposal
	queue       []*proposal
	// releases wait for their append; pendingReleases holds the released nonces
	// until the Release is read back from the log.
	releases        []record.Record
	pendingReleases map[proposalID]bool
	checkpointParts []record.Record
	// skipped holds the Puts whose record may lie in the part of the log that a
	// Restore skipped; a record there is never read back.
	skipped []*proposal
	// refusing is true during the wait after a refused append, when the log is
	// taken to be down.
	refusing bool
	// wake holds one token while there is something to append.
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

// add queues a Put. It returns false during the wait after a refused append, if
// the queue is full, and while a Release of the nonce is pending. A second Put
// with the same key and nonce is refused while the first one waits, since it
// could not be distinguished from a retry.
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

// setRefusing makes add refuse Puts during the wait after a refused append: a Put
// is then void at once instead of after its caller's deadline.
func (ps *proposals) setRefusing(refusing bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.refusing = refusing
}

// abandon ends the wait for p. The result is void if p was never handed to the
// log and unknown otherwise; an outcome that arrived in the meantime takes
// precedence.
func (ps *proposals) abandon(p *proposal) Result {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	select {
	case res := <-p.done:
		return res
	default:
	}
	ps.stopWaiting(p)
	if p.stage == stageQueued {
		return Result{Outcome: OutcomeVoid}
	}
	return Result{Outcome: OutcomeUnknown}
}

// stopWaiting ends the wait for p; next skips p if it is still queued.
func (ps *proposals) stopWaiting(p *proposal) {
	delete(ps.waiting, proposalID{p.record.Key, p.record.Nonce})
	p.abandoned = true
}

// release voids a nonce: a Put of it that waits is void from now on, since only
// this process could have acted on it, and a Release is queued if the Put may
// be in the log. It returns false if too many releases are pending.
func (ps *proposals) release(key record.Key, nonce record.Nonce) (accepted bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	id := proposalID{key, nonce}
	if p := ps.waiting[id]; p != nil {
		ps.stopWaiting(p)
		p.done <- Result{Outcome: OutcomeVoid}
		if p.stage == stageQueued {
			return true
		}
	}
	return ps.queueRelease(id)
}

// queueRelease queues the Release of id, once. It returns false if too many
// releases are pending.
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

// isReleased reports whether this process has released the nonce and the Release
// is not read back yet.
func (ps *proposals) isReleased(key record.Key, nonce record.Nonce) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return len(ps.pendingReleases) > 0 && ps.pendingReleases[proposalID{key, nonce}]
}

// addCheckpointParts queues the records of a checkpoint; no caller waits for
// them.
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

package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

// checkpointRetry is how soon a checkpoint that was not read back is tried
// again.
const checkpointRetryInterval = time.Minute

// checkpointPolicy says when this instance appends a checkpoint: once none was
// read, whole, for between a quarter and a half of the retention. The jitter
// lets the first instance that comes due save the others theirs. A half leaves
// room for tries that fail, before a quarter of the retention is left. An
// instance that was cut off for long comes due as soon as it has caught up.
// Safe for concurrent use.
type checkpointPolicy struct {
	mu           sync.Mutex
	interval     time.Duration
	lastComplete time.Time
	lastAttempt  time.Time
	// nonce and have count the parts of the checkpoint being read.
	nonce     record.Nonce
	partsRead int
}

func newCheckpointPolicy(retention time.Duration, seed uint64) *checkpointPolicy {
	quarter := retention / 4
	jitter := time.Duration(rand.New(rand.NewPCG(seed, 3)).Int64N(int64(quarter)))
	return &checkpointPolicy{interval: quarter + jitter, lastComplete: time.Now()}
}

// seen notes one part of a checkpoint read from the log; only all parts of one
// count. Two writers whose parts alternate count as none, which costs one more
// checkpoint.
func (p *checkpointPolicy) partRead(now time.Time, r *record.Record) {
	part, parts, ok := fold.ParseCheckpointPart(r)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if part == 0 {
		p.nonce, p.partsRead = r.Nonce, 0
	}
	if r.Nonce != p.nonce {
		return
	}
	p.partsRead++
	if p.partsRead == parts {
		p.lastComplete = now
	}
}

// due reports that it is time to try, and takes it as tried.
func (p *checkpointPolicy) due(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastComplete) < p.interval || now.Sub(p.lastAttempt) < checkpointRetryInterval {
		return false
	}
	p.lastAttempt = now
	return true
}

// keepCheckpoint queues a checkpoint when one is due. Only a node that is ready
// does: the state of one that is catching up helps nobody.
func (n *Node) queueDueCheckpoint() error {
	if !n.isReady() || !n.checkpoints.due(time.Now()) {
		return nil
	}
	return n.Checkpoint()
}

// Checkpoint queues the current state to be appended to the log. Nodes do so by
// themselves in time; an operator may before the log is trimmed by hand.
func (n *Node) Checkpoint() error {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.state.Digest().NextOffset == 0 {
		return nil
	}
	parts, err := n.state.Checkpoint(record.NewNonce())
	if err != nil {
		return trace.Wrap(err)
	}
	n.proposals.addCheckpointParts(parts)
	return nil
}

func (n *Node) isReady() bool {
	select {
	case <-n.ready:
		return true
	default:
		return false
	}
}

// catchUp starts from the last checkpoint where the records that the node lacks
// are trimmed. It looks through the whole rest of the log, and takes only a
// checkpoint that is ahead of the own state and joins what is kept: anything
// less would leave a hole, and a hole makes losers win.
func (n *Node) catchUp(ctx context.Context, first uint64) error {
	snapshot, next, err := n.findCheckpoint(ctx, first)
	if err != nil {
		return err
	}
	if next < first {
		return trace.Wrap(ErrNoCheckpoint, "kept from %d, checkpoint at %d", first, next)
	}
	return n.Restore(snapshot)
}

func (n *Node) findCheckpoint(ctx context.Context, first uint64) (snapshot []byte, next uint64, err error) {
	var found fold.CheckpointAssembler
	for from := first; ; {
		page, err := n.read(ctx, from, 0)
		if err != nil {
			return nil, 0, err
		}
		for _, e := range page.Entries {
			collectParts(&found, e.Data)
			from = e.Offset + 1
		}
		if from >= page.Head || len(page.Entries) == 0 {
			break
		}
	}
	snapshot, next, ok := found.Latest()
	if !ok {
		return nil, 0, trace.Wrap(ErrNoCheckpoint)
	}
	return snapshot, next, nil
}

func collectParts(found *fold.CheckpointAssembler, data []byte) {
	b, err := record.Decode(data)
	if err != nil {
		return
	}
	for i := range b.Records {
		found.Add(&b.Records[i])
	}
}

// Snapshot implements Store.
func (n *Node) Snapshot() ([]byte, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.Snapshot()
}

// Restore implements Store. While the log is down it also makes the node
// ready: nobody knows of a later state than the peer that has folded most.
// Errors wrap fold.ErrSnapshot or ErrNotAhead.
func (n *Node) Restore(snapshot []byte) error {
	state, err := fold.Restore(n.cfg.Fold, n.options, snapshot)
	if err != nil {
		return err
	}
	n.folding.Lock()
	defer n.folding.Unlock()
	n.mu.Lock()
	old := n.state
	if state.Digest().NextOffset <= old.Digest().NextOffset || state.Digest().Generation < old.Digest().Generation {
		n.mu.Unlock()
		return trace.Wrap(ErrNotAhead, "at %d, own state at %d", state.Digest().NextOffset, old.Digest().NextOffset)
	}
	n.state = state
	if !n.status.hasTarget {
		n.status.target, n.status.hasTarget = state.Digest().NextOffset, true
	}
	n.mu.Unlock()
	n.notifyRestored(old, state)
	n.proposals.stateRestored(state.Lookup)
	n.checkReady()
	return nil
}

// tellRestored tells the watchers of the registers that are new in state, as if
// their Puts had been read.
func (n *Node) notifyRestored(old, state *fold.State) {
	for _, class := range n.watchers.classes() {
		for _, reg := range state.Registers(class) {
			before, ok := old.Lookup(reg.Key)
			if ok && before.Nonce == reg.Nonce && before.Offset == reg.Offset {
				continue
			}
			n.watchers.notify(&fold.Change{
				Verdict:  fold.VerdictWon,
				Record:   record.Record{Kind: record.KindPut, Key: reg.Key, Nonce: reg.Nonce, Value: reg.Value},
				Register: reg,
			})
		}
	}
}

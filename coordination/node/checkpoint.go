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

// checkpointRetryInterval is the time after which a checkpoint that was not read
// back is appended again.
const checkpointRetryInterval = time.Minute

// checkpointPolicy decides when this instance appends a checkpoint: when no
// complete one was read for between a quarter and a half of the retention. The
// interval is jittered, so that one instance is due first; the others read its
// checkpoint and need not append theirs. A checkpoint is due by half of the
// retention at the latest, so that a quarter of the retention is left even if
// attempts fail for another quarter. An instance that was disconnected for long is
// due as soon as it has caught up. Safe for concurrent use.
type checkpointPolicy struct {
	mu           sync.Mutex
	interval     time.Duration
	lastComplete time.Time
	lastAttempt  time.Time
	// nonce identifies the checkpoint being read; partsRead counts those of its
	// parts that were read.
	nonce     record.Nonce
	partsRead int
}

func newCheckpointPolicy(retention time.Duration, seed uint64) *checkpointPolicy {
	quarter := retention / 4
	jitter := time.Duration(rand.New(rand.NewPCG(seed, 3)).Int64N(int64(quarter)))
	return &checkpointPolicy{interval: quarter + jitter, lastComplete: time.Now()}
}

// partRead records one part of a checkpoint read from the log. A checkpoint
// counts only once all its parts were read. If the parts of several checkpoints
// interleave, only the one that began last counts; at worst, one more checkpoint
// is appended.
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

// due reports whether a checkpoint is due, and if so records an attempt.
func (p *checkpointPolicy) due(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastComplete) < p.interval || now.Sub(p.lastAttempt) < checkpointRetryInterval {
		return false
	}
	p.lastAttempt = now
	return true
}

// queueDueCheckpoint queues a checkpoint when one is due. Only a ready node does
// so: the state of a node that is catching up is of no use to others.
func (n *Node) queueDueCheckpoint() error {
	if !n.isReady() || !n.checkpoints.due(time.Now()) {
		return nil
	}
	return n.Checkpoint()
}

// Checkpoint queues the current state to be appended to the log. Nodes do so on
// their own, well within the retention; an operator may call for it before
// trimming the log by hand. Errors are those of fold.State.Checkpoint.
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

// catchUp restores the latest checkpoint in the log when the records that the
// node lacks are trimmed; first is the oldest offset that is kept. It reads the
// log to its end and accepts only a checkpoint that is ahead of the node's own
// state and reaches at least to first. Anything less would leave a gap in the
// folded records, and a gap lets losing Puts win.
func (n *Node) catchUp(ctx context.Context, first uint64) error {
	snapshot, next, err := n.findCheckpoint(ctx, first)
	if err != nil {
		return err
	}
	if next < first {
		return trace.Wrap(ErrNoCheckpoint, "log kept from offset %d, checkpoint reaches offset %d", first, next)
	}
	return n.Restore(snapshot)
}

// findCheckpoint reads the log from offset first to its end and returns the
// complete checkpoint in it that reaches furthest.
func (n *Node) findCheckpoint(ctx context.Context, first uint64) (snapshot []byte, next uint64, err error) {
	var assembler fold.CheckpointAssembler
	for from := first; ; {
		page, err := n.read(ctx, from, 0)
		if err != nil {
			return nil, 0, err
		}
		for _, e := range page.Entries {
			collectParts(&assembler, e.Data)
			from = e.Offset + 1
		}
		if from >= page.Head || len(page.Entries) == 0 {
			break
		}
	}
	snapshot, next, ok := assembler.Latest()
	if !ok {
		return nil, 0, trace.Wrap(ErrNoCheckpoint)
	}
	return snapshot, next, nil
}

// collectParts adds the records of an encoded batch to the assembler. A malformed
// batch has none.
func collectParts(assembler *fold.CheckpointAssembler, data []byte) {
	b, err := record.Decode(data)
	if err != nil {
		return
	}
	for i := range b.Records {
		assembler.Add(&b.Records[i])
	}
}

// Snapshot implements Store.
func (n *Node) Snapshot() ([]byte, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.Snapshot()
}

// Restore implements Store. It also makes a node ready that has not read the log
// yet: while the log is down, the state of the peer that has folded most is the
// latest that is known. Errors wrap fold.ErrInvalidSnapshot or ErrNotAhead.
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
		return trace.Wrap(ErrNotAhead, "snapshot at offset %d, own state at offset %d", state.Digest().NextOffset, old.Digest().NextOffset)
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

// notifyRestored notifies the watchers of the registers that are new in state,
// as if their Puts had been read.
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

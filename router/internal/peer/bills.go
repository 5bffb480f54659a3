package peer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/wire"
)

const (
	// holdTries is how many peers are asked to keep a copy, one after another.
	holdTries = 3
	// holdTime bounds each of them. A caller waits for it.
	holdTime = 500 * time.Millisecond
	// flushTime bounds the wait for one group of bills to be read back.
	flushTime = 2 * time.Second
	// flushGroup is how many bills are put at once, so that an outage's bills
	// share appends and leave room for those of new requests.
	flushGroup = 256
)

// Hold keeps a bill here and at one peer until the log takes it. A nil error
// means that both copies exist. After an error neither is kept here, and the
// answer must not end as if it had been billed; a peer whose word was lost may
// still have its copy, which the caller's next try with the same key meets as
// the same bill.
func (n *Node) Hold(ctx context.Context, r record.Record) error {
	if err := n.held.add(r); err != nil {
		n.Log.Emit(ctx, logging.EventBillRefused, logging.Err(err))
		return trace.Wrap(err)
	}
	if err := n.copyOut(ctx, r); err != nil {
		n.held.remove(r.Nonce)
		n.Log.Emit(ctx, logging.EventBillRefused, logging.Err(err))
		return trace.Wrap(err)
	}
	n.Log.Emit(ctx, logging.EventBillHeld, slog.String("key", string(r.Key)))
	return nil
}

// copyOut has one peer keep a copy.
func (n *Node) copyOut(ctx context.Context, r record.Record) error {
	batch := record.Batch{Writer: n.self.ID, Stamped: n.Now(), Records: []record.Record{r}}
	data, err := record.Encode(batch)
	if err != nil {
		return trace.Wrap(err)
	}
	last := trace.NotFound("no peer to hold a copy of the bill")
	for _, p := range n.keepers() {
		err := n.holdAt(ctx, p, data)
		if err == nil {
			return nil
		}
		last = trace.Wrap(err)
	}
	return last
}

func (n *Node) holdAt(ctx context.Context, p wire.ListedInstance, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, holdTime)
	defer cancel()
	return n.pool.call(ctx, p.Peer, MethodHold, HoldParams{From: n.self.ID, Batch: data}, nil)
}

// keepers orders peers for a copy: those of another failure domain first,
// since a failure domain goes down as one, and those that answered before the
// others. The own failure domain is the last resort: a copy there still
// outlives this instance. Within a rank chance spreads the load.
func (n *Node) keepers() []wire.ListedInstance {
	out := n.others()
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	n.mu.Lock()
	rank := func(l wire.ListedInstance) int {
		r := 0
		if l.Domain == n.self.Domain {
			r += 2
		}
		if !n.answered[l.ID] {
			r++
		}
		return r
	}
	slices.SortStableFunc(out, func(a, b wire.ListedInstance) int { return rank(a) - rank(b) })
	n.mu.Unlock()
	return out[:min(len(out), holdTries)]
}

// flush puts held bills into the log, a group at a time, until the log fails.
func (n *Node) flush(ctx context.Context) {
	done := 0
	for group := range slices.Chunk(n.held.all(), flushGroup) {
		settled := n.flushGroup(ctx, group)
		done += settled
		if settled < len(group) {
			break
		}
	}
	if done > 0 {
		n.Log.Emit(ctx, logging.EventBillFlushed, slog.Int("bills", done), slog.Int("left", n.held.len()))
	}
}

func (n *Node) flushGroup(ctx context.Context, group []record.Record) int {
	ctx, cancel := context.WithTimeout(ctx, flushTime)
	defer cancel()
	settled := make([]bool, len(group))
	var wg sync.WaitGroup
	for i, r := range group {
		wg.Go(func() { settled[i] = n.flushOne(ctx, r) })
	}
	wg.Wait()
	count := 0
	for _, ok := range settled {
		if ok {
			count++
		}
	}
	return count
}

// flushOne puts one bill. It is settled once any bill for the request is the
// register, by this copy, the other one, or an earlier try. Otherwise it stays
// held, with the same nonce: putting it again is harmless, dropping it is not.
func (n *Node) flushOne(ctx context.Context, r record.Record) bool {
	switch n.store.Put(ctx, r).Outcome {
	case node.OutcomeWon, node.OutcomeLost:
		n.held.remove(r.Nonce)
		return true
	default:
		return false
	}
}

// Drain ends with no bill held here alone: it puts the bills into the log, or,
// where the log does not take them, has one more peer keep each. It returns how
// many are left, which is 0 unless no peer answers or ctx ended.
func (n *Node) Drain(ctx context.Context) int {
	if n.store.Status().LogReachable {
		n.flush(ctx)
	}
	for _, r := range n.held.all() {
		if ctx.Err() != nil {
			break
		}
		if n.copyOut(ctx, r) == nil {
			n.held.remove(r.Nonce)
		}
	}
	return n.held.len()
}

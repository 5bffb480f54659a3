package peer

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/record"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/wire"
)

const (
	// maxHeldBills bounds the bills held: those of this instance and copies of
	// other instances' bills. At 200 requests/s per instance, with as many
	// copies as own bills, it suffices for an outage of 80 s. Beyond it new
	// work is refused, since unbilled answers would do more harm.
	maxHeldBills = 32_768
	// maxHeldBytes bounds the memory of the bills held.
	maxHeldBytes = 16 << 20
	// maxHoldBatchBytes bounds the encoded batch that carries one bill. The
	// factor leaves room for the encoding.
	maxHoldBatchBytes = 4 * (record.MaxKeyBytes + ledger.MaxBillBytes)
	// maxCopyPeers is how many peers are asked in turn to keep a copy.
	maxCopyPeers = 3
)

func newBillBuffer(put ledger.PutFunc, copyTo ledger.CopyFunc) *ledger.Buffer {
	return ledger.NewBuffer(ledger.BufferLimits{MaxBills: maxHeldBills, MaxBytes: maxHeldBytes}, put, copyTo)
}

// Hold keeps a bill here and at one peer until the log takes it. A nil error
// means that both copies exist. After an error the answer must not be completed
// as if it had been billed. If only the peer's answer was lost, the peer still
// holds its copy and later writes that bill; a repetition of the request with
// the same Idempotency-Key results in the same bill.
func (n *Node) Hold(ctx context.Context, r record.Record) error {
	if err := n.holdWithCopy(ctx, r); err != nil {
		n.Log.Emit(ctx, logging.EventBillRefused, logging.Err(err))
		return trace.Wrap(err)
	}
	n.Log.Emit(ctx, logging.EventBillHeld, slog.String("key", string(r.Key)))
	return nil
}

func (n *Node) holdWithCopy(ctx context.Context, r record.Record) error {
	reservation, err := n.heldBills.Reserve()
	if err != nil {
		return err
	}
	return reservation.HoldWithCopy(ctx, r)
}

// acceptCopy keeps a second copy of another instance's bill. Records of other
// classes are rejected: held records are written to the log in this instance's
// name, so an instance could otherwise write arbitrary records through another.
func (n *Node) acceptCopy(r record.Record) error {
	err := n.heldBills.AcceptCopy(r)
	switch {
	case errors.Is(err, ledger.ErrBufferFull):
		return rpcError(CodeBufferFull, "no room to hold bills")
	case err != nil:
		return invalidParams(trace.UserMessage(err))
	}
	return nil
}

// sendCopy sends a copy to the first peer that accepts it.
func (n *Node) sendCopy(ctx context.Context, r record.Record) error {
	batch := record.Batch{Writer: n.self.ID, WriterTime: n.Now(), Records: []record.Record{r}}
	data, err := record.Encode(batch)
	if err != nil {
		return trace.Wrap(err)
	}
	lastErr := trace.NotFound("no peer to hold a copy of the bill")
	for _, p := range n.copyCandidates() {
		err := n.sendCopyTo(ctx, p, data)
		if err == nil {
			return nil
		}
		lastErr = trace.Wrap(err)
	}
	return lastErr
}

func (n *Node) sendCopyTo(ctx context.Context, p wire.ListedInstance, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, n.timeouts.Hold)
	defer cancel()
	return n.pool.call(ctx, p.Peer, MethodHold, HoldParams{From: n.self.ID, Batch: data}, nil)
}

// copyCandidates returns the peers to ask for a copy, in order, at most
// maxCopyPeers. Those of another failure domain come first, since a failure
// domain fails as a whole. Those of this instance's own come last: a copy there
// at least survives a failure of this instance. Within both groups, peers that
// answered the last query precede the others. Peers of equal rank are shuffled
// to spread the load.
func (n *Node) copyCandidates() []wire.ListedInstance {
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
	return out[:min(len(out), maxCopyPeers)]
}

// flushBills writes the held bills to the log and stops once a write fails.
func (n *Node) flushBills(ctx context.Context) {
	before := n.heldBills.Len()
	left := n.heldBills.Flush(ctx)
	if done := before - left; done > 0 {
		n.Log.Emit(ctx, logging.EventBillFlushed, slog.Int("bills", done), slog.Int("left", left))
	}
}

// Drain makes sure that no bill is held only here: it writes the bills to the
// log or, if the log does not take them, sends each to one more peer. It
// returns how many are left, which is 0 unless ctx ended or some bill was
// accepted by no peer.
func (n *Node) Drain(ctx context.Context) int {
	if n.Bills.Reachable() {
		n.flushBills(ctx)
	}
	return n.heldBills.HandOver(ctx)
}

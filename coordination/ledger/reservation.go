package ledger

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/record"
)

// Reservation is room for one bill. Use exactly one of Hold, HoldTwice and
// Cancel; calls after the first do nothing.
type Reservation struct {
	buffer *Buffer
	once   sync.Once
}

// Reserve takes room for the bill of a request that is about to be admitted.
// Errors wrap ErrFull: refuse the request.
func (b *Buffer) Reserve() (*Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.full() {
		return nil, trace.Wrap(ErrBufferFull)
	}
	b.reserved++
	return &Reservation{buffer: b}, nil
}

// Cancel gives the room back: the request was billed through the log, or did
// not run.
func (r *Reservation) Cancel() {
	r.once.Do(func() {
		r.buffer.mu.Lock()
		r.buffer.reserved--
		r.buffer.mu.Unlock()
	})
}

// Hold keeps the bill and hands one copy to a peer. It never fails to keep it;
// copied says whether a peer has it too, so that it outlives this process.
func (r *Reservation) Hold(ctx context.Context, bill record.Record) (copied bool) {
	used, _ := r.use(bill)
	return used && r.buffer.copyToPeer(ctx, bill) == nil
}

// HoldTwice keeps the bill here and at a peer, or fails. After an error this
// buffer holds what it held before: where it kept the same bill for a peer
// already, it still does.
func (r *Reservation) HoldWithCopy(ctx context.Context, bill record.Record) error {
	if _, err := ParseBill(bill); err != nil {
		r.Cancel()
		return err
	}
	used, added := r.use(bill)
	if !used {
		return trace.Wrap(ErrBufferFull, "the reservation was used before")
	}
	err := r.buffer.copyToPeer(ctx, bill)
	if err != nil && added {
		r.buffer.remove(bill)
	}
	return err
}

// keep turns the reservation into the held bill.
func (r *Reservation) use(bill record.Record) (used, added bool) {
	r.once.Do(func() {
		r.buffer.mu.Lock()
		defer r.buffer.mu.Unlock()
		r.buffer.reserved--
		used, added = true, r.buffer.add(bill)
	})
	return used, added
}

// copyOut has a peer keep a copy. Errors wrap ErrNoCopy.
func (b *Buffer) copyToPeer(ctx context.Context, bill record.Record) error {
	if b.sendCopy == nil {
		return trace.Wrap(ErrNoCopy, "no peers")
	}
	if err := b.sendCopy(ctx, bill); err != nil {
		return trace.Wrap(ErrNoCopy, "%v", err)
	}
	return nil
}

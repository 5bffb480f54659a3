package ledger

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/record"
)

// Reservation is room for one bill. Use exactly one of Hold, HoldWithCopy and
// Cancel; later calls have no effect.
type Reservation struct {
	buffer *Buffer
	once   sync.Once
}

// Reserve reserves room for the bill of a request that is about to be admitted.
// Errors wrap ErrBufferFull; the request must be refused then.
func (b *Buffer) Reserve() (*Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.full() {
		return nil, trace.Wrap(ErrBufferFull)
	}
	b.reserved++
	return &Reservation{buffer: b}, nil
}

// Cancel frees the room, for a request that was billed through the log or did
// not run.
func (r *Reservation) Cancel() {
	r.once.Do(func() {
		r.buffer.mu.Lock()
		r.buffer.reserved--
		r.buffer.mu.Unlock()
	})
}

// Hold holds the bill and sends one copy to a peer. Holding never fails; copied
// reports whether a peer has the bill too, so that it survives this process.
func (r *Reservation) Hold(ctx context.Context, bill record.Record) (copied bool) {
	used, _ := r.use(bill)
	return used && r.buffer.copyToPeer(ctx, bill) == nil
}

// HoldWithCopy holds the bill here and at a peer, or returns an error. After an
// error the buffer holds the same bills as before; if it already held this bill
// for a peer, it still does. Errors wrap ErrInvalidBill, ErrNoCopy or, for a
// used reservation, ErrBufferFull.
func (r *Reservation) HoldWithCopy(ctx context.Context, bill record.Record) error {
	if _, err := ParseBill(bill); err != nil {
		r.Cancel()
		return err
	}
	used, added := r.use(bill)
	if !used {
		return trace.Wrap(ErrBufferFull, "the reservation is already used")
	}
	err := r.buffer.copyToPeer(ctx, bill)
	if err != nil && added {
		r.buffer.remove(bill)
	}
	return err
}

// use turns the reservation into the held bill. used is false if the
// reservation was used before, added is false if the bill was held already.
func (r *Reservation) use(bill record.Record) (used, added bool) {
	r.once.Do(func() {
		r.buffer.mu.Lock()
		defer r.buffer.mu.Unlock()
		r.buffer.reserved--
		used, added = true, r.buffer.add(bill)
	})
	return used, added
}

// copyToPeer sends a copy to a peer. Errors wrap ErrNoCopy.
func (b *Buffer) copyToPeer(ctx context.Context, bill record.Record) error {
	if b.sendCopy == nil {
		return trace.Wrap(ErrNoCopy, "no peers configured")
	}
	if err := b.sendCopy(ctx, bill); err != nil {
		return trace.Wrap(ErrNoCopy, "%v", err)
	}
	return nil
}

package ledger

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// PutFunc appends a bill and says what became of it; *node.Node's Put is one.
type PutFunc func(ctx context.Context, r record.Record) node.Result

// CopyFunc hands a copy of a bill to one peer in another failure domain, which
// calls Accept on its Buffer. It returns nil once the peer holds it.
type CopyFunc func(ctx context.Context, r record.Record) error

const (
	// DefaultCapacity is how many bills an instance holds in an outage: about
	// ten minutes of 100 requests a second, in some 25 MB.
	DefaultCapacity = 60_000
	// flushWidth is how many Puts one flush has under way: they share groups,
	// so the width sets how many bills an append carries.
	flushWidth = 1000
	// flushTimeout bounds one Put of a flush.
	flushTimeout = 5 * time.Second
)

// Buffer holds bills while the log is down, own ones and copies for peers. Room
// is reserved before a request runs, since a bill that finds no room afterwards
// would be lost: a full buffer refuses work, never a bill. Safe for concurrent
// use.
type Buffer struct {
	put      PutFunc
	copyTo   CopyFunc
	capacity int

	mu       sync.Mutex
	held     map[record.Key]record.Record
	reserved int
}

// NewBuffer returns an empty Buffer. capacity 0 means DefaultCapacity; a nil
// copyTo means that no peer gets a copy.
func NewBuffer(capacity int, put PutFunc, copyTo CopyFunc) *Buffer {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Buffer{put: put, copyTo: copyTo, capacity: capacity, held: map[record.Key]record.Record{}}
}

// Reservation is room for one bill. Use exactly one of Hold and Cancel; calls
// after the first do nothing.
type Reservation struct {
	buffer *Buffer
	once   sync.Once
}

// Reserve takes room for the bill of a request that is about to be admitted.
// Errors wrap ErrFull: refuse the request.
func (b *Buffer) Reserve() (*Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.held)+b.reserved >= b.capacity {
		return nil, ErrFull
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
	used := false
	r.once.Do(func() { used = true })
	if !used {
		return false
	}
	b := r.buffer
	b.mu.Lock()
	b.reserved--
	b.held[bill.Key] = bill
	b.mu.Unlock()
	return b.copyTo != nil && b.copyTo(ctx, bill) == nil
}

// Accept keeps a copy for a peer. Errors wrap ErrBill or ErrFull.
func (b *Buffer) Accept(bill record.Record) error {
	if _, err := Parse(bill); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, have := b.held[bill.Key]; have {
		return nil
	}
	if len(b.held)+b.reserved >= b.capacity {
		return ErrFull
	}
	b.held[bill.Key] = bill
	return nil
}

// Settle drops the bill of key: it was read from the log.
func (b *Buffer) Settle(key record.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.held, key)
}

// Len is how many bills are held.
func (b *Buffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.held)
}

// Flush puts the held bills into the log and drops those that the log has, by
// this Put or by an earlier one. It returns how many are left. The first Put
// goes alone: with the log down, one failed try is enough.
func (b *Buffer) Flush(ctx context.Context) (left int) {
	bills := b.list()
	if len(bills) == 0 {
		return 0
	}
	if b.flushOne(ctx, bills[0]) {
		b.flushAll(ctx, bills[1:])
	}
	return b.Len()
}

func (b *Buffer) flushAll(ctx context.Context, bills []record.Record) {
	var g errgroup.Group
	g.SetLimit(flushWidth)
	for _, bill := range bills {
		g.Go(func() error {
			b.flushOne(ctx, bill)
			return nil
		})
	}
	_ = g.Wait()
}

func (b *Buffer) flushOne(ctx context.Context, bill record.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	switch b.put(ctx, bill).Outcome {
	case node.OutcomeWon, node.OutcomeLost:
		b.Settle(bill.Key)
		return true
	default:
		return false
	}
}

func (b *Buffer) list() []record.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]record.Record, 0, len(b.held))
	for _, bill := range b.held {
		out = append(out, bill)
	}
	return out
}

// Run flushes each interval until ctx ends.
func (b *Buffer) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.Flush(ctx)
		}
	}
}

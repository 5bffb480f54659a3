package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// PutFunc appends a bill and returns the outcome, as the method Put of *node.Node
// does.
type PutFunc func(ctx context.Context, r record.Record) node.Result

// CopyFunc sends a copy of a bill to one peer, preferably in another failure
// domain; the peer calls AcceptCopy on its Buffer. CopyFunc returns nil once the
// peer holds the copy.
type CopyFunc func(ctx context.Context, r record.Record) error

const (
	// DefaultMaxBills is how many bills an instance holds during an outage: about
	// ten minutes of 100 requests a second.
	DefaultMaxBills = 60_000
	// DefaultMaxBytes bounds the memory of the held bills: DefaultMaxBills of some
	// 250 bytes each, more than a bill with names of usual length takes.
	DefaultMaxBytes = 16 << 20
	// maxHeldBillBytes is the largest size of a held bill. A reservation counts as
	// that much, since the size of its bill is not known yet.
	maxHeldBillBytes = record.MaxKeyBytes + MaxBillBytes
)

// BufferLimits bounds a Buffer; 0 means the default.
type BufferLimits struct {
	MaxBills int
	MaxBytes int
}

func (l BufferLimits) withDefaults() BufferLimits {
	if l.MaxBills <= 0 {
		l.MaxBills = DefaultMaxBills
	}
	if l.MaxBytes <= 0 {
		l.MaxBytes = DefaultMaxBytes
	}
	return l
}

// Buffer holds bills while the log is unreachable: the instance's own, and
// copies for peers. Room is reserved before a request runs, since a bill that
// finds no room afterwards would be lost: a full buffer refuses new work and
// copies for peers, never a bill whose room is reserved. It is safe for
// concurrent use.
type Buffer struct {
	put      PutFunc
	sendCopy CopyFunc
	limits   BufferLimits

	mu       sync.Mutex
	held     map[billID]record.Record
	bytes    int
	reserved int
}

// billID identifies one proposal. Two bills of one request are two proposals;
// the log decides which one wins, not the buffer.
type billID struct {
	key   record.Key
	nonce record.Nonce
}

func idOf(r record.Record) billID { return billID{r.Key, r.Nonce} }

func sizeOf(r record.Record) int { return len(r.Key) + len(r.Value) }

// NewBuffer returns an empty Buffer. If sendCopy is nil, no peer gets a copy.
func NewBuffer(limits BufferLimits, put PutFunc, sendCopy CopyFunc) *Buffer {
	return &Buffer{put: put, sendCopy: sendCopy, limits: limits.withDefaults(), held: map[billID]record.Record{}}
}

// AcceptCopy holds a copy of a peer's bill; accepting the same bill again
// changes nothing. Errors wrap ErrInvalidBill or ErrBufferFull.
func (b *Buffer) AcceptCopy(bill record.Record) error {
	if _, err := ParseBill(bill); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, have := b.held[idOf(bill)]; have {
		return nil
	}
	if b.full() {
		return trace.Wrap(ErrBufferFull)
	}
	b.add(bill)
	return nil
}

// Full reports whether there is no room for another bill.
func (b *Buffer) Full() bool { return b.FullWithOpen(0) }

// FullWithOpen reports whether there is no room for another bill once each of
// openRequests has its bill too. These are requests that run without a
// reservation; all of them may end while the log is unreachable.
func (b *Buffer) FullWithOpen(openRequests int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fullWithOpen(openRequests)
}

// Len returns how many bills are held.
func (b *Buffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.held)
}

// Bills returns the held bills in no particular order. Each is a proposal of
// its own, so the order does not matter.
func (b *Buffer) Bills() []record.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]record.Record, 0, len(b.held))
	for _, bill := range b.held {
		out = append(out, bill)
	}
	return out
}

// full, fullWithOpen and add must be called with mu held.

func (b *Buffer) full() bool { return b.fullWithOpen(0) }

// fullWithOpen is FullWithOpen without locking. Reserved bills are added to the
// expected ones.
func (b *Buffer) fullWithOpen(expected int) bool {
	expected += b.reserved
	tooMany := len(b.held)+expected >= b.limits.MaxBills
	return tooMany || b.bytes+(expected+1)*maxHeldBillBytes > b.limits.MaxBytes
}

// add returns false if the bill was held already.
func (b *Buffer) add(bill record.Record) (added bool) {
	if _, have := b.held[idOf(bill)]; have {
		return false
	}
	b.held[idOf(bill)] = bill
	b.bytes += sizeOf(bill)
	return true
}

// remove drops a bill that the log has, that a peer holds instead, or for which
// HoldWithCopy found no peer. It takes mu itself.
func (b *Buffer) remove(bill record.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, have := b.held[idOf(bill)]; have {
		delete(b.held, idOf(bill))
		b.bytes -= sizeOf(bill)
	}
}

// Run flushes at each interval until ctx ends.
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

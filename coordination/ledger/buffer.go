package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// PutFunc appends a bill and says what became of it; *node.Node's Put is one.
type PutFunc func(ctx context.Context, r record.Record) node.Result

// CopyFunc hands a copy of a bill to one peer, best in another failure domain,
// which calls Accept on its Buffer. It returns nil once the peer holds it.
type CopyFunc func(ctx context.Context, r record.Record) error

const (
	// DefaultBills is how many bills an instance holds in an outage: about ten
	// minutes of 100 requests a second.
	DefaultMaxBills = 60_000
	// DefaultBytes bounds their memory: the default count of bills of some 250
	// bytes, which is more than usual names take.
	DefaultMaxBytes = 16 << 20
	// maxHeldBill is the most that one bill takes; a reservation takes it whole,
	// since the bill's size is not known yet.
	maxHeldBillBytes = record.MaxKeyBytes + MaxBillBytes
)

// Limits bound a Buffer; 0 means the default.
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

// Buffer holds bills while the log is down, own ones and copies for peers. Room
// is reserved before a request runs, since a bill that finds no room afterwards
// would be lost: a full buffer refuses work, never a bill. Safe for concurrent
// use.
type Buffer struct {
	put      PutFunc
	sendCopy CopyFunc
	limits   BufferLimits

	mu       sync.Mutex
	held     map[billID]record.Record
	bytes    int
	reserved int
}

// heldID is one proposal. Two bills of one request are two proposals: the log
// decides between them, not the buffer.
type billID struct {
	key   record.Key
	nonce record.Nonce
}

func idOf(r record.Record) billID { return billID{r.Key, r.Nonce} }

func sizeOf(r record.Record) int { return len(r.Key) + len(r.Value) }

// NewBuffer returns an empty Buffer; a nil copyTo means that no peer gets a
// copy.
func NewBuffer(limits BufferLimits, put PutFunc, sendCopy CopyFunc) *Buffer {
	return &Buffer{put: put, sendCopy: sendCopy, limits: limits.withDefaults(), held: map[billID]record.Record{}}
}

// Accept keeps a copy for a peer; the same bill again changes nothing. Errors
// wrap ErrBill or ErrFull.
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

// Full says that no room for another bill can be had.
func (b *Buffer) Full() bool { return b.FullWithOpen(0) }

// FullFor says the same where open requests without a reservation will each need
// room for a bill too: all of them may end while the log takes nothing.
func (b *Buffer) FullWithOpen(open int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fullFor(open)
}

// Len is how many bills are held.
func (b *Buffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.held)
}

// Bills returns the bills held, in no order: each is a proposal of its own.
func (b *Buffer) Bills() []record.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]record.Record, 0, len(b.held))
	for _, bill := range b.held {
		out = append(out, bill)
	}
	return out
}

// The methods below are called with mu held.

func (b *Buffer) full() bool { return b.fullFor(0) }

func (b *Buffer) fullFor(open int) bool {
	open += b.reserved
	tooMany := len(b.held)+open >= b.limits.MaxBills
	return tooMany || b.bytes+(open+1)*maxHeldBillBytes > b.limits.MaxBytes
}

// keep returns false where the bill was held before.
func (b *Buffer) add(bill record.Record) (added bool) {
	if _, have := b.held[idOf(bill)]; have {
		return false
	}
	b.held[idOf(bill)] = bill
	b.bytes += sizeOf(bill)
	return true
}

// settle drops a bill: the log has it, or a peer keeps it instead.
func (b *Buffer) remove(bill record.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, have := b.held[idOf(bill)]; have {
		delete(b.held, idOf(bill))
		b.bytes -= sizeOf(bill)
	}
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

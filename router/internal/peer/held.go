package peer

import (
	"sync"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/record"
)

const (
	// maxHeld bounds the bills held, own and for others. At 200 requests a
	// second for one instance it is near a minute and a half of outage for
	// both; beyond it new work is refused, since unbilled answers would be the
	// greater harm.
	maxHeld = 32_768
	// maxHeldBytes bounds their memory.
	maxHeldBytes = 16 << 20
	// maxBillBytes bounds one bill's value.
	maxBillBytes = 16 << 10
)

// errFull means that no bill can be held any more.
var errFull = trace.LimitExceeded("no room to hold bills")

// held is a bounded set of bills that the log has not taken. Safe for
// concurrent use.
type held struct {
	mu    sync.Mutex
	bills map[record.Nonce]record.Record
	bytes int
}

func newHeld() *held { return &held{bills: map[record.Nonce]record.Record{}} }

// checkBill refuses what must not come by bill.hold: held records are written
// to the log in this instance's name, so another class would let one instance
// write what it likes through another.
func checkBill(r record.Record) error {
	switch {
	case r.Kind != record.KindPut || r.Key.Class() != record.ClassBill:
		return trace.BadParameter("not a bill")
	case len(r.Value) > maxBillBytes:
		return trace.LimitExceeded("bill of %d bytes", len(r.Value))
	}
	return trace.Wrap(r.Check())
}

// add keeps r; the same nonce again changes nothing.
func (h *held) add(r record.Record) error {
	if err := checkBill(r); err != nil {
		return err
	}
	size := len(r.Key) + len(r.Value)
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.bills[r.Nonce]; ok {
		return nil
	}
	if len(h.bills) >= maxHeld || h.bytes+size > maxHeldBytes {
		return errFull
	}
	h.bills[r.Nonce] = r
	h.bytes += size
	return nil
}

// full says that the next bill might find no room.
func (h *held) full() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.bills) >= maxHeld || h.bytes+maxBillBytes > maxHeldBytes
}

func (h *held) remove(n record.Nonce) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.bills[n]
	if !ok {
		return
	}
	h.bytes -= len(r.Key) + len(r.Value)
	delete(h.bills, n)
}

// all returns the bills held, in no order: each has a key of its own.
func (h *held) all() []record.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]record.Record, 0, len(h.bills))
	for _, r := range h.bills {
		out = append(out, r)
	}
	return out
}

func (h *held) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.bills)
}

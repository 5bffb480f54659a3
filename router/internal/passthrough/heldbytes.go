package passthrough

import (
	"sync"

	"masticplank.example/router/internal/connlimit"
)

const (
	// heldMemoryFraction is the fraction of the process's memory that may be held for callers and backend servers
	// that read slowly. The runtime's soft limit is memoryLimitFraction; below it the rest is for tables, the fixed
	// buffers of connections, and garbage.
	heldMemoryFraction = 0.25
	// bodyFraction is the fraction of that which request bodies may bring it to. The rest is for the responses to
	// requests that run already.
	bodyFraction = 0.75
)

// direction is the direction in which held bytes travel.
type direction uint8

const (
	// toServer are request bodies, which are held for retries.
	toServer direction = iota
	// toCaller are responses and parts of streams.
	toCaller
	directions
)

// errNoRoom means that as many bytes are held as may be.
var errNoRoom = connlimit.ErrNoRoom

// heldBytes bounds the bytes that are held for callers and backend servers. The zero value has no bound. It is safe for
// concurrent use.
//
// Load: callers that send long bodies or read responses slowly, all at once, at an instance with 144 MB. Harm prevented:
// the process exceeds its memory limit and is killed with all its requests.
type heldBytes struct {
	// limit is the largest sum of both directions, 0 for none.
	limit int64

	mu   sync.Mutex
	held [directions]int64
}

// newHeldBytes returns the bound for a process with the memory limit, in bytes; 0 means unknown, and sets no bound.
func newHeldBytes(memory int64) *heldBytes {
	return &heldBytes{limit: int64(heldMemoryFraction * float64(max(memory, 0)))}
}

// limitOf returns the largest sum of both directions up to which more may be held in this one.
func (b *heldBytes) limitOf(d direction) int64 {
	if d == toServer {
		return int64(bodyFraction * float64(b.limit))
	}
	return b.limit
}

// reserve reserves n bytes and reports whether they fit.
func (b *heldBytes) reserve(d direction, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && b.held[toServer]+b.held[toCaller]+n > b.limitOf(d) {
		return false
	}
	b.held[d] += n
	return true
}

func (b *heldBytes) release(d direction, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[d] -= n
}

// sums returns how many bytes are held in each direction.
func (b *heldBytes) sums() [directions]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// hold is what one request holds in one direction. It is not safe for concurrent use.
type hold struct {
	bytes     *heldBytes
	direction direction
	n         int64
}

// add reserves n more bytes and reports whether they fit.
func (h *hold) add(n int64) bool {
	if n <= 0 {
		return true
	}
	if !h.bytes.reserve(h.direction, n) {
		return false
	}
	h.n += n
	return true
}

// release gives everything back.
func (h *hold) release() {
	if h.n > 0 {
		h.bytes.release(h.direction, h.n)
	}
	h.n = 0
}

package passthrough

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// crashThreshold is how many backend servers a request must seem to have crashed
	// to be quarantined. One or two lost connections in a row are common where
	// responses get lost; three of the same request, without a completed response in
	// between, are not.
	crashThreshold = 3
	// crashMemory is how long the count of a request's crashes is kept after the latest one. A request
	// that crashes servers is sent again within seconds; one whose connections broke for other
	// reasons must not be refused for long.
	crashMemory = 20 * time.Second
	// maxFingerprints bounds the table of fingerprints.
	maxFingerprints = 4096
)

// crashes counts, by fingerprint, the consecutive attempts that lost their connection.
//
// Load: a request that crashes each backend server it runs on, and is retried each
// time. Harm prevented: all backend servers brought down, one after the other.
type crashes struct {
	entries *simplelru.LRU[uint64, crashEntry]
}

type crashEntry struct {
	count int
	at    time.Time
}

func newCrashes() crashes {
	lru, err := simplelru.NewLRU[uint64, crashEntry](maxFingerprints, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return crashes{entries: lru}
}

// record adds attempts that lost their connection.
func (c *crashes) record(fingerprint uint64, count int, now time.Time) {
	entry, _ := c.entries.Get(fingerprint)
	if now.Sub(entry.at) > crashMemory {
		entry.count = 0
	}
	c.entries.Add(fingerprint, crashEntry{count: entry.count + count, at: now})
}

// withdraw takes one lost connection back.
func (c *crashes) withdraw(fingerprint uint64) {
	if entry, ok := c.entries.Peek(fingerprint); ok {
		c.entries.Add(fingerprint, crashEntry{count: max(entry.count-1, 0), at: entry.at})
	}
}

// forget drops the count of a request once one of its attempts has completed.
func (c *crashes) forget(fingerprint uint64) { c.entries.Remove(fingerprint) }

// quarantined reports whether the request must not run any more.
func (c *crashes) quarantined(fingerprint uint64, now time.Time) bool {
	entry, ok := c.entries.Get(fingerprint)
	return ok && entry.count >= crashThreshold && now.Sub(entry.at) <= crashMemory
}

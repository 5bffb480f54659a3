package passthrough

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// crashLimit is how many backend servers a request may seem to have crashed
	// before it is refused. One or two broken connections in a row are common where
	// answers get lost; three of the same request, with no answer between, are not.
	crashThreshold = 3
	// crashMemory is how long a crash counts: such a request comes again within
	// seconds, and one that was unlucky must not be shut out for long.
	crashMemory = 20 * time.Second
	// crashTable bounds the fingerprints that are kept.
	maxFingerprints = 4096
)

// crashes counts, by fingerprint, the attempts in a row that broke off.
//
// Load: one request that crashes each backend server that runs it, and is sent again.
// Harm prevented: all backend servers down, one after the other.
type crashes struct {
	rows *simplelru.LRU[uint64, crashRow]
}

type crashRow struct {
	count int
	at    time.Time
}

func newCrashes() crashes {
	lru, err := simplelru.NewLRU[uint64, crashRow](maxFingerprints, nil)
	if err != nil {
		panic(err) // the library fails only for a size below 1
	}
	return crashes{rows: lru}
}

// broke notes one more attempt that broke off.
func (c *crashes) record(fingerprint uint64, count int, now time.Time) {
	row, _ := c.rows.Get(fingerprint)
	if now.Sub(row.at) > crashMemory {
		row.count = 0
	}
	c.rows.Add(fingerprint, crashRow{count: row.count + count, at: now})
}

// forget drops what is held against a request that some backend server has answered.
func (c *crashes) forget(fingerprint uint64) { c.rows.Remove(fingerprint) }

// barred says whether the request must not run any more.
func (c *crashes) quarantined(fingerprint uint64, now time.Time) bool {
	row, ok := c.rows.Get(fingerprint)
	return ok && row.count >= crashThreshold && now.Sub(row.at) <= crashMemory
}

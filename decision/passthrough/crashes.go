package passthrough

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// crashThreshold is how many backend servers a request may seem to have crashed
	// before it is quarantined. One or two lost connections in a row are common where
	// responses get lost; three of the same request, without a response in between, are
	// not.
	crashThreshold = 3
	// crashMemory is how long a crash counts. A request that crashes servers is sent
	// again within seconds; one that was merely unlucky must not be refused for long.
	crashMemory = 20 * time.Second
	// maxFingerprints bounds the table of fingerprints.
	maxFingerprints = 4096
)

// crashes counts, by fingerprint, the consecutive attempts that lost their connection.
//
// Load: a request that crashes each backend server it runs on, and is sent again each
// time. Harm prevented: all backend servers brought down, one after the other.
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
		panic(err) // NewLRU fails only for a size below 1
	}
	return crashes{rows: lru}
}

// record adds attempts that lost their connection.
func (c *crashes) record(fingerprint uint64, count int, now time.Time) {
	row, _ := c.rows.Get(fingerprint)
	if now.Sub(row.at) > crashMemory {
		row.count = 0
	}
	c.rows.Add(fingerprint, crashRow{count: row.count + count, at: now})
}

// forget drops the count of a request once a backend server has responded to it.
func (c *crashes) forget(fingerprint uint64) { c.rows.Remove(fingerprint) }

// quarantined says whether the request must not run any more.
func (c *crashes) quarantined(fingerprint uint64, now time.Time) bool {
	row, ok := c.rows.Get(fingerprint)
	return ok && row.count >= crashThreshold && now.Sub(row.at) <= crashMemory
}

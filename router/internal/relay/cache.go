package relay

import (
	"context"
	"sort"
	"sync"
	"time"

	"masticplank.example/coordination/keyedlog"
)

// cacheRecords bounds the records that are kept of a topic: 75 heartbeats a second of 90
// backend servers are kept for almost a minute.
const cacheRecords = 4096

// Cache is what an instance knows of a topic, for those that ask it.
type Cache struct {
	now func() time.Time
	// same says of two records of a key that they mean the same; the second is then not
	// passed on.
	same func(a, b keyedlog.Record) bool

	mu      sync.Mutex
	known   bool
	records []keyedlog.Record
	newest  map[string]keyedlog.Record
	first   uint64
	next    uint64
	// confirmed is when the log was as known here, at the latest.
	confirmed time.Time
	changed   chan struct{}
}

// NewCache returns an empty cache; now is a clock that goes on while suspended. same says
// of two records of a key that they mean the same: heartbeats of 90 backend servers, passed
// on to 29 instances, fill the link of 10 Mbit/s of a small collector. It may be nil.
func NewCache(now func() time.Time, same func(a, b keyedlog.Record) bool) *Cache {
	if same == nil {
		same = func(a, b keyedlog.Record) bool { return false }
	}
	return &Cache{now: now, same: same, newest: map[string]keyedlog.Record{}, changed: make(chan struct{})}
}

// Replace takes over a snapshot that was current at the time.
func (c *Cache) Replace(s keyedlog.Snapshot, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = true
	c.records = nil
	c.first, c.next = s.Next, s.Next
	clear(c.newest)
	for _, r := range s.Records {
		c.newest[r.Key] = r
	}
	c.confirm(at)
}

// Add takes in a batch that was read from the cache's end, and was current at the time.
func (c *Cache) Add(b keyedlog.Batch, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range b.Records {
		old, known := c.newest[r.Key]
		switch {
		case len(r.Value) == 0:
			delete(c.newest, r.Key)
		case known && c.same(old, r):
			continue
		default:
			c.newest[r.Key] = r
		}
		c.records = append(c.records, r)
	}
	if drop := len(c.records) - cacheRecords; drop > 0 {
		c.records = append([]keyedlog.Record(nil), c.records[drop:]...)
		c.first = c.records[0].Offset
	}
	c.next = b.Next
	c.confirm(at)
}

// confirm notes the time and wakes those that wait.
func (c *Cache) confirm(at time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// Read returns the records from the offset on, and waits for one as long as wait says.
func (c *Cache) Read(ctx context.Context, from uint64, wait time.Duration) (keyedlog.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := c.since(from)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			batch, _, err = c.since(from)
			return batch, err
		case <-ctx.Done():
			return keyedlog.Batch{}, ctx.Err()
		}
	}
}

func (c *Cache) since(from uint64) (keyedlog.Batch, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.known:
		return keyedlog.Batch{}, nil, keyedlog.ErrNotDone
	case from < c.first:
		return keyedlog.Batch{}, nil, keyedlog.ErrGone
	case from > c.next:
		return keyedlog.Batch{}, nil, keyedlog.ErrNotDone // the asker knows more
	}
	out := keyedlog.Batch{Next: c.next, Age: c.now().Sub(c.confirmed)}
	at := sort.Search(len(c.records), func(i int) bool { return c.records[i].Offset >= from })
	out.Records = append(out.Records, c.records[at:]...)
	return out, c.changed, nil
}

// Age is how old the word on the topic is.
func (c *Cache) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now().Sub(c.confirmed)
}

// Newest returns the newest record of each key.
func (c *Cache) Newest() (keyedlog.Snapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return keyedlog.Snapshot{}, keyedlog.ErrNotDone
	}
	out := keyedlog.Snapshot{Next: c.next, Age: c.now().Sub(c.confirmed)}
	for _, r := range c.newest {
		out.Records = append(out.Records, r)
	}
	return out, nil
}

package relay

import (
	"context"
	"sort"
	"sync"
	"time"

	"masticplank.example/coordination/keyedlog"
)

// maxCachedRecords bounds the records kept per topic: enough for almost a minute of the heartbeats
// of 90 backend servers, which are 75 a second.
const maxCachedRecords = 4096

// Cache holds a topic's latest records for the instances that ask this one.
type Cache struct {
	now func() time.Time
	// equivalent reports whether two records of a key have the same meaning; the second is then not
	// passed on.
	equivalent func(a, b keyedlog.Record) bool

	mu          sync.Mutex
	loaded      bool
	records     []keyedlog.Record
	newestByKey map[string]keyedlog.Record
	// firstOffset is the offset from which reads can be answered, next the position at which the
	// cached state ends.
	firstOffset uint64
	next        keyedlog.Position
	// confirmedAt is the latest time for which the log is known to have been in the cached state.
	// steadySince is the time since which it has been confirmed at least every MaxConfirmGap.
	confirmedAt time.Time
	steadySince time.Time
	changed     chan struct{}
	// packed is the last snapshot that was sent.
	packed packedSnapshot
}

// NewCache returns an empty cache. now is a clock that advances while the machine is suspended.
// equivalent reports whether two records of a key have the same meaning, and may be nil. It keeps
// heartbeats from filling a collector's link to its followers: all those of 90 backend servers, for
// 29 followers, fill a link of 10 Mbit/s.
func NewCache(now func() time.Time, equivalent func(a, b keyedlog.Record) bool) *Cache {
	if equivalent == nil {
		equivalent = func(a, b keyedlog.Record) bool { return false }
	}
	return &Cache{now: now, equivalent: equivalent, newestByKey: map[string]keyedlog.Record{}, changed: make(chan struct{})}
}

// Replace stores a snapshot that was current at the given time, unless a later era is known: the
// snapshot may have been in transit when the store was restored.
func (c *Cache) Replace(s keyedlog.Snapshot, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasLaterEraThanLocked(s.Next) {
		return
	}
	c.loaded = true
	c.records = nil
	c.packed = packedSnapshot{}
	c.firstOffset, c.next = s.Next.Offset, s.Next
	clear(c.newestByKey)
	for _, r := range s.Records {
		c.newestByKey[r.Key] = r
	}
	c.confirm(at)
}

// hasLaterEraThanLocked reports whether the cache has a later era than a position. The lock must be held.
func (c *Cache) hasLaterEraThanLocked(p keyedlog.Position) bool {
	return !p.MatchesEra(c.next.Era) && p.Era < c.next.Era
}

// hasLaterEraThan reports whether the cache has a later era than a position.
func (c *Cache) hasLaterEraThan(p keyedlog.Position) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasLaterEraThanLocked(p)
}

// Add appends a batch that was read from the cache's end and was current at the given time, if it reaches the end
// of the log; otherwise it does not confirm the cached state. A batch of another era is ignored, since it does not
// continue the cached records.
func (c *Cache) Add(b keyedlog.Batch, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !b.Next.MatchesEra(c.next.Era) {
		return
	}
	for _, r := range b.Records {
		old, known := c.newestByKey[r.Key]
		switch {
		case len(r.Value) == 0:
			delete(c.newestByKey, r.Key)
		case known && c.equivalent(old, r):
			continue
		default:
			c.newestByKey[r.Key] = r
		}
		c.records = append(c.records, r)
	}
	if excess := len(c.records) - maxCachedRecords; excess > 0 {
		c.records = append([]keyedlog.Record(nil), c.records[excess:]...)
		c.firstOffset = c.records[0].Offset
	}
	c.next = keyedlog.Position{Era: max(b.Next.Era, c.next.Era), Offset: b.Next.Offset}
	if b.AtEnd() {
		c.confirm(at)
	} else {
		c.wakeReads()
	}
}

// MaxConfirmGap is the longest time between two reads of a topic that count as reading it without
// interruption. It is above the time between two reads of a list, and below that of an outage in which a
// server misses two heartbeats.
const MaxConfirmGap = 1100 * time.Millisecond

// confirm records the time and wakes the waiting reads. The lock must be held.
func (c *Cache) confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		if at.Sub(c.confirmedAt) > MaxConfirmGap {
			c.steadySince = at
		}
		c.confirmedAt = at
	}
	c.wakeReads()
}

// wakeReads wakes the waiting reads. The lock must be held.
func (c *Cache) wakeReads() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// maxFillWait is how long a request waits for a cache that does not have the requested state yet.
// All instances start at once, and the collector's first read of the store takes a few
// milliseconds, or a few hundred with 1,000 backend servers. Without the wait each instance would
// read the store: a fleet of 81 instances makes up to 450 calls instead of a few.
const maxFillWait = 500 * time.Millisecond

// Read returns the records from the position on. It waits up to wait for a record.
func (c *Cache) Read(ctx context.Context, from keyedlog.Position, wait time.Duration) (keyedlog.Batch, error) {
	upToDate := func() bool { return c.loaded && !c.isBehind(from) }
	if err := c.waitUntil(ctx, maxFillWait, upToDate); err != nil {
		return keyedlog.Batch{}, err
	}
	decided := func() bool { return !upToDate() || c.lacks(from) || len(c.recordsFrom(from.Offset)) > 0 }
	if err := c.waitUntil(ctx, wait, decided); err != nil {
		return keyedlog.Batch{}, err
	}
	return c.batchFrom(from)
}

// waitUntil waits until the condition holds, or the timeout has passed. The condition is called
// with the lock held.
func (c *Cache) waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		c.mu.Lock()
		done, changed := condition(), c.changed
		c.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// recordsFrom returns the cached records from the offset on. The lock must be held.
func (c *Cache) recordsFrom(offset uint64) []keyedlog.Record {
	at := sort.Search(len(c.records), func(i int) bool { return c.records[i].Offset >= offset })
	return c.records[at:]
}

// isBehind reports whether the reader at a position knows more than the cache: a later era, or
// later records of the cache's era. The lock must be held.
func (c *Cache) isBehind(from keyedlog.Position) bool {
	if from.MatchesEra(c.next.Era) {
		return from.Offset > c.next.Offset
	}
	return from.Era > c.next.Era
}

// lacks reports whether records from the position on are no longer cached, given that the cache is
// not behind it: the position has an earlier era, or is too far back. The lock must be held.
func (c *Cache) lacks(from keyedlog.Position) bool {
	return !from.MatchesEra(c.next.Era) || from.Offset < c.firstOffset
}

func (c *Cache) batchFrom(from keyedlog.Position) (keyedlog.Batch, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.loaded, c.isBehind(from):
		return keyedlog.Batch{}, keyedlog.ErrNotApplied // the requested state is not cached yet
	case c.lacks(from):
		return keyedlog.Batch{}, keyedlog.ErrTrimmed
	}
	out := keyedlog.Batch{Next: c.next, Age: c.now().Sub(c.confirmedAt), Steady: c.confirmedAt.Sub(c.steadySince)}
	out.Records = append(out.Records, c.recordsFrom(from.Offset)...)
	return out, nil
}

// Age returns the time since the cached state was last confirmed.
func (c *Cache) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now().Sub(c.confirmedAt)
}

// newestAnswer returns the newest record of each key. It is packed once for all requests that
// arrive at about the same time.
//
// Load: hundreds of instances that start together, with thousands of backend servers. Harm
// prevented: a collector that writes a megabyte to each of a hundred followers takes many seconds,
// in which no caller is served.
func (c *Cache) newestAnswer(ctx context.Context) (answer, error) {
	if err := c.waitUntil(ctx, maxFillWait, func() bool { return c.loaded }); err != nil {
		return answer{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return answer{}, keyedlog.ErrNotApplied
	}
	now := c.now()
	if p := &c.packed; p.packedAt.IsZero() || now.Sub(p.packedAt) > packedSnapshotTTL || p.answer.Next < c.firstOffset || p.answer.Era != c.next.Era {
		if err := c.repack(now); err != nil {
			return answer{}, err
		}
	}
	out := c.packed.answer
	out.AgeUS = now.Sub(c.packed.confirmedAt).Microseconds()
	return out, nil
}

// repack packs a snapshot. The lock must be held.
func (c *Cache) repack(now time.Time) error {
	records := make([]keyedlog.Record, 0, len(c.newestByKey))
	for _, r := range c.newestByKey {
		records = append(records, r)
	}
	c.packed = packedSnapshot{answer: answer{Next: c.next.Offset, Era: c.next.Era}, confirmedAt: c.confirmedAt, packedAt: now}
	return c.packed.answer.setRecords(records)
}

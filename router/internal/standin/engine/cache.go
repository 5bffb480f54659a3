package engine

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"masticplank.example/router/internal/wire"
)

// maxCacheEvents bounds the events kept for readers. A reader that asks for
// older ones sees a gap in the sequence numbers.
const maxCacheEvents = 1024

// prefixCache is an LRU cache of the hashes of prompt blocks. All versions of
// the engine share it, a simplification compared with a real engine. It is safe
// for concurrent use.
type prefixCache struct {
	mu      sync.Mutex
	blocks  *simplelru.LRU[uint64, struct{}]
	evicted []uint64
	seq     uint64
	events  []wire.CacheEvent
}

func newPrefixCache(size int) *prefixCache {
	c := &prefixCache{}
	onEvict := func(hash uint64, _ struct{}) { c.evicted = append(c.evicted, hash) }
	// NewLRU fails only for sizes below 1.
	c.blocks, _ = simplelru.NewLRU(max(size, 1), onEvict)
	return c
}

// lookupAndAdd returns how many blocks from the start of the prompt are cached,
// and adds the missing ones. If dropEvent returns true, the cache event is lost
// and leaves a gap in the sequence numbers.
func (c *prefixCache) lookupAndAdd(prompt []uint64, dropEvent func() bool) (cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cached < len(prompt) {
		if _, ok := c.blocks.Get(prompt[cached]); !ok {
			break
		}
		cached++
	}
	var added []uint64
	for _, hash := range prompt[cached:] {
		if !c.blocks.Contains(hash) {
			added = append(added, hash)
		}
		c.blocks.Add(hash, struct{}{})
	}
	c.recordEvent(added, dropEvent)
	return cached
}

// clear empties the cache without an event, as a crash does.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks.Purge()
	c.evicted = nil
}

func (c *prefixCache) recordEvent(added []uint64, dropEvent func() bool) {
	removed := c.evicted
	c.evicted = nil
	if len(added) == 0 && len(removed) == 0 {
		return
	}
	c.seq++
	if dropEvent() {
		return
	}
	c.events = append(c.events, wire.CacheEvent{Seq: c.seq, Added: added, Removed: removed})
	if len(c.events) > maxCacheEvents {
		c.events = append([]wire.CacheEvent(nil), c.events[len(c.events)-maxCacheEvents:]...)
	}
}

// lastSeq returns the sequence number of the last event.
func (c *prefixCache) lastSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seq
}

// eventsBetween returns the kept events with sequence numbers in (since, upTo].
func (c *prefixCache) eventsBetween(since, upTo uint64) []wire.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []wire.CacheEvent
	for _, event := range c.events {
		if event.Seq > since && event.Seq <= upTo {
			out = append(out, event)
		}
	}
	return out
}

package engine

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"masticplank.example/router/internal/wire"
)

// maxCacheEvents bounds the events kept for readers; one that asks for older
// ones sees a gap.
const maxCacheEvents = 1024

// prefixCache holds the hashes of the prompt blocks whose state the engine has
// kept, least recently used out first. One cache serves all versions of the
// engine, which is simpler than life. It is safe for concurrent use.
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
	// The one error is a size below 1.
	c.blocks, _ = simplelru.NewLRU(max(size, 1), onEvict)
	return c
}

// use looks the prompt up, adds what was missing, and returns how many blocks
// from the start were there. drop loses the event, as a gap.
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

// clear empties the cache, as after a crash. No event tells of it.
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

// last returns the number of the last event.
func (c *prefixCache) lastSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seq
}

// between returns the kept events numbered above since and up to upTo.
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

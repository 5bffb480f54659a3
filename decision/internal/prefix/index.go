package prefix

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Config holds the limits of an Index.
type Config struct {
	// MaxBlocks bounds the indexed blocks; the least recently used are dropped
	// first. At some 300 bytes each, 65,536 take 20 MB of an instance's 256 MB.
	MaxBlocks int
	// MaxDepth bounds the blocks of one prompt that are considered. Those
	// after them are specific to the request and shared with no other.
	MaxDepth int
	// UnconfirmedTTL is how long the prompt of this instance's own dispatch counts
	// as cached without a cache event of the server. For servers that publish no
	// events, nothing but these dispatches is known.
	UnconfirmedTTL time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{MaxBlocks: 1 << 16, MaxDepth: 128, UnconfirmedTTL: 2 * time.Minute}
}

// maxHolders bounds the servers indexed for one block. If more servers hold a
// prefix, it is still found on the indexed ones; more entries would not improve the
// choice, since placing considers only a few candidates.
const maxHolders = 4

// Index maps block hashes to the servers that hold them.
type Index[S, H comparable] struct {
	cfg     Config
	blocks  *simplelru.LRU[H, *entry[S]]
	servers map[S]*server[S]
}

// server is the state of one server's event sequence.
type server[S comparable] struct {
	id  S
	seq uint64
	// epoch counts the gaps in the events, and a restart as two gaps. Holders
	// recorded one epoch ago count as not confirmed in a Match, and older ones are
	// invalid.
	epoch uint32
}

// entry lists the holders of one block.
type entry[S comparable] struct {
	holders [maxHolders]holder[S]
}

// holder is one server that holds a block; a nil server marks a free slot.
type holder[S comparable] struct {
	server *server[S]
	epoch  uint32
	// unconfirmed is true if the holder is known only from this instance's own
	// dispatch, without a cache event of the server yet.
	unconfirmed bool
	seenAt      time.Time
}

// Match is a server that holds the first Blocks blocks of a prompt.
type Match[S comparable] struct {
	Server S
	Blocks int
	// Confirmed is false for this instance's own dispatches without a cache event,
	// and for blocks that may have been evicted in a gap of the events.
	Confirmed bool
}

// New returns an empty index.
func New[S, H comparable](cfg Config) *Index[S, H] {
	blocks, err := simplelru.NewLRU[H, *entry[S]](max(cfg.MaxBlocks, 1), nil)
	if err != nil {
		// The library fails only for a size below 1.
		panic(err)
	}
	return &Index[S, H]{cfg: cfg, blocks: blocks, servers: make(map[S]*server[S])}
}

// server returns the state of a server, created if missing.
func (x *Index[S, H]) server(id S) *server[S] {
	s := x.servers[id]
	if s == nil {
		s = &server[S]{id: id}
		x.servers[id] = s
	}
	return s
}

// ApplyCacheEvent applies a server's report of blocks added to and removed from
// its cache. seq numbers the events of the server.
//
// Events come late and with gaps. After a gap, evictions may have been missed:
// the known blocks count as not confirmed, and after a second gap they are
// invalid. Of a late event only the evictions are applied, since the blocks that
// it added may have been evicted since. A sequence that starts over means a
// restarted server with an empty cache.
func (x *Index[S, H]) ApplyCacheEvent(id S, seq uint64, added, removed []H, now time.Time) {
	s := x.server(id)
	late := false
	switch {
	case seq == s.seq+1 || s.seq == 0:
		s.seq = seq
	case seq <= 1:
		s.epoch += 2
		s.seq = seq
	case seq > s.seq:
		s.epoch++
		s.seq = seq
	default:
		late = true
	}
	for _, h := range removed {
		x.removeHolder(h, s)
	}
	if late {
		return
	}
	// The deepest block is added first, so that the first blocks of the prompt,
	// on which the others build, are the most recently used and leave the index
	// last.
	for i := len(added) - 1; i >= 0; i-- {
		x.addHolder(added[i], holder[S]{server: s, epoch: s.epoch, seenAt: now})
	}
}

// RecordDispatch records that a prompt was dispatched to a server, which will
// have it cached shortly. Without this, a burst of requests with a new common
// prefix would spread over all servers before the first cache event arrives.
func (x *Index[S, H]) RecordDispatch(id S, blocks []H, now time.Time) {
	s := x.server(id)
	blocks = blocks[:min(len(blocks), x.cfg.MaxDepth)]
	for i := len(blocks) - 1; i >= 0; i-- {
		x.addHolder(blocks[i], holder[S]{server: s, epoch: s.epoch, seenAt: now, unconfirmed: true})
	}
}

// Forget drops a server and the contents of its cache.
func (x *Index[S, H]) Forget(id S) {
	if s := x.servers[id]; s != nil {
		s.epoch += 2
		delete(x.servers, id)
	}
}

// addHolder records a holder of a block: in the slot that the same server has
// already, in a free or invalid one, or in that of the oldest holder.
func (x *Index[S, H]) addHolder(h H, added holder[S]) {
	e, ok := x.blocks.Get(h)
	if !ok {
		e = &entry[S]{}
		x.blocks.Add(h, e)
	}
	oldest := 0
	for i := range e.holders {
		o := &e.holders[i]
		if o.server == added.server {
			// A dispatch only updates the time of a confirmed holder: it neither
			// confirms it for the current epoch nor makes it unconfirmed.
			if added.unconfirmed && !o.unconfirmed && x.valid(*o, added.seenAt) {
				o.seenAt = added.seenAt
				return
			}
			*o = added
			return
		}
		if !x.valid(*o, added.seenAt) {
			o.seenAt = time.Time{}
		}
		if o.seenAt.Before(e.holders[oldest].seenAt) {
			oldest = i
		}
	}
	e.holders[oldest] = added
}

func (x *Index[S, H]) removeHolder(h H, s *server[S]) {
	e, ok := x.blocks.Peek(h)
	if !ok {
		return
	}
	left := 0
	for i := range e.holders {
		if e.holders[i].server == s {
			e.holders[i] = holder[S]{}
		}
		if e.holders[i].server != nil {
			left++
		}
	}
	if left == 0 {
		x.blocks.Remove(h)
	}
}

// valid reports whether a holder may still have the block: not more than one
// epoch old and, if unconfirmed, not older than UnconfirmedTTL.
func (x *Index[S, H]) valid(o holder[S], now time.Time) bool {
	if o.server == nil || o.server.epoch-o.epoch >= 2 {
		return false
	}
	return !o.unconfirmed || now.Sub(o.seenAt) <= x.cfg.UnconfirmedTTL
}

// Len is the number of indexed blocks.
func (x *Index[S, H]) Len() int { return x.blocks.Len() }

package prefix

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Config holds the limits.
type Config struct {
	// Blocks bounds the blocks remembered; the least recently used go first. At
	// some 300 bytes each, 65,536 take 20 MB of an instance's 256.
	MaxBlocks int
	// Depth bounds the blocks of one prompt that are looked at. Past it lies
	// what is the request's own and shared with nobody.
	MaxDepth int
	// GuessLife is how long an own dispatch counts as cached without a word from
	// the server. Servers that publish no events live by it alone.
	UnconfirmedTTL time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{MaxBlocks: 1 << 16, MaxDepth: 128, UnconfirmedTTL: 2 * time.Minute}
}

// holders bounds the servers remembered for one block. A prefix that more
// servers hold is found on one of these; more would not make a better choice,
// since placing looks at a few candidates only.
const maxHolders = 4

// Index maps block hashes to the servers that hold them.
type Index[S, H comparable] struct {
	cfg     Config
	blocks  *simplelru.LRU[H, *entry[S]]
	servers map[S]*server[S]
}

// server is one row of the servers table.
type server[S comparable] struct {
	id  S
	seq uint64
	// epoch counts the losses of events: what was learnt one loss ago is
	// suspect, and what was learnt two ago or before a restart is void.
	epoch uint32
}

// entry is the holders of one block.
type entry[S comparable] struct {
	holders [maxHolders]holder[S]
}

// holder is one server that holds a block; free when server is nil.
type holder[S comparable] struct {
	server *server[S]
	epoch  uint32
	// guess marks an own dispatch that the server has not confirmed.
	unconfirmed bool
	seenAt      time.Time
}

// Match says that a server holds a prompt's first Blocks blocks.
type Match[S comparable] struct {
	Server S
	Blocks int
	// Sure is false for guesses and for what may have been evicted in a gap of
	// the events.
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

func (x *Index[S, H]) server(id S) *server[S] {
	s := x.servers[id]
	if s == nil {
		s = &server[S]{id: id}
		x.servers[id] = s
	}
	return s
}

// Changed takes in a server's word on its cache.
//
// Events come late and with gaps. After a gap, evictions may have been missed:
// what is known becomes suspect, and after a second gap void. A late event can
// only tell of evictions; what it adds may be gone again. A sequence that starts
// over is a restarted server with an empty cache.
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
	// The deepest first, so that the blocks that others build on are used last
	// and leave the index last.
	for i := len(added) - 1; i >= 0; i-- {
		x.addHolder(added[i], holder[S]{server: s, epoch: s.epoch, seenAt: now})
	}
}

// Dispatched takes in that a prompt goes to a server, which will have it cached
// shortly. Without this, a burst of requests with a new common prefix spreads
// over all servers before the first cache event is back.
func (x *Index[S, H]) RecordDispatch(id S, blocks []H, now time.Time) {
	s := x.server(id)
	blocks = blocks[:min(len(blocks), x.cfg.MaxDepth)]
	for i := len(blocks) - 1; i >= 0; i-- {
		x.addHolder(blocks[i], holder[S]{server: s, epoch: s.epoch, seenAt: now, unconfirmed: true})
	}
}

// Forget drops a server and all that is known of its cache.
func (x *Index[S, H]) Forget(id S) {
	if s := x.servers[id]; s != nil {
		s.epoch += 2
		delete(x.servers, id)
	}
}

// put records a holder: in its own place, a free one, or that of the oldest.
func (x *Index[S, H]) addHolder(h H, n holder[S]) {
	e, ok := x.blocks.Get(h)
	if !ok {
		e = &entry[S]{}
		x.blocks.Add(h, e)
	}
	oldest := 0
	for i := range e.holders {
		o := &e.holders[i]
		if o.server == n.server {
			// A guess makes a confirmed holder neither unsure nor surer.
			if n.unconfirmed && !o.unconfirmed && x.valid(*o, n.seenAt) {
				o.seenAt = n.seenAt
				return
			}
			*o = n
			return
		}
		if !x.valid(*o, n.seenAt) {
			o.seenAt = time.Time{}
		}
		if o.seenAt.Before(e.holders[oldest].seenAt) {
			oldest = i
		}
	}
	e.holders[oldest] = n
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

// valid reports whether a holder still counts.
func (x *Index[S, H]) valid(o holder[S], now time.Time) bool {
	if o.server == nil || o.server.epoch-o.epoch >= 2 {
		return false
	}
	return !o.unconfirmed || now.Sub(o.seenAt) <= x.cfg.UnconfirmedTTL
}

// Len is the number of blocks remembered.
func (x *Index[S, H]) Len() int { return x.blocks.Len() }

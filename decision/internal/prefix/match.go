package prefix

import (
	"sort"
	"time"
)

// extraDepths is how many shorter prefixes are searched for further servers once
// the deepest match is found. It bounds the cost of a decision; a much shorter
// prefix on a free server is worth about as much as none.
const extraDepths = 6

// Match appends to out the servers that hold the longest prefixes of a prompt,
// the deepest first, at most limit of them. It allocates only to grow out.
//
// The deepest known block is found by binary search: servers evict a block
// before those that it builds on, and so does the index, so the known blocks are
// a prefix of the prompt unless events were lost. If some were, the match found
// may be shorter than the longest, which only makes it a worse hint.
func (x *Index[S, H]) Match(blocks []H, limit int, now time.Time, out []Match[S]) []Match[S] {
	blocks = blocks[:min(len(blocks), x.cfg.MaxDepth)]
	depth := sort.Search(len(blocks), func(i int) bool { return !x.held(blocks[i], now) })
	start := len(out)
	for steps := 0; depth > 0 && steps <= extraDepths && len(out)-start < limit; steps++ {
		out = x.appendHolders(blocks[depth-1], depth, limit, now, start, out)
		depth--
	}
	return out
}

// held reports whether any server holds the block.
func (x *Index[S, H]) held(h H, now time.Time) bool {
	e, ok := x.blocks.Peek(h)
	if !ok {
		return false
	}
	for _, o := range e.holders {
		if x.valid(o, now) {
			return true
		}
	}
	return false
}

// appendHolders appends the block's holders that are not in out[start:] yet, up
// to limit.
func (x *Index[S, H]) appendHolders(h H, depth, limit int, now time.Time, start int, out []Match[S]) []Match[S] {
	e, ok := x.blocks.Get(h)
	if !ok {
		return out
	}
	for _, o := range e.holders {
		if !x.valid(o, now) || len(out)-start >= limit || containsServer(out[start:], o.server.id) {
			continue
		}
		out = append(out, Match[S]{
			Server:    o.server.id,
			Blocks:    depth,
			Confirmed: !o.unconfirmed && o.epoch == o.server.epoch,
		})
	}
	return out
}

func containsServer[S comparable](list []Match[S], id S) bool {
	for _, m := range list {
		if m.Server == id {
			return true
		}
	}
	return false
}

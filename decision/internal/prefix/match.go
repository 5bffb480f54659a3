package prefix

import (
	"sort"
	"time"
)

// extraSteps is how many shorter prefixes are looked at for further servers once
// the deepest match is found. It bounds the cost of a decision; a shallow match
// on a free server is worth about as much as none.
const extraDepths = 6

// Match appends to out the servers that hold the longest prefixes of a prompt,
// the deepest first, at most limit. It allocates only to grow out.
//
// The deepest known block is found by bisection: servers evict leaves before the
// blocks that they build on, and so does the index, so known blocks are a
// prefix of the prompt but for gaps in the events. A miss by such a gap gives a
// shorter match, which is a hint like any other.
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

// appendHolders adds the block's holders that out[start:] does not have yet.
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

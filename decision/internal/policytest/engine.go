package policytest

import (
	"time"

	"masticplank.example/decision"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// cacheBlocks bounds an engine's prefix cache: a quarter of all templates and
// what the running requests need.
const cacheBlocks = 600

// recordTime is how long a call of the plain service takes.
const recordTime = 40 * time.Millisecond

// run is one attempt at an engine.
type run struct {
	job     *job
	attempt decision.AttemptID
	version decision.VersionID
	origin  int
	// prefill is the prompt tokens left to compute, left the tokens (or, at a
	// plain service, the seconds) left to give.
	prefill float64
	left    float64
	first   bool
	failed  bool
}

// engine is one backend server.
type engine struct {
	decision.Server
	speed   speed
	slow    float64
	running []*run
	queued  []*run
	cache   *simplelru.LRU[decision.BlockHash, struct{}]
	seq     uint64
	added   []decision.BlockHash
	removed []decision.BlockHash
	// asked and hits count the blocks of prompts, and those found in the cache.
	asked, hits int
}

func newEngine(s decision.Server) *engine {
	e := &engine{Server: s, slow: 1}
	if s.Service == "" {
		e.speed = speeds[smallModel]
		if s.Versions[0] == large {
			e.speed = speeds[largeModel]
		}
	}
	cache, err := simplelru.NewLRU(cacheBlocks, func(h decision.BlockHash, _ struct{}) {
		e.removed = append(e.removed, h)
	})
	if err != nil {
		panic(err)
	}
	e.cache = cache
	return e
}

// start takes an attempt in; it waits in the engine's queue without a slot.
func (e *engine) start(r *run) { e.queued = append(e.queued, r) }

// cancel drops an attempt. It returns it if it was there.
func (e *engine) cancel(id decision.RequestID, attempt decision.AttemptID) *run {
	for _, list := range []*[]*run{&e.queued, &e.running} {
		for i, r := range *list {
			if r.job.ID == id && r.attempt == attempt {
				*list = append((*list)[:i], (*list)[i+1:]...)
				return r
			}
		}
	}
	return nil
}

// step runs the engine for dt. It calls onFirst for first tokens and onEnd for
// ends.
func (e *engine) step(dt time.Duration, onFirst, onEnd func(*engine, *run)) {
	for len(e.queued) > 0 && len(e.running) < e.Slots {
		r := e.queued[0]
		e.queued = e.queued[1:]
		e.admit(r)
		e.running = append(e.running, r)
	}
	time := dt.Seconds() / e.slow
	if e.Service != "" {
		e.serve(time, onFirst, onEnd)
		return
	}
	busy := e.prefillFor(time)
	pace := e.speed.token.Seconds() * (1 + crowding*float64(len(e.running)-1))
	// Prefill takes its time from the decoding of the others.
	gain := (time - busy) / pace
	kept := e.running[:0]
	for _, r := range e.running {
		if r.prefill > 0 {
			kept = append(kept, r)
			continue
		}
		if r.failed {
			onEnd(e, r)
			continue
		}
		r.left -= gain
		if !r.first {
			r.first = true
			onFirst(e, r)
		}
		if r.left <= 0 {
			onEnd(e, r)
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
}

// prefillFor computes prompts in order of arrival and returns the time used.
func (e *engine) prefillFor(time float64) float64 {
	left := time
	for _, r := range e.running {
		if r.prefill <= 0 {
			continue
		}
		need := r.prefill / e.speed.prefill
		if need > left {
			r.prefill -= left * e.speed.prefill
			return time
		}
		left -= need
		r.prefill = 0
		e.remember(r.job.Blocks)
	}
	return time - left
}

// serve runs the calls of a plain service side by side.
func (e *engine) serve(time float64, onFirst, onEnd func(*engine, *run)) {
	kept := e.running[:0]
	for _, r := range e.running {
		r.left -= time
		if r.left > 0 {
			kept = append(kept, r)
			continue
		}
		onFirst(e, r)
		onEnd(e, r)
	}
	e.running = kept
}

// admit sizes an attempt's work as it gets its slot: what the cache holds of its
// prompt need not be computed.
func (e *engine) admit(r *run) {
	if e.Service != "" {
		r.left = recordTime.Seconds()
		return
	}
	hit := 0
	for _, h := range r.job.Blocks {
		if _, ok := e.cache.Get(h); !ok {
			break
		}
		hit++
	}
	e.asked += len(r.job.Blocks)
	e.hits += hit
	r.prefill = float64(max(len(r.job.Blocks)-hit, 1) * blockTokens)
	r.left = float64(r.job.tokens)
}

// remember puts a prompt in the cache, its start as the last used.
func (e *engine) remember(blocks []decision.BlockHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if !e.cache.Contains(blocks[i]) {
			e.added = append(e.added, blocks[i])
		}
		e.cache.Add(blocks[i], struct{}{})
	}
}

// changes returns the cache event since the last one, and false for none.
func (e *engine) changes() (decision.CacheChanged, bool) {
	if len(e.added) == 0 && len(e.removed) == 0 {
		return decision.CacheChanged{}, false
	}
	e.seq++
	ev := decision.CacheChanged{Server: e.ID, Seq: e.seq, Added: e.added, Removed: e.removed}
	e.added, e.removed = nil, nil
	return ev, true
}

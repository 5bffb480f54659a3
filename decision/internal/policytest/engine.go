package policytest

import (
	"time"

	"masticplank.example/decision"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// cacheBlocks bounds an engine's prefix cache, in blocks: it holds about a quarter
// of the blocks of all templates and the blocks of the running requests.
const cacheBlocks = 600

// serviceCallTime is the time of a call of the plain service.
const serviceCallTime = 40 * time.Millisecond

// attempt is one attempt at an engine.
type attempt struct {
	job      *job
	id       decision.AttemptID
	version  decision.VersionID
	instance int
	// prefill is the number of prompt tokens left to compute, and remaining the
	// number of tokens left to generate or, at a plain service, the seconds left.
	prefill   float64
	remaining float64
	// started is true if the first token was generated.
	started bool
	// fails is true if the attempt ends with an error.
	fails bool
}

// engine is one backend server.
type engine struct {
	decision.Server
	speed      speed
	slowFactor float64
	running    []*attempt
	queued     []*attempt
	cache      *simplelru.LRU[decision.BlockHash, struct{}]
	// seq is the number of the last cache event; added and removed are the changes
	// of the cache since.
	seq     uint64
	added   []decision.BlockHash
	removed []decision.BlockHash
	// lookups counts the blocks of all prompts, hits those found in the cache.
	lookups, hits int
}

func newEngine(s decision.Server) *engine {
	e := &engine{Server: s, slowFactor: 1}
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
		// The library fails only for a size below 1.
		panic(err)
	}
	e.cache = cache
	return e
}

// enqueue adds an attempt to the engine's queue.
func (e *engine) enqueue(a *attempt) { e.queued = append(e.queued, a) }

// cancel removes an attempt and returns it, or nil if the engine does not have
// it.
func (e *engine) cancel(id decision.RequestID, attemptID decision.AttemptID) *attempt {
	for _, list := range []*[]*attempt{&e.queued, &e.running} {
		for i, a := range *list {
			if a.job.ID == id && a.id == attemptID {
				*list = append((*list)[:i], (*list)[i+1:]...)
				return a
			}
		}
	}
	return nil
}

// step runs the engine for dt. It calls onFirst for each first token and onEnd
// for each attempt that ends.
func (e *engine) step(dt time.Duration, onFirst, onEnd func(*engine, *attempt)) {
	for len(e.queued) > 0 && len(e.running) < e.Slots {
		a := e.queued[0]
		e.queued = e.queued[1:]
		e.takeSlot(a)
		e.running = append(e.running, a)
	}
	seconds := dt.Seconds() / e.slowFactor
	if e.Service != "" {
		e.runServiceCalls(seconds, onFirst, onEnd)
		return
	}
	prefillTime := e.runPrefill(seconds)
	tokenTime := e.speed.tokenTime.Seconds() * (1 + batchSlowdown*float64(len(e.running)-1))
	// Time spent on prefill is not available for decoding.
	tokens := (seconds - prefillTime) / tokenTime
	kept := e.running[:0]
	for _, a := range e.running {
		if a.prefill > 0 {
			kept = append(kept, a)
			continue
		}
		if a.fails {
			onEnd(e, a)
			continue
		}
		a.remaining -= tokens
		if !a.started {
			a.started = true
			onFirst(e, a)
		}
		if a.remaining <= 0 {
			onEnd(e, a)
			continue
		}
		kept = append(kept, a)
	}
	e.running = kept
}

// runPrefill computes prompts in order of arrival and returns the seconds used.
func (e *engine) runPrefill(seconds float64) float64 {
	left := seconds
	for _, a := range e.running {
		if a.prefill <= 0 {
			continue
		}
		needed := a.prefill / e.speed.prefill
		if needed > left {
			a.prefill -= left * e.speed.prefill
			return seconds
		}
		left -= needed
		a.prefill = 0
		e.cachePrompt(a.job.Blocks)
	}
	return seconds - left
}

// runServiceCalls runs the calls of a plain service in parallel.
func (e *engine) runServiceCalls(seconds float64, onFirst, onEnd func(*engine, *attempt)) {
	kept := e.running[:0]
	for _, a := range e.running {
		a.remaining -= seconds
		if a.remaining > 0 {
			kept = append(kept, a)
			continue
		}
		onFirst(e, a)
		onEnd(e, a)
	}
	e.running = kept
}

// takeSlot sets the work of an attempt that gets a slot: the cached part of its
// prompt need not be computed.
func (e *engine) takeSlot(a *attempt) {
	if e.Service != "" {
		a.remaining = serviceCallTime.Seconds()
		return
	}
	hit := 0
	for _, h := range a.job.Blocks {
		if _, ok := e.cache.Get(h); !ok {
			break
		}
		hit++
	}
	e.lookups += len(a.job.Blocks)
	e.hits += hit
	a.prefill = float64(max(len(a.job.Blocks)-hit, 1) * blockTokens)
	a.remaining = float64(a.job.tokens)
}

// cachePrompt adds a prompt to the cache, with its first block as the most
// recently used.
func (e *engine) cachePrompt(blocks []decision.BlockHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if !e.cache.Contains(blocks[i]) {
			e.added = append(e.added, blocks[i])
		}
		e.cache.Add(blocks[i], struct{}{})
	}
}

// cacheEvent returns the changes of the cache since the last event, and false
// if there are none.
func (e *engine) cacheEvent() (decision.CacheChanged, bool) {
	if len(e.added) == 0 && len(e.removed) == 0 {
		return decision.CacheChanged{}, false
	}
	e.seq++
	ev := decision.CacheChanged{Server: e.ID, Seq: e.seq, Added: e.added, Removed: e.removed}
	e.added, e.removed = nil, nil
	return ev, true
}

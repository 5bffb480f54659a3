package passthrough

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// recentIDTTL is how long the id of a request that may have run is remembered: longer than any caller waits for a
	// response.
	recentIDTTL = time.Minute
	// maxRecentIDs bounds the ids that are remembered.
	maxRecentIDs = 8192
)

// requestKey identifies a request of a caller: ids of callers with different keys may be equal.
type requestKey struct{ key, id string }

// recentIDs are the ids of requests that must run at most once and may have run here. It is safe for concurrent use.
//
// Load: callers that repeat a request with its id after a timeout. Harm prevented: the request runs twice, or is refused
// as one that has not run although its first try has.
type recentIDs struct {
	mu sync.Mutex
	// ended are when requests ended, inProgress those that have not.
	ended      *simplelru.LRU[requestKey, time.Time]
	inProgress map[requestKey]bool
}

func newRecentIDs() *recentIDs {
	lru, err := simplelru.NewLRU[requestKey, time.Time](maxRecentIDs, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &recentIDs{ended: lru, inProgress: map[requestKey]bool{}}
}

// newRequestKey returns the key of a request with the caller's API key and id.
func newRequestKey(key, id string) requestKey { return requestKey{shortName(key), shortName(id)} }

// begin records that a request begins, and reports false if one with its id is in progress or may have run.
func (r *recentIDs) begin(k requestKey, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, known := r.ended.Get(k); r.inProgress[k] || known && now.Sub(at) < recentIDTTL {
		return false
	}
	r.inProgress[k] = true
	return true
}

// end records that the request has ended.
func (r *recentIDs) end(k requestKey, mayHaveRun bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inProgress, k)
	if mayHaveRun {
		r.ended.Add(k, now)
	}
}

package passthrough

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// hotPrefixMemory is the time that the load of a prefix looks back on: an instance gets a request of a prefix
	// that has a quarter of a route's requests every two seconds.
	hotPrefixMemory = 10 * time.Second
	// hotPrefixUtilization is the part of a server's time that the prompts of one prefix may take: the rest is for
	// other prefixes and for generation, which waits meanwhile.
	hotPrefixUtilization = 0.35
	// maxPrefixServers bounds the servers of one prefix: each repeats its prefill once.
	maxPrefixServers = 16
	// maxPrefixes bounds the prefixes whose load is known.
	maxPrefixes = 256
)

// hotPrefixes measures the load of prefixes at this instance.
type hotPrefixes struct {
	loads *simplelru.LRU[uint64, *prefixLoad]
}

// prefixLoad is the prefill time in seconds of a prefix's requests; older ones weigh less.
type prefixLoad struct {
	seconds float64
	at      time.Time
}

// add adds a request's prefill time to its prefix, and returns how many servers the prefix needed before that, if each of
// the given number of instances has as much load of it as this one.
//
// Load: a prefix with a quarter of a route's requests. Harm prevented: all instances send them to one server until they
// learn of its load, and then all to the next.
func (h *hotPrefixes) add(now time.Time, prefix uint64, seconds float64, instances int) int {
	if h.loads == nil {
		h.loads = newLRU[uint64, *prefixLoad](maxPrefixes)
	}
	l, ok := h.loads.Get(prefix)
	if !ok {
		h.loads.Add(prefix, &prefixLoad{seconds: seconds, at: now})
		return 1
	}
	load := l.seconds * math.Exp(-float64(now.Sub(l.at))/float64(hotPrefixMemory))
	l.seconds, l.at = load+seconds, now
	busy := load / hotPrefixMemory.Seconds() * float64(max(instances, 1))
	return min(max(int(math.Ceil(busy/hotPrefixUtilization)), 1), maxPrefixServers)
}

// firstServers are the servers with the highest scores, best first.
type firstServers struct {
	index [maxPrefixServers]int
	score [maxPrefixServers]float64
	len   int
}

// add adds a server, if it is among the first count.
func (f *firstServers) add(index int, score float64, count int) {
	if f.len == count && score <= f.score[count-1] {
		return
	}
	f.len = min(f.len+1, count)
	at := f.len - 1
	for ; at > 0 && f.score[at-1] < score; at-- {
		f.index[at], f.score[at] = f.index[at-1], f.score[at-1]
	}
	f.index[at], f.score[at] = index, score
}

package connlimit

import (
	"container/list"
	"sync"
	"time"
)

// phase is what a connection is used for. A connection with a request in progress gives way to no other.
type phase uint8

const (
	// phaseReading: its first request, or the head of its next one, is incomplete.
	phaseReading phase = iota
	// phaseIdle: a request has ended, and nothing was read since.
	phaseIdle
	// phaseBody: the body of a request is read, which is not passed on yet.
	phaseBody
	// phaseRunning: a request is in progress.
	phaseRunning
	phases
)

const (
	// patience is how long a head or a body may be incomplete before its connection gives way to all others. Heads of ordinary
	// clients arrive within a few round trips.
	patience = 250 * time.Millisecond
	// leastAge is how long a connection is kept at least once it has been accepted or its next head has begun: the whole head has
	// come by then in most cases, and its goroutine must get the time to read it.
	leastAge = 20 * time.Millisecond
	// One in closingShare of the connections, minClosing at least, may have given way without being closed yet.
	closingShare = 8
	minClosing   = 4
	// connBytes is the memory of an open connection: two goroutines' stacks and the buffers of net/http.
	connBytes = 16 << 10
)

// member is a connection in a pool.
type member struct {
	phase phase
	// since is when the phase began.
	since time.Time
	// bytes is what was charged.
	bytes int64
	// element is the member's place among those of its phase; nil once it has been removed. evicted is true from then on until
	// its connection is closed.
	element *list.Element
	evicted bool
	// evict closes the connection; it does not block.
	evict func()
}

// pool decides which connections of a listener stay open. It is safe for concurrent use.
//
// If there is no room, these give way, in order:
//  1. those that take longest over a head, or have sent none, longer than patience,
//  2. those that are idle for longest, as their clients can open another one,
//  3. those that take longest over a body, longer than patience,
//  4. those that take longest over a head, longer than leastAge.
//
// The last rule replaces clients that come faster than heads can become too old: a client that sends its request at once has
// been read by then.
type pool struct {
	bounds Bounds

	mu sync.Mutex
	// byPhase are the members of each phase, those that are in it for longest first.
	byPhase [phases]*list.List
	open    int
	bytes   int64
	// closing is how many have given way and are not closed yet. While it is too large, no other one gives way: each has a
	// goroutine that must run once more, and clients may come faster than these do.
	closing int
	// evicted and rejected count connections that gave way, and those that were closed as none other could.
	evicted, rejected int64
}

func newPool(b Bounds) *pool {
	p := &pool{bounds: b}
	for i := range p.byPhase {
		p.byPhase[i] = list.New()
	}
	return p
}

// add admits a connection, for which others may give way. It reports false if there is no room.
func (p *pool) add(m *member, now time.Time) bool {
	p.mu.Lock()
	m.phase, m.since = phaseReading, now
	m.element = p.byPhase[phaseReading].PushBack(m)
	p.open++
	victims, ok := p.reserve(m, connBytes, now, p.victim)
	if !ok {
		p.drop(m)
		p.rejected++
	}
	p.mu.Unlock()
	evict(victims)
	return ok
}

// charge adds bytes to a connection's use, for which others may give way. It reports false if there is no room, or if the
// connection has given way itself.
func (p *pool) charge(m *member, n int64, now time.Time) bool {
	return p.chargeFor(m, n, now, p.victim)
}

// chargeIfRoom is charge for what is of less use than an idle connection, or can wait: only connections that take too long over
// a head or a message give way.
func (p *pool) chargeIfRoom(m *member, n int64, now time.Time) bool {
	return p.chargeFor(m, n, now, p.slowest)
}

func (p *pool) chargeFor(m *member, n int64, now time.Time, victim func(time.Time) *member) bool {
	p.mu.Lock()
	victims, ok := p.reserve(m, n, now, victim)
	p.mu.Unlock()
	evict(victims)
	return ok
}

// refund takes bytes off a connection's use.
func (p *pool) refund(m *member, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.element == nil {
		return
	}
	n = min(n, m.bytes)
	m.bytes -= n
	p.bytes -= n
}

// enter changes a connection's phase.
func (p *pool) enter(m *member, to phase, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.element == nil {
		return
	}
	p.byPhase[m.phase].Remove(m.element)
	m.phase, m.since = to, now
	m.element = p.byPhase[to].PushBack(m)
}

// markExpendable lets the connection give way before all others.
func (p *pool) markExpendable(m *member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.element == nil {
		return
	}
	p.byPhase[m.phase].Remove(m.element)
	m.phase, m.since = phaseReading, time.Time{}
	m.element = p.byPhase[phaseReading].PushFront(m)
}

// remove forgets a connection that is closed.
func (p *pool) remove(m *member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(m)
	if m.evicted {
		m.evicted = false
		p.closing--
	}
}

// drop takes a member out of the sums.
func (p *pool) drop(m *member) {
	if m.element == nil {
		return
	}
	p.byPhase[m.phase].Remove(m.element)
	m.element = nil
	p.open--
	p.bytes -= m.bytes
	m.bytes = 0
}

// reserve charges n bytes to a member. It returns the connections that give way for it, which victim picks, and false if
// there is no room.
func (p *pool) reserve(m *member, n int64, now time.Time, victim func(time.Time) *member) ([]*member, bool) {
	if m.element == nil {
		return nil, false
	}
	var victims []*member
	for p.bounds.Conns > 0 && p.open > p.bounds.Conns || p.bounds.Bytes > 0 && p.bytes+n > p.bounds.Bytes {
		v := victim(now)
		if v == nil || v == m || p.closing >= p.maxClosing() {
			return victims, false
		}
		p.drop(v)
		v.evicted = true
		p.closing++
		p.evicted++
		victims = append(victims, v)
	}
	m.bytes += n
	p.bytes += n
	return victims, true
}

// maxClosing returns how many connections may have given way without being closed yet.
func (p *pool) maxClosing() int { return max(p.bounds.Conns/closingShare, minClosing) }

// victim returns the connection that gives way next, nil for none.
func (p *pool) victim(now time.Time) *member {
	if slowest := p.slowest(now); slowest != nil {
		return slowest
	}
	reading, idle, body := p.first(phaseReading), p.first(phaseIdle), p.first(phaseBody)
	switch {
	case idle != nil:
		return idle
	case body != nil && now.Sub(body.since) >= patience:
		return body
	case reading != nil && now.Sub(reading.since) >= leastAge:
		return reading
	}
	return nil
}

// slowest returns the connection that has taken longest over a head, nil if none has taken longer than patience.
func (p *pool) slowest(now time.Time) *member {
	if m := p.first(phaseReading); m != nil && now.Sub(m.since) >= patience {
		return m
	}
	return nil
}

func (p *pool) first(in phase) *member {
	if e := p.byPhase[in].Front(); e != nil {
		return e.Value.(*member)
	}
	return nil
}

// Usage is what the connections of a listener use.
type Usage struct {
	Conns int
	Bytes int64
	// Evicted and Rejected count the connections that gave way, and those that were closed as none other could.
	Evicted, Rejected int64
}

func (p *pool) usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Conns: p.open, Bytes: p.bytes, Evicted: p.evicted, Rejected: p.rejected}
}

func evict(victims []*member) {
	for _, v := range victims {
		v.evict()
	}
}

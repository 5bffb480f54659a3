package connlimit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testPool is a pool with a clock and the names of the members that gave way.
type testPool struct {
	*pool
	now   time.Time
	names []string
}

func newTestPool(b Bounds) *testPool {
	return &testPool{pool: newPool(b), now: time.Unix(1_000_000, 0)}
}

func (p *testPool) advance(d time.Duration) { p.now = p.now.Add(d) }

// newMember returns a member that is closed at once when it gives way.
func (p *testPool) newMember(name string) *member {
	m := &member{}
	m.evict = func() {
		p.names = append(p.names, name)
		p.remove(m)
	}
	return m
}

// accept adds a member in a phase; nil if it is rejected.
func (p *testPool) accept(name string, in phase) *member {
	m := p.newMember(name)
	if !p.add(m, p.now) {
		return nil
	}
	if in != phaseReading {
		p.enter(m, in, p.now)
	}
	return m
}

func (p *testPool) expectEvicted(t *testing.T, want ...string) {
	t.Helper()
	if fmt.Sprint(p.names) != fmt.Sprint(want) {
		t.Errorf("%v gave way, want %v", p.names, want)
	}
	p.names = nil
}

func TestSlowestHeadGivesWayFirst(t *testing.T) {
	p := newTestPool(Bounds{Conns: 4})
	p.accept("idle", phaseIdle)
	p.accept("old", phaseReading)
	p.advance(leastAge)
	p.accept("less old", phaseReading)
	p.accept("running", phaseRunning)
	p.advance(patience)
	p.accept("new", phaseReading)
	p.expectEvicted(t, "old")
	p.accept("newer", phaseReading)
	p.expectEvicted(t, "less old")
	p.accept("newest", phaseReading)
	p.expectEvicted(t, "idle")
}

func TestIdleConnectionGivesWayBeforeYoungHead(t *testing.T) {
	p := newTestPool(Bounds{Conns: 2})
	p.accept("young", phaseReading)
	p.accept("idle", phaseIdle)
	p.advance(leastAge)
	p.accept("new", phaseReading)
	p.expectEvicted(t, "idle")
	p.advance(leastAge)
	p.accept("newer", phaseReading)
	p.expectEvicted(t, "young")
}

func TestSlowBodyGivesWayBeforeYoungHead(t *testing.T) {
	p := newTestPool(Bounds{Conns: 2})
	p.accept("body", phaseBody)
	p.advance(patience)
	p.accept("young", phaseReading)
	p.advance(leastAge)
	p.accept("new", phaseReading)
	p.expectEvicted(t, "body")
}

func TestRequestInProgressNeverGivesWay(t *testing.T) {
	p := newTestPool(Bounds{Conns: 2})
	p.accept("a", phaseRunning)
	p.accept("b", phaseRunning)
	p.advance(time.Hour)
	if p.accept("new", phaseReading) != nil {
		t.Error("a connection was accepted beyond the bound")
	}
	p.expectEvicted(t)
}

// A client that has sent its request at once is served although others come without end.
func TestNewConnectionHasTimeForItsRequest(t *testing.T) {
	p := newTestPool(Bounds{Conns: 4})
	ordinary := p.accept("ordinary", phaseReading)
	for n := range 100 {
		p.accept(fmt.Sprint(n), phaseReading)
		p.advance(leastAge / 200)
	}
	p.enter(ordinary, phaseRunning, p.now)
	for n := range 100 {
		p.advance(leastAge)
		p.accept(fmt.Sprint(n), phaseReading)
	}
	if ordinary.element == nil {
		t.Error("the connection gave way")
	}
}

func TestHeadWithoutRoomGivesWayItself(t *testing.T) {
	p := newTestPool(Bounds{Bytes: 4 * connBytes})
	slow := p.accept("slow", phaseReading)
	p.advance(patience)
	other := p.accept("other", phaseReading)
	if p.charge(slow, 3*connBytes, p.now) {
		t.Error("there was room for a head that takes longer than all others")
	}
	if !p.charge(other, connBytes, p.now) {
		t.Error("there was no room for a head within the bound")
	}
	if !p.charge(other, 2*connBytes, p.now) || slow.element != nil {
		t.Error("the slow head did not give way")
	}
	p.expectEvicted(t, "slow")
}

func TestRefusedConnectionGivesWayFirst(t *testing.T) {
	p := newTestPool(Bounds{Conns: 2})
	p.accept("old", phaseReading)
	p.advance(patience)
	p.markExpendable(p.accept("refused", phaseReading))
	p.accept("new", phaseReading)
	p.expectEvicted(t, "refused")
}

// Connections that gave way count until they are closed, as their goroutines still exist.
func TestConnectionsThatCloseSlowlyAreBounded(t *testing.T) {
	p := newTestPool(Bounds{Conns: 100})
	var all []*member
	for range 1000 {
		m := &member{evict: func() {}}
		if p.add(m, p.now) {
			all = append(all, m)
		}
		p.advance(patience)
	}
	if most := 100 + p.maxClosing(); len(all) > most {
		t.Errorf("%d connections exist, want at most %d", len(all), most)
	}
	for _, m := range all {
		p.remove(m)
	}
	if u := p.usage(); u.Conns != 0 || u.Bytes != 0 || p.closing != 0 {
		t.Errorf("%+v and %d closing are left, want none", u, p.closing)
	}
}

// For any order of events the bounds hold, the sums are those of the members, and no request in progress gives way.
func TestPoolHoldsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool(Bounds{Conns: rapid.IntRange(1, 8).Draw(t, "conns"), Bytes: int64(rapid.IntRange(1, 12).Draw(t, "bytes")) * connBytes})
		var all []*member
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			p.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if len(all) == 0 || rapid.IntRange(0, 2).Draw(t, "accept") == 0 {
				if m := p.accept("", phaseReading); m != nil {
					all = append(all, m)
				}
			} else {
				act(t, p, all[rapid.IntRange(0, len(all)-1).Draw(t, "member")])
			}
			checkPool(t, p, all)
		}
	})
}

// act lets something happen to a member.
func act(t *rapid.T, p *testPool, m *member) {
	switch rapid.IntRange(0, 4).Draw(t, "act") {
	case 0:
		p.enter(m, phase(rapid.IntRange(0, int(phases)-1).Draw(t, "phase")), p.now)
	case 1:
		p.charge(m, int64(rapid.IntRange(0, 3*connBytes).Draw(t, "charge")), p.now)
	case 2:
		p.refund(m, int64(rapid.IntRange(0, 2*connBytes).Draw(t, "refund")))
	case 3:
		p.remove(m)
	case 4:
		p.markExpendable(m)
	}
}

func checkPool(t *rapid.T, p *testPool, all []*member) {
	open, bytes := 0, int64(0)
	for _, m := range all {
		if m.element != nil {
			open++
			bytes += m.bytes
		}
	}
	if open != p.open || bytes != p.bytes {
		t.Fatalf("%d members with %d bytes, want %d with %d", p.open, p.bytes, open, bytes)
	}
	if p.open > p.bounds.Conns || p.bytes > p.bounds.Bytes {
		t.Fatalf("%d members with %d bytes, bounds are %+v", p.open, p.bytes, p.bounds)
	}
}

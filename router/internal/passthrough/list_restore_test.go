package passthrough

import (
	"testing"
	"time"
)

// restoredList is a list whose store came back with its first records only, with one that stays,
// one that left and one that is leaving since the copy, and one that started since.
func restoredList(t *testing.T) (*parts, *topicReader, *fakeLog, *fakeClock) {
	t.Helper()
	clock, log := newFakeClock(), &fakeLog{era: 1}
	p := newParts("a", clock, &fakeLog{}, &fakeLog{})
	tl := p.servers.reader(log, clock)
	log.put("stays", "server shop v1 ready")
	log.put("left", "server shop v1 ready")
	log.put("leaves", "server shop v1 ready")
	read(t, tl)
	log.put("left", "")
	log.put("leaves", "server shop v1 draining")
	log.put("started", "server shop v1 ready")
	read(t, tl)
	log.restore(3)
	read(t, tl)
	return p, tl, log, clock
}

func TestServersThatACopyLacksStayForAWhile(t *testing.T) {
	p, tl, log, clock := restoredList(t)
	if !p.servers.has("started") || !p.servers.has("stays") {
		t.Fatalf("entries %v", p.servers.entries)
	}
	log.put("started", "server shop v1 ready")
	clock.advance(lapseGrace)
	if err := tl.readOnce(t.Context()); err != nil || !p.servers.has("started") {
		t.Errorf("%v; a server that wrote again is gone", err)
	}
	p, tl, _, clock = restoredList(t)
	clock.advance(lapseGrace)
	if err := tl.readOnce(t.Context()); err != nil || p.servers.has("started") {
		t.Errorf("%v; a server that did not write again is still there", err)
	}
}

func TestServersThatLeftDoNotComeBackWithACopy(t *testing.T) {
	p, tl, log, clock := restoredList(t)
	if p.servers.has("left") {
		t.Fatal("a server that had left is back")
	}
	if s := p.servers.entries["leaves"]; !s.Draining {
		t.Error("a server that is leaving is ready again")
	}
	log.put("left", "") // its silence was noticed
	clock.advance(unconfirmedDelay)
	if err := tl.readOnce(t.Context()); err != nil || p.servers.has("left") {
		t.Errorf("%v; it is back after all", err)
	}
}

// TestServerThatWritesAgainIsBelieved holds for one that was taken for gone and lives, also where
// its heartbeats are not passed on by the instance that reads the store.
func TestServerThatWritesAgainIsBelieved(t *testing.T) {
	p, tl, log, _ := restoredList(t)
	log.put("left", "server shop v1 ready")
	if err := tl.readOnce(t.Context()); err != nil || !p.servers.has("left") {
		t.Errorf("%v; a server that wrote again is missing", err)
	}
	p, tl, _, clock := restoredList(t)
	clock.advance(unconfirmedDelay - time.Millisecond)
	if err := tl.readOnce(t.Context()); err != nil || p.servers.has("left") {
		t.Errorf("%v; believed too soon", err)
	}
	clock.advance(time.Millisecond)
	if err := tl.readOnce(t.Context()); err != nil || !p.servers.has("left") {
		t.Errorf("%v; an entry that still stands is not believed", err)
	}
}

// TestDoubtEndsWithItsEntry holds that an entry which is not used yet, and is missing after a
// second restore, is not believed later.
func TestDoubtEndsWithItsEntry(t *testing.T) {
	p, tl, log, clock := restoredList(t)
	log.restore(0)
	for range 2 {
		read(t, tl)
		clock.advance(unconfirmedDelay)
	}
	if p.servers.has("left") {
		t.Error("a server that had left is back")
	}
}

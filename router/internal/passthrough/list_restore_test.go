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
	reader := p.servers.reader(log, clock)
	log.add("stays", "server shop v1 ready")
	log.add("left", "server shop v1 ready")
	log.add("leaves", "server shop v1 ready")
	read(t, reader)
	log.add("left", "")
	log.add("leaves", "server shop v1 draining")
	log.add("started", "server shop v1 ready")
	read(t, reader)
	log.restore(3)
	read(t, reader)
	return p, reader, log, clock
}

func TestServersThatACopyLacksStayForAWhile(t *testing.T) {
	p, reader, log, clock := restoredList(t)
	if !p.servers.has("started") || !p.servers.has("stays") {
		t.Fatalf("entries %v", p.servers.entries)
	}
	log.add("started", "server shop v1 ready")
	clock.advance(lapseGrace)
	if err := reader.readOnce(t.Context()); err != nil || !p.servers.has("started") {
		t.Errorf("%v; a server that wrote again is gone", err)
	}
	p, reader, _, clock = restoredList(t)
	clock.advance(lapseGrace)
	if err := reader.readOnce(t.Context()); err != nil || p.servers.has("started") {
		t.Errorf("%v; a server that did not write again is still there", err)
	}
}

func TestServersThatLeftDoNotComeBackWithACopy(t *testing.T) {
	p, reader, log, clock := restoredList(t)
	if p.servers.has("left") {
		t.Fatal("a server that had left is back")
	}
	if s := p.servers.entries["leaves"]; !s.Leaving {
		t.Error("a server that is leaving is ready again")
	}
	log.add("left", "") // its silence was noticed
	clock.advance(unconfirmedDelay)
	if err := reader.readOnce(t.Context()); err != nil || p.servers.has("left") {
		t.Errorf("%v; it is back after all", err)
	}
}

// TestServerThatWritesAgainIsBelieved holds for one that was taken for gone and lives, also where
// its heartbeats are not passed on by the instance that reads the store.
func TestServerThatWritesAgainIsBelieved(t *testing.T) {
	p, reader, log, _ := restoredList(t)
	log.add("left", "server shop v1 ready")
	if err := reader.readOnce(t.Context()); err != nil || !p.servers.has("left") {
		t.Errorf("%v; a server that wrote again is missing", err)
	}
	p, reader, _, clock := restoredList(t)
	clock.advance(unconfirmedDelay - time.Millisecond)
	if err := reader.readOnce(t.Context()); err != nil || p.servers.has("left") {
		t.Errorf("%v; believed too soon", err)
	}
	clock.advance(time.Millisecond)
	if err := reader.readOnce(t.Context()); err != nil || !p.servers.has("left") {
		t.Errorf("%v; an entry that still stands is not believed", err)
	}
}

// TestDoubtEndsWithItsEntry holds that an entry which is not used yet, and is missing after a
// second restore, is not believed later.
func TestUnconfirmedEntryIsDroppedAfterASecondRestore(t *testing.T) {
	p, reader, log, clock := restoredList(t)
	log.restore(0)
	for range 2 {
		read(t, reader)
		clock.advance(unconfirmedDelay)
	}
	if p.servers.has("left") {
		t.Error("a server that had left is back")
	}
}

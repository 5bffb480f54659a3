package passthrough

import (
	"testing"
	"time"
)

// restoredList returns an instance whose store was restored without the last records: after the backup
// was taken, one server left, one began to leave and one started. One has not changed.
func restoredList(t *testing.T) (*testInstance, *topicReader, *fakeLog, *fakeClock) {
	t.Helper()
	clock, log := newFakeClock(), &fakeLog{era: 1}
	p := newTestInstance("a", clock, &fakeLog{}, &fakeLog{})
	reader := p.servers.reader(log, clock)
	log.add("stays", "server shop v1 ready")
	log.add("left", "server shop v1 ready")
	log.add("leaves", "server shop v1 ready")
	mustRead(t, reader)
	log.add("left", "")
	log.add("leaves", "server shop v1 draining")
	log.add("started", "server shop v1 ready")
	mustRead(t, reader)
	log.restore(3)
	mustRead(t, reader)
	return p, reader, log, clock
}

// TestServersMissingAfterRestoreAreKept guards against removing a server that started after the backup
// was taken: its entry is kept for lapseGrace, within which a live server writes again.
func TestServersMissingAfterRestoreAreKept(t *testing.T) {
	p, reader, log, clock := restoredList(t)
	if !p.servers.has("started") || !p.servers.has("stays") {
		t.Fatalf("entries %v, want started and stays among them", p.servers.entries)
	}
	log.add("started", "server shop v1 ready")
	clock.advance(lapseGrace)
	if err := reader.readOnce(t.Context()); err != nil || !p.servers.has("started") {
		t.Errorf("error %v; a server that wrote again is gone", err)
	}
	p, reader, _, clock = restoredList(t)
	clock.advance(lapseGrace)
	if err := reader.readOnce(t.Context()); err != nil || p.servers.has("started") {
		t.Errorf("error %v; a server that did not write again is still listed", err)
	}
}

// TestServersThatLeftStayGoneAfterRestore guards against requests to a server that left after the
// backup was taken, whose address another server may use by now.
func TestServersThatLeftStayGoneAfterRestore(t *testing.T) {
	p, reader, log, clock := restoredList(t)
	if p.servers.has("left") {
		t.Fatal("a server that had left is back")
	}
	if s := p.servers.entries["leaves"]; !s.Leaving {
		t.Error("a server that is leaving is ready again")
	}
	log.add("left", "") // the entry is removed after missed heartbeats
	clock.advance(unconfirmedDelay)
	if err := reader.readOnce(t.Context()); err != nil || p.servers.has("left") {
		t.Errorf("error %v; a server that had left is back after its entry was removed", err)
	}
}

// TestServerThatWritesAgainIsUsed checks that a live server that was taken for gone is used once it
// writes again, and after unconfirmedDelay if the collector does not pass on its heartbeats.
func TestServerThatWritesAgainIsUsed(t *testing.T) {
	p, reader, log, _ := restoredList(t)
	log.add("left", "server shop v1 ready")
	if err := reader.readOnce(t.Context()); err != nil || !p.servers.has("left") {
		t.Errorf("error %v; a server that wrote again is missing", err)
	}
	p, reader, _, clock := restoredList(t)
	clock.advance(unconfirmedDelay - time.Millisecond)
	if err := reader.readOnce(t.Context()); err != nil || p.servers.has("left") {
		t.Errorf("error %v; an unconfirmed entry is used before unconfirmedDelay", err)
	}
	clock.advance(time.Millisecond)
	if err := reader.readOnce(t.Context()); err != nil || !p.servers.has("left") {
		t.Errorf("error %v; an entry that still exists is not used after unconfirmedDelay", err)
	}
}

// TestUnconfirmedEntryIsDroppedAfterASecondRestore checks that an unconfirmed entry that is missing
// after a second restore is not used later.
func TestUnconfirmedEntryIsDroppedAfterASecondRestore(t *testing.T) {
	p, reader, log, clock := restoredList(t)
	log.restore(0)
	for range 2 {
		mustRead(t, reader)
		clock.advance(unconfirmedDelay)
	}
	if p.servers.has("left") {
		t.Error("a server that had left is back")
	}
}

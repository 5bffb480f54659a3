package passthrough

import (
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
)

func entry(id, value string) keyedlog.Record { return keyedlog.Record{Key: id, Value: []byte(value)} }

func (l *serverList) has(id string) bool { _, ok := l.entries[id]; return ok }

func TestEntryThatCannotBeReadNamesNoServer(t *testing.T) {
	p := newParts("a", newFakeClock(), &fakeLog{}, &fakeLog{})
	p.servers.apply(entry("one", "server shop v1 ready"))
	p.servers.apply(entry("two", "???"))
	p.servers.apply(entry("one", "???"))
	if p.servers.has("one") || p.servers.has("two") {
		t.Errorf("entries %v", p.servers.entries)
	}
	p.servers.apply(entry("one", "server shop v1 ready"))
	if !p.servers.has("one") {
		t.Error("an entry that can be read again is not taken")
	}
}

func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	p := newParts("a", newFakeClock(), &fakeLog{}, &fakeLog{})
	p.servers.apply(entry("one", "server shop v1 ready"))
	p.servers.apply(entry("one", ""))
	if p.servers.has("one") {
		t.Error("still there")
	}
}

func TestEntriesThatLapsedInAnOutageAreBelievedForAWhile(t *testing.T) {
	clock, log := newFakeClock(), &fakeLog{}
	p := newParts("a", clock, &fakeLog{}, &fakeLog{})
	reader := p.servers.reader(log, clock)
	log.add("one", "server shop v1 ready")
	log.add("two", "server shop v1 ready")
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	log.readErrs = []error{keyedlog.ErrNotDone}
	reader.noteOutage(t.Context(), reader.readOnce(t.Context()))
	clock.advance(4 * time.Second)
	log.add("one", "") // both lapsed while the store was away
	log.add("two", "")
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !p.servers.has("one") || !p.servers.has("two") {
		t.Fatalf("entries that may have lapsed are gone at once: %v", p.servers.entries)
	}
	log.add("one", "server shop v1 ready")
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	clock.advance(2 * time.Second)
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !p.servers.has("one") || p.servers.has("two") {
		t.Errorf("want the one that came back alone: %v", p.servers.entries)
	}
}

// TestListIsReadOftenEnough bounds the time between two reads by what is left of the time for
// which a leaving server may get requests: by a collector it is read twice.
func TestListIsReadOftenEnough(t *testing.T) {
	for _, drain := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 10 * time.Second} {
		p := newParts("a", newFakeClock(), &fakeLog{}, &fakeLog{})
		p.servers.drain = drain
		shared := p.servers.readInterval()
		p.servers.readsAlone = func() bool { return true }
		alone := p.servers.readInterval()
		if 2*shared > drain*3/4 {
			t.Errorf("drain %v: a word that goes by a collector may be %v old", drain, 2*shared)
		}
		if 2*alone > drain*3/4 { // one read may fail
			t.Errorf("drain %v: with one failed read the word is %v old", drain, 2*alone)
		}
	}
}

// TestFollowersHearOfChangesAtOnce holds that an instance that reads the list from another one
// waits there for changes, and one that reads the store does not: each heartbeat is one there.
func TestFollowersHearOfChangesAtOnce(t *testing.T) {
	p := newParts("a", newFakeClock(), &fakeLog{}, &fakeLog{})
	if p.servers.wait() != 0 || p.servers.pause() != p.servers.readInterval() {
		t.Errorf("by the store: waits %v, pauses %v", p.servers.wait(), p.servers.pause())
	}
	p.servers.readsFromPeer = func() bool { return true }
	if p.servers.wait() <= 0 || p.servers.pause() >= p.servers.readInterval()/4 {
		t.Errorf("by another instance: waits %v, pauses %v", p.servers.wait(), p.servers.pause())
	}
}

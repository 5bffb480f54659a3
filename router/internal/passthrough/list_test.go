package passthrough

import (
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
)

func entry(id, value string) keyedlog.Record { return keyedlog.Record{Key: id, Value: []byte(value)} }

func (l *list) has(id string) bool { _, ok := l.entries[id]; return ok }

func TestEntryThatCannotBeReadNamesNoServer(t *testing.T) {
	p := newParts("a", newFakeClock(), &fakeLog{}, &fakeLog{})
	p.list.take(entry("one", "server shop v1 ready"))
	p.list.take(entry("two", "???"))
	p.list.take(entry("one", "???"))
	if p.list.has("one") || p.list.has("two") {
		t.Errorf("entries %v", p.list.entries)
	}
	p.list.take(entry("one", "server shop v1 ready"))
	if !p.list.has("one") {
		t.Error("an entry that can be read again is not taken")
	}
}

func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	p := newParts("a", newFakeClock(), &fakeLog{}, &fakeLog{})
	p.list.take(entry("one", "server shop v1 ready"))
	p.list.take(entry("one", ""))
	if p.list.has("one") {
		t.Error("still there")
	}
}

func TestEntriesThatLapsedInAnOutageAreBelievedForAWhile(t *testing.T) {
	clock, log := newFakeClock(), &fakeLog{}
	p := newParts("a", clock, &fakeLog{}, &fakeLog{})
	tl := p.list.reader(log, clock)
	log.put("one", "server shop v1 ready")
	log.put("two", "server shop v1 ready")
	if err := tl.once(t.Context()); err != nil {
		t.Fatal(err)
	}
	log.read = []error{keyedlog.ErrNotDone}
	tl.failed(t.Context(), tl.once(t.Context()))
	clock.pass(4 * time.Second)
	log.put("one", "") // both lapsed while the store was away
	log.put("two", "")
	if err := tl.once(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !p.list.has("one") || !p.list.has("two") {
		t.Fatalf("entries that may have lapsed are gone at once: %v", p.list.entries)
	}
	log.put("one", "server shop v1 ready")
	if err := tl.once(t.Context()); err != nil {
		t.Fatal(err)
	}
	clock.pass(2 * time.Second)
	if err := tl.once(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !p.list.has("one") || p.list.has("two") {
		t.Errorf("want the one that came back alone: %v", p.list.entries)
	}
}

// TestListIsReadOftenEnough bounds the time between two reads by what is left of the time for
// which a leaving server may get requests: by a collector it is read twice.
func TestListIsReadOftenEnough(t *testing.T) {
	for _, drain := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 10 * time.Second} {
		p := newParts("a", newFakeClock(), &fakeLog{}, &fakeLog{})
		p.list.drain = drain
		shared := p.list.every()
		p.list.alone = func() bool { return true }
		alone := p.list.every()
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
	if p.list.wait() != 0 || p.list.pause() != p.list.every() {
		t.Errorf("by the store: waits %v, pauses %v", p.list.wait(), p.list.pause())
	}
	p.list.follows = func() bool { return true }
	if p.list.wait() <= 0 || p.list.pause() >= p.list.every()/4 {
		t.Errorf("by another instance: waits %v, pauses %v", p.list.wait(), p.list.pause())
	}
}

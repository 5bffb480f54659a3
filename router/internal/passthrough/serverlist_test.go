package passthrough

import (
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
)

func entry(id, value string) keyedlog.Record { return keyedlog.Record{Key: id, Value: []byte(value)} }

func (l *serverList) has(id string) bool { _, ok := l.entries[id]; return ok }

// TestMalformedEntryRemovesServer guards against sending requests to a server whose newest entry
// cannot be decoded.
func TestMalformedEntryRemovesServer(t *testing.T) {
	p := newTestInstance("a", newFakeClock(), &fakeLog{}, &fakeLog{})
	p.servers.apply(entry("one", "server shop v1 ready"))
	p.servers.apply(entry("two", "???"))
	p.servers.apply(entry("one", "???"))
	if p.servers.has("one") || p.servers.has("two") {
		t.Errorf("servers with malformed entries are listed: %v", p.servers.entries)
	}
	p.servers.apply(entry("one", "server shop v1 ready"))
	if !p.servers.has("one") {
		t.Error("an entry that is well-formed again is not used")
	}
}

// TestRemovedEntryIsGoneAtOnce guards against sending requests to a server whose entry was removed.
func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	p := newTestInstance("a", newFakeClock(), &fakeLog{}, &fakeLog{})
	p.servers.apply(entry("one", "server shop v1 ready"))
	p.servers.apply(entry("one", ""))
	if p.servers.has("one") {
		t.Error("a removed entry is still listed")
	}
}

// TestEntriesThatExpiredInAnOutageAreKept guards against removing live servers after an outage of the
// store in which their entries expired: they are kept for lapseGrace.
func TestEntriesThatExpiredInAnOutageAreKept(t *testing.T) {
	clock, log := newFakeClock(), &fakeLog{}
	p := newTestInstance("a", clock, &fakeLog{}, &fakeLog{})
	reader := p.servers.reader(log, clock)
	log.add("one", "server shop v1 ready")
	log.add("two", "server shop v1 ready")
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	log.readErrs = []error{keyedlog.ErrNotApplied}
	reader.noteOutage(t.Context(), reader.readOnce(t.Context()))
	clock.advance(4 * time.Second)
	log.add("one", "") // both expired during the outage
	log.add("two", "")
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !p.servers.has("one") || !p.servers.has("two") {
		t.Fatalf("entries that may only have expired in the outage are gone at once: %v", p.servers.entries)
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
		t.Errorf("want only the entry that was written again: %v", p.servers.entries)
	}
}

// TestRemovalInAnOutageOfOneInstanceIsApplied guards against sending requests to a server that has left
// because its removal is read after an outage that only this instance had.
func TestRemovalInAnOutageOfOneInstanceIsApplied(t *testing.T) {
	clock, log := newFakeClock(), &fakeLog{}
	p := newTestInstance("a", clock, &fakeLog{}, &fakeLog{})
	p.servers.heartbeat = 1200 * time.Millisecond
	reader := p.servers.reader(log, clock)
	all := []string{"leaves", "two", "three"}
	for _, id := range all {
		log.add(id, "server shop v1 ready")
	}
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	log.readErrs = []error{keyedlog.ErrNotApplied}
	reader.noteOutage(t.Context(), reader.readOnce(t.Context()))
	for range 3 {
		clock.advance(p.servers.heartbeat)
		for _, id := range all[1:] {
			log.add(id, "server shop v1 ready")
		}
		if p.servers.has(all[0]) {
			log.add(all[0], "")
		}
	}
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	if p.servers.has(all[0]) || !p.servers.has(all[1]) || !p.servers.has(all[2]) {
		t.Errorf("listed: %v, want the two servers that went on writing", p.servers.entries)
	}
}

// TestCollectorShowsThatTheStoreWasUp guards against keeping a server that has left because its removal
// comes from a collector, whose answers leave out heartbeats.
func TestCollectorShowsThatTheStoreWasUp(t *testing.T) {
	for steady, want := range map[time.Duration]bool{0: true, 3 * time.Second: true, 5 * time.Second: false} {
		p := newTestInstance("a", newFakeClock(), &fakeLog{}, &fakeLog{})
		p.servers.heartbeat = 1200 * time.Millisecond
		p.servers.apply(entry("one", "server shop v1 ready"))
		p.servers.onRecovery(outage{lost: 2 * time.Second, unread: 4 * time.Second, steady: steady, written: []keyedlog.Record{entry("one", "")}})
		p.servers.apply(entry("one", ""))
		if p.servers.has("one") != want {
			t.Errorf("a collector that read without interruption for %v: listed %v, want %v", steady, !want, want)
		}
	}
}

// TestEntriesAreKeptUnlessServersWroteThroughout guards against removing live servers at once after an
// outage of the store in which two heartbeats are missing, whether it was at its start or at its end, and
// where the records do not show who wrote.
func TestEntriesAreKeptUnlessServersWroteThroughout(t *testing.T) {
	heartbeat := func(id string) keyedlog.Record { return entry(id, "server shop v1 ready") }
	for name, o := range map[string]outage{
		"one heartbeat of three": {unread: 3600 * time.Millisecond, written: []keyedlog.Record{heartbeat("one"), heartbeat("two")}},
		"one server of two":      {unread: 2400 * time.Millisecond, written: []keyedlog.Record{heartbeat("one"), heartbeat("one")}},
		"newest records only":    {unread: 3600 * time.Millisecond},
		"all are removed":        {unread: 3600 * time.Millisecond, written: []keyedlog.Record{entry("one", ""), entry("two", "")}},
	} {
		p := newTestInstance("a", newFakeClock(), &fakeLog{}, &fakeLog{})
		p.servers.heartbeat = 1200 * time.Millisecond
		p.servers.apply(heartbeat("one"))
		p.servers.apply(heartbeat("two"))
		o.lost = o.unread
		p.servers.onRecovery(o)
		p.servers.apply(entry("two", ""))
		if !p.servers.has("two") {
			t.Errorf("%s: an entry that may have expired in the outage is gone at once", name)
		}
	}
}

// TestServersThatWroteThroughALongOutageAreRemoved guards against requests to a server that has left because the first
// read after an outage shows only a part of the heartbeats that were written in it.
func TestServersThatWroteThroughALongOutageAreRemoved(t *testing.T) {
	heartbeat := entry("one", "server shop v1 ready")
	for remaining, kept := range map[uint64]bool{0: true, 4: true, 5: false} {
		p := newTestInstance("a", newFakeClock(), &fakeLog{}, &fakeLog{})
		p.servers.heartbeat = 1200 * time.Millisecond
		p.servers.apply(heartbeat)
		lost := 9 * p.servers.heartbeat
		p.servers.onRecovery(outage{lost: lost, unread: lost, remaining: remaining, written: []keyedlog.Record{heartbeat, heartbeat, heartbeat, heartbeat}})
		p.servers.apply(entry("one", ""))
		if p.servers.has("one") != kept {
			t.Errorf("4 heartbeats of 9 read and %d more records: listed %v, want %v", remaining, !kept, kept)
		}
	}
}

// TestListIsReadOftenEnough guards against requests to a server that has left because the list was
// read too late: data that passes through a collector is read twice, and at an instance that reads
// only for itself one read may fail.
func TestListIsReadOftenEnough(t *testing.T) {
	for _, drain := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 10 * time.Second} {
		p := newTestInstance("a", newFakeClock(), &fakeLog{}, &fakeLog{})
		p.servers.drainTime = drain
		shared := p.servers.readInterval()
		p.servers.readsAlone = func() bool { return true }
		alone := p.servers.readInterval()
		if 2*shared > drain*3/4 {
			t.Errorf("drain %v: an entry that passes through a collector may be %v old, want 3/4 of the drain time at most", drain, 2*shared)
		}
		if 2*alone > drain*3/4 { // one read may fail
			t.Errorf("drain %v: with one failed read an entry is %v old, want 3/4 of the drain time at most", drain, 2*alone)
		}
	}
}

// TestFollowerReadsWaitForChanges checks that reads of the list from a peer wait for changes, and that
// reads from the store do not, since every heartbeat is a change there.
func TestFollowerReadsWaitForChanges(t *testing.T) {
	p := newTestInstance("a", newFakeClock(), &fakeLog{}, &fakeLog{})
	if p.servers.wait() != 0 || p.servers.pause() != p.servers.readInterval() {
		t.Errorf("reading the store: wait %v, pause %v, want no wait and a pause of readInterval", p.servers.wait(), p.servers.pause())
	}
	p.servers.readsFromPeer = func() bool { return true }
	if p.servers.wait() <= 0 || p.servers.pause() >= p.servers.readInterval()/4 {
		t.Errorf("reading from a peer: wait %v, pause %v, want a wait and a pause of less than readInterval/4", p.servers.wait(), p.servers.pause())
	}
}

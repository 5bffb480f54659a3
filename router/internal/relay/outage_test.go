package relay

import (
	"errors"
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
)

func TestDeadCollectorCostsOneTimeOut(t *testing.T) {
	st := &fakeStore{}
	st.put("a", "1")
	all := startInstances(t, st, 4, time.Minute)
	all[0].newest(t)
	all[0].stop()
	all[1].newest(t) // finds it out and reads the store, being the next
	began := st.readCount()
	if s := all[2].newest(t); len(s.Records) != 1 {
		t.Errorf("snapshot %+v", s)
	}
	all[2].newest(t) // now by the second
	all[3].newest(t)
	all[3].newest(t)
	if n := st.readCount() - began; n > 2 {
		t.Errorf("two followers read the store %d times after the collector's death", n)
	}
	if list := all[2].members.Collectors(); len(list) == 0 || list[0].Name != "i1" {
		t.Errorf("collectors %+v", list)
	}
}

func TestOldAnswerIsNotTaken(t *testing.T) {
	st := &fakeStore{}
	st.put("a", "1")
	all := startInstances(t, st, 2, 30*time.Millisecond)
	all[0].newest(t)
	time.Sleep(50 * time.Millisecond) // the collector is cut off from the store
	before := st.readCount()
	if s := all[1].newest(t); s.Age > 30*time.Millisecond {
		t.Errorf("age %v", s.Age)
	}
	if st.readCount() == before {
		t.Error("the follower took an answer that is too old")
	}
}

// TestOutageOfTheStoreIsNotMadeWorse holds that followers leave a store alone that gives no
// answer, and learn from their collector when it is back.
func TestOutageOfTheStoreIsNotMadeWorse(t *testing.T) {
	st := &fakeStore{}
	st.put("a", "1")
	all := startInstances(t, st, 2, 30*time.Millisecond)
	all[0].newest(t)
	st.mu.Lock()
	st.err = keyedlog.ErrUnknown
	st.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	before := st.readCount()
	for range 20 {
		if _, err := all[1].log.Read(t.Context(), keyedlog.AtOffset(1), 0); err == nil {
			t.Fatal("an old answer was taken")
		}
	}
	if n := st.readCount() - before; n > 1 {
		t.Errorf("a follower asked the store %d times in an outage", n)
	}
	st.mu.Lock()
	st.err = nil
	st.mu.Unlock()
	all[0].newest(t)
	if _, err := all[1].log.Read(t.Context(), keyedlog.AtOffset(1), 0); err != nil {
		t.Errorf("not by the collector, though it is back: %v", err)
	}
}

func TestInstanceWithoutAnAddressReadsByItself(t *testing.T) {
	st := &fakeStore{err: keyedlog.ErrUnknown}
	members := NewMembers(Member{Name: "alone", Domain: "d"}, 1, time.Now)
	client := NewClient(members, time.Now)
	log := NewLog(testTopic, st, client, NewCache(time.Now, nil), time.Minute, func(string, string) {})
	for range 3 {
		if _, err := log.Newest(t.Context()); !errors.Is(err, keyedlog.ErrUnknown) {
			t.Errorf("got %v", err)
		}
	}
	if st.readCount() != 3 || !members.RanksFirst() {
		t.Errorf("%d reads, first %v", st.readCount(), members.RanksFirst())
	}
}

// TestTheNextInRankIsAskedBeforeTheStore holds that a read whose collector gives no answer,
// or an old one, is answered by the next instance that knows.
func TestTheNextInRankIsAskedBeforeTheStore(t *testing.T) {
	st := &fakeStore{}
	st.put("a", "1")
	all := startInstances(t, st, 4, 50*time.Millisecond)
	all[0].newest(t)
	time.Sleep(70 * time.Millisecond) // the first is cut off from the store
	all[1].newest(t)
	before := st.readCount()
	if s := all[2].newest(t); len(s.Records) != 1 {
		t.Errorf("snapshot %+v", s)
	}
	all[0].stop()
	if s := all[3].newest(t); len(s.Records) != 1 {
		t.Errorf("snapshot %+v", s)
	}
	if n := st.readCount() - before; n != 0 {
		t.Errorf("the store was read %d times, though the second instance knows", n)
	}
}

// TestNobodyReadsDirectlyFromASilentStore holds that an instance which finds neither the others nor
// the store does not take itself for the one that writes.
func TestNobodyReadsDirectlyFromASilentStore(t *testing.T) {
	st := &fakeStore{err: keyedlog.ErrUnknown}
	all := startInstances(t, st, 1, time.Minute)
	if _, err := all[0].log.Newest(t.Context()); err == nil || all[0].log.ReadsStore() {
		t.Errorf("direct %v after %v", all[0].log.ReadsStore(), err)
	}
	st.mu.Lock()
	st.err = nil
	st.mu.Unlock()
	if all[0].newest(t); !all[0].log.ReadsStore() {
		t.Error("not direct, though the store answered")
	}
}

// TestOneOutageCountsOnce holds that a member that all topics find dead at once is passed
// over for as long as for one failure.
func TestOneOutageCountsOnce(t *testing.T) {
	now := time.Unix(100, 0)
	m := NewMembers(Member{Name: "self", Domain: "d", Address: "a:1"}, 1, func() time.Time { return now })
	m.Add(Member{Name: "first", Domain: "d", Address: "a:2", Cores: 1})
	for range 5 {
		m.Failed("first")
	}
	now = now.Add(minMemberBackoff)
	if list := m.Collectors(); len(list) != 1 {
		t.Errorf("collectors %+v after the time of one failure", list)
	}
	m.Failed("first")
	now = now.Add(minMemberBackoff)
	if list := m.Collectors(); len(list) != 0 {
		t.Errorf("collectors %+v, though a second failure doubles the time", list)
	}
}

// TestTurnedAwayInstancesReadByThoseThatAreServed holds that an instance that the store
// turns away learns from one that it serves, though the first in rank is turned away too.
func TestTurnedAwayInstancesReadByThoseThatAreServed(t *testing.T) {
	st, away := &fakeStore{}, &fakeStore{err: keyedlog.ErrUnknown}
	st.put("a", "1")
	all := startInstances(t, st, 4, 50*time.Millisecond)
	all[0].newest(t)
	all[0].log.store, all[2].log.store = away, away
	time.Sleep(70 * time.Millisecond)
	for range 3 {
		all[1].newest(t)
		all[2].newest(t)
	}
	if n := away.readCount(); n != 0 {
		t.Errorf("%d reads of a store that turns the instance away", n)
	}
}

// TestQuestionThatFindsTheStoreDoesNotWait holds that the one question which is asked while the
// store is away does not wait for a record: all topics wait for its answer. One that waited for
// eight seconds kept the configuration from an instance for five.
func TestQuestionThatFindsTheStoreDoesNotWait(t *testing.T) {
	st := &waitingStore{fakeStore: &fakeStore{}}
	st.put("a", "1")
	in := startInstances(t, st.fakeStore, 1, time.Minute)[0]
	in.log.store = st
	const wait = 8 * time.Second
	for _, away := range []bool{true, false} {
		if away {
			in.log.client.storeFailed()
		}
		if _, err := in.log.Read(t.Context(), keyedlog.AtOffset(0), wait); err != nil {
			t.Fatal(err)
		}
		want := wait
		if away {
			want = 0
		}
		if got := st.waits[len(st.waits)-1]; got != want {
			t.Errorf("away %v: waits %v, want %v", away, got, want)
		}
	}
}

package relay

import (
	"errors"
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
)

// TestFollowersReadFromCollector checks that followers read snapshots and new records from their
// collector, and only the collector reads the store.
func TestFollowersReadFromCollector(t *testing.T) {
	st := &fakeStore{}
	st.put("a", "1")
	all := startInstances(t, st, 3, time.Minute)
	all[0].newest(t)
	for _, in := range all[1:] {
		if s := in.newest(t); len(s.Records) != 1 || s.Next.Offset != 1 || s.Age <= 0 {
			t.Errorf("snapshot %+v, want one record, an end at 1 and an age", s)
		}
	}
	if n := st.readCount(); n != 1 {
		t.Errorf("the store was read %d times, want once", n)
	}
	st.put("b", "2")
	done := make(chan keyedlog.Batch)
	go func() {
		b, err := all[1].log.Read(t.Context(), keyedlog.AtOffset(1), time.Second)
		if err != nil {
			t.Error(err)
		}
		done <- b
	}()
	time.Sleep(20 * time.Millisecond) // the follower's request waits at the collector
	if _, err := all[0].log.Read(t.Context(), keyedlog.AtOffset(1), 0); err != nil {
		t.Fatal(err)
	}
	if b := <-done; len(b.Records) != 1 || b.Records[0].Key != "b" || b.Next.Offset != 2 {
		t.Errorf("batch %+v, want the record of b and an end at 2", b)
	}
}

// TestAgeIsNeverTooYoung checks that an answer's age covers the time since the collector's own read
// began, however long the request was in transit.
func TestAgeIsNeverTooYoung(t *testing.T) {
	a := answer{AgeUS: 500_000, TookUS: 200_000}
	if got := a.age(900 * time.Millisecond); got != 1200*time.Millisecond {
		t.Errorf("age %v, want the age at the answer plus all of the time in transit", got)
	}
	if got := a.age(100 * time.Millisecond); got != 500*time.Millisecond {
		t.Errorf("age %v with a call shorter than the processing at the collector, want the age at the answer", got)
	}
}

// TestUnconditionalAppendsGoToCollector checks that a follower sends unconditional appends to its
// collector, and conditional ones to the store.
func TestUnconditionalAppendsGoToCollector(t *testing.T) {
	st := &fakeStore{}
	all := startInstances(t, st, 2, time.Minute)
	all[0].newest(t)
	if err := all[1].log.Append(t.Context(), keyedlog.AnyPosition, keyedlog.Record{Key: "k", Value: []byte("v")}); err != nil {
		t.Fatal(err)
	}
	if len(all[0].appended) != 1 || len(st.records) != 0 {
		t.Errorf("the collector got %v, want one record, and none in the store", all[0].appended)
	}
	if err := all[1].log.Append(t.Context(), keyedlog.AtOffset(0), keyedlog.Record{Key: "k", Value: []byte("v")}); err != nil || len(st.records) != 1 {
		t.Errorf("an append with a condition did not go to the store: %v", err)
	}
}

// TestCacheReads checks which reads a cache answers: it rejects positions before its first record
// or after its end, leaves out equivalent records, and states the age of its state.
func TestCacheReads(t *testing.T) {
	now := time.Unix(100, 0)
	same := func(a, b keyedlog.Record) bool { return string(a.Value) == string(b.Value) }
	c := NewCache(func() time.Time { return now }, same)
	ctx := t.Context()
	if _, err := c.Read(ctx, keyedlog.AtOffset(0), 0); !errors.Is(err, keyedlog.ErrNotApplied) {
		t.Errorf("a read from an empty cache: %v, want ErrNotApplied", err)
	}
	c.Replace(keyedlog.Snapshot{Records: []keyedlog.Record{{Key: "a", Value: []byte("1"), Offset: 4}}, Next: keyedlog.AtOffset(5)}, now)
	if _, err := c.Read(ctx, keyedlog.AtOffset(3), 0); !errors.Is(err, keyedlog.ErrTrimmed) {
		t.Errorf("a read from before the first record: %v, want ErrTrimmed", err)
	}
	if _, err := c.Read(ctx, keyedlog.AtOffset(9), 0); !errors.Is(err, keyedlog.ErrNotApplied) {
		t.Errorf("a read from after the end: %v, want ErrNotApplied", err)
	}
	now = now.Add(time.Second)
	c.Add(keyedlog.Batch{Next: keyedlog.AtOffset(8), Records: []keyedlog.Record{
		{Key: "a", Value: []byte("1"), Offset: 5}, {Key: "b", Value: []byte("2"), Offset: 6}, {Key: "a", Offset: 7},
	}}, now.Add(-300*time.Millisecond))
	b, err := c.Read(ctx, keyedlog.AtOffset(5), 0)
	if err != nil || len(b.Records) != 2 || b.Records[0].Key != "b" || b.Next.Offset != 8 || b.Age != 300*time.Millisecond {
		t.Errorf("batch %+v, error %v, want the records of b and of a's deletion, an end at 8 and an age of 300 ms", b, err)
	}
	if b, err := c.Read(ctx, keyedlog.AtOffset(7), 0); err != nil || len(b.Records) != 1 {
		t.Errorf("batch %+v, error %v, want the record of a's deletion", b, err)
	}
	if s, err := c.newestAnswer(ctx); err != nil || len(s.Records) != 1 || s.Records[0].Key != "b" {
		t.Errorf("snapshot %+v, error %v, want the record of b alone", s, err)
	}
}

// TestRequestsWaitForFirstRead checks that instances that start together read the store once, since
// the collector lets requests wait for its first read.
func TestRequestsWaitForFirstRead(t *testing.T) {
	st := &fakeStore{}
	st.put("a", "1")
	all := startInstances(t, st, 3, time.Minute)
	got := make(chan int)
	for _, in := range all[1:] {
		go func() {
			s, err := in.log.Newest(t.Context())
			if err != nil {
				t.Error(err)
			}
			got <- len(s.Records)
		}()
	}
	time.Sleep(20 * time.Millisecond) // both requests are at the collector
	all[0].newest(t)
	if a, b := <-got, <-got; a != 1 || b != 1 {
		t.Errorf("the followers read %d and %d records, want one each", a, b)
	}
	if n := st.readCount(); n != 1 {
		t.Errorf("the store was read %d times, want once", n)
	}
}

// TestSlowSnapshotComesFromCollector checks that a snapshot which takes longer in transit than a usual
// call still comes from the collector.
func TestSlowSnapshotComesFromCollector(t *testing.T) {
	st := &fakeStore{}
	st.put("a", "1")
	all := startInstances(t, st, 2, time.Minute)
	all[0].newest(t)
	first := all[1].members.Collectors()[0]
	first.Address = startSlowLink(t, first.Address, callTimeout+200*time.Millisecond)
	all[1].members.Add(first)
	if s := all[1].newest(t); len(s.Records) != 1 || st.readCount() != 1 {
		t.Errorf("%d records, %d reads of the store, want one of each", len(s.Records), st.readCount())
	}
}

// TestCrossDomainTopicIsReadFromFirstCollector checks that collectors of other failure domains read
// a CrossDomain topic from the first-ranked collector, and from the store if that one gives no
// answer.
func TestCrossDomainTopicIsReadFromFirstCollector(t *testing.T) {
	st := &fakeStore{}
	st.put("a", "1")
	all := startInstances(t, st, 1, time.Minute)
	all[0].newest(t)
	first := all[0].members.self
	other := startInstances(t, st, 1, time.Minute)[0]
	first.Domain, first.Cores = "elsewhere", other.members.self.Cores+1
	other.members.Add(first)
	before := st.readCount()
	if s := other.newest(t); len(s.Records) != 1 || st.readCount() != before+1 {
		t.Errorf("a topic that is not CrossDomain: %d reads of the store, want one", st.readCount()-before)
	}
	other.log.CrossDomain = true
	before = st.readCount()
	if s := other.newest(t); len(s.Records) != 1 || st.readCount() != before || other.log.ReadsStore() {
		t.Errorf("a CrossDomain topic: %d records, %d reads of the store, ReadsStore %v, want 1, 0, false", len(s.Records), st.readCount()-before, other.log.ReadsStore())
	}
	all[0].stop()
	if s := other.newest(t); len(s.Records) != 1 || st.readCount() != before+1 || !other.log.ReadsStore() {
		t.Errorf("the first is stopped: %d records, %d reads of the store, want one of each, and ReadsStore", len(s.Records), st.readCount()-before)
	}
}

// TestAnswerStatesForHowLongTheCollectorHasRead checks that a follower learns for how long its collector
// has read without interruption, and that an outage there begins the time anew.
func TestAnswerStatesForHowLongTheCollectorHasRead(t *testing.T) {
	now := time.Unix(100, 0)
	c := NewCache(func() time.Time { return now }, nil)
	c.Replace(keyedlog.Snapshot{Next: keyedlog.AtOffset(0)}, now)
	read := func(gaps ...time.Duration) time.Duration {
		for _, gap := range gaps {
			now = now.Add(gap)
			c.Add(keyedlog.Batch{Next: keyedlog.AtOffset(0)}, now)
		}
		b, err := c.Read(t.Context(), keyedlog.AtOffset(0), 0)
		if err != nil {
			t.Fatal(err)
		}
		return b.Steady
	}
	if got := read(MaxConfirmGap, MaxConfirmGap); got != 2*MaxConfirmGap {
		t.Errorf("steady for %v after two reads without a gap, want %v", got, 2*MaxConfirmGap)
	}
	if got := read(MaxConfirmGap+time.Millisecond, time.Second); got != time.Second {
		t.Errorf("steady for %v a second after a gap, want 1s", got)
	}
}

// TestPartOfABacklogDoesNotConfirmTheCache guards against followers that accept a revoked key while their collector
// catches up: the state is as old as the last read that reached the end of the log.
func TestPartOfABacklogDoesNotConfirmTheCache(t *testing.T) {
	now := time.Unix(100, 0)
	c := NewCache(func() time.Time { return now }, nil)
	c.Replace(keyedlog.Snapshot{Next: keyedlog.AtOffset(0)}, now)
	now = now.Add(9 * time.Second)
	ages := map[uint64]time.Duration{}
	for offset, remaining := range []uint64{1, 0} {
		c.Add(keyedlog.Batch{Next: keyedlog.AtOffset(uint64(offset + 1)), Remaining: remaining}, now)
		b, err := c.Read(t.Context(), keyedlog.AtOffset(0), 0)
		if err != nil {
			t.Fatal(err)
		}
		ages[remaining] = b.Age
	}
	if ages[1] != 9*time.Second || ages[0] != 0 {
		t.Errorf("age %v after a part of the backlog and %v at its end, want 9s and 0s", ages[1], ages[0])
	}
}

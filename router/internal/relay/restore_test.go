package relay

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
)

// eraSnapshot returns a snapshot of one record that ends at offset end of an era.
func eraSnapshot(era, end uint64, value string) keyedlog.Snapshot {
	return keyedlog.Snapshot{
		Records: []keyedlog.Record{{Key: "a", Value: []byte(value), Offset: end - 1}},
		Next:    keyedlog.Position{Era: era, Offset: end},
	}
}

// TestCacheKeepsLaterEra checks that a cache keeps the state of the later era, in whichever order the
// answers arrive.
func TestCacheKeepsLaterEra(t *testing.T) {
	now := time.Unix(100, 0)
	c := NewCache(func() time.Time { return now }, nil)
	c.Replace(eraSnapshot(1, 9, "before"), now)
	c.Replace(eraSnapshot(2, 5, "after"), now)
	c.Replace(eraSnapshot(1, 10, "late"), now)
	c.Add(keyedlog.Batch{Records: []keyedlog.Record{{Key: "a", Value: []byte("later"), Offset: 9}}, Next: keyedlog.Position{Era: 1, Offset: 10}}, now)
	if got := string(c.newestByKey["a"].Value); got != "after" || c.next != (keyedlog.Position{Era: 2, Offset: 5}) {
		t.Errorf("the cache has %q up to %+v, want \"after\" up to offset 5 of era 2", got, c.next)
	}
	for _, tt := range []struct {
		from keyedlog.Position
		want error
	}{
		{keyedlog.Position{Era: 1, Offset: 5}, keyedlog.ErrTrimmed},
		{keyedlog.Position{Era: 3, Offset: 2}, keyedlog.ErrNotApplied},
		{keyedlog.Position{Era: 2, Offset: 6}, keyedlog.ErrNotApplied},
		{keyedlog.Position{Era: 2, Offset: 4}, keyedlog.ErrTrimmed},
		{keyedlog.Position{Era: 2, Offset: 5}, nil},
		{keyedlog.AtOffset(5), nil}, // of an instance that knows no eras
	} {
		if _, err := c.batchFrom(tt.from); !errors.Is(err, tt.want) {
			t.Errorf("from %+v: %v, want %v", tt.from, err, tt.want)
		}
	}
}

// TestFollowersLearnOfRestoreFromCollector checks that followers learn of a restore from their
// collector and do not read the store.
func TestFollowersLearnOfRestoreFromCollector(t *testing.T) {
	st := &fakeStore{era: 1}
	st.put("a", "1")
	all := startInstances(t, st, 4, time.Hour)
	for _, in := range all {
		in.newest(t)
	}
	before := st.readCount()
	st.restore(0)
	st.put("b", "2")
	st.put("c", "3")
	at := keyedlog.Position{Era: 1, Offset: 1}
	if _, err := all[0].log.Read(t.Context(), at, 0); !errors.Is(err, keyedlog.ErrRestored) {
		t.Fatalf("the collector's read: %v, want ErrRestored", err)
	}
	all[0].newest(t)
	for _, in := range all[1:] {
		if _, err := in.log.Read(t.Context(), at, 0); !errors.Is(err, keyedlog.ErrTrimmed) {
			t.Errorf("a follower's read: %v, want ErrTrimmed", err)
		}
		if s := in.newest(t); s.Next != (keyedlog.Position{Era: 2, Offset: 2}) || len(s.Records) != 2 {
			t.Errorf("a follower has %+v, want two records up to offset 2 of era 2", s)
		}
	}
	if n := st.readCount() - before; n != 2 {
		t.Errorf("%d reads of the store, want 2", n)
	}
}

// TestCollectorOfEarlierEraIsSkipped checks that an instance which knows of a restore does
// not return to the state before it.
func TestCollectorOfEarlierEraIsSkipped(t *testing.T) {
	st := &fakeStore{era: 1}
	st.put("a", "1")
	all := startInstances(t, st, 2, time.Hour)
	for _, in := range all {
		in.newest(t)
	}
	st.restore(0)
	st.put("b", "2")
	all[1].cache.Replace(keyedlog.Snapshot{Next: keyedlog.Position{Era: 2}}, time.Now())
	if s := all[1].newest(t); s.Next.Era != 2 || len(s.Records) != 1 || s.Records[0].Key != "b" {
		t.Errorf("got %+v, want the record of b in era 2", s)
	}
}

// TestRestoreReachesAllInstances checks that all instances of a failure domain have the
// restored state within two seconds, and that it is read from the store maxReads times at most, since
// only instances that read the store before should do so. It logs the time and the number of reads.
func TestRestoreReachesAllInstances(t *testing.T) {
	const (
		entries  = 150
		pause    = 100 * time.Millisecond
		wait     = 350 * time.Millisecond
		maxTime  = 2 * time.Second
		maxReads = 4 // of the newest records
	)
	for _, count := range []int{8, 58, 300} {
		st := &fakeStore{era: 1}
		for i := range entries {
			st.put(fmt.Sprint("server-", i), "an entry of a backend server")
		}
		all := startInstances(t, st, count, time.Hour)
		positions := make([]keyedlog.Position, count)
		for i, in := range all {
			positions[i] = in.newest(t).Next
		}
		before := st.newestReadCount()
		st.restore(entries / 2)
		start := time.Now()
		var done sync.WaitGroup
		for i, in := range all {
			done.Go(func() {
				for time.Since(start) < 10*maxTime {
					if _, err := in.log.Read(t.Context(), positions[i], wait); errors.Is(err, keyedlog.ErrTrimmed) {
						if s, err := in.log.Newest(t.Context()); err == nil && s.Next.Era == 2 {
							return
						}
					}
					time.Sleep(pause)
				}
				t.Errorf("%d instances: an instance does not learn of the restore", count)
			})
		}
		done.Wait()
		took, reads := time.Since(start), st.newestReadCount()-before
		t.Logf("%d instances: %v, %d reads of the store's newest records", count, took.Round(time.Millisecond), reads)
		if took > maxTime || reads > maxReads {
			t.Errorf("%d instances have the restored state after %v, by %d reads of the store, want maxTime and maxReads at most", count, took, reads)
		}
		for _, in := range all {
			in.stop()
		}
	}
}

package node

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

// TestStartAfterTrimming guards against a node that starts from a trimmed log
// without a checkpoint, and so lacks the first registers.
func TestStartAfterTrimming(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a := cluster.node("a")
		var notified []record.Key
		for i := range 5 {
			cluster.mustPut(a, put(record.Key(fmt.Sprintf("session/%d", i)), 1), OutcomeWon)
		}
		cluster.log.Trim(3)
		late := cluster.node("late")
		late.Watch("session", func(c fold.Change) { notified = append(notified, c.Register.Key) })
		time.Sleep(time.Minute)
		if late.isReady() || late.Digest().NextOffset != 0 {
			t.Fatal("started from a log whose first records are trimmed")
		}
		// This checkpoint covers the trimmed entries, so late can start from it.
		if err := a.Checkpoint(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		cluster.mustPut(a, put("session/5", 1), OutcomeWon)
		<-late.Ready()
		synctest.Wait()
		if late.Digest() != a.Digest() {
			t.Errorf("digests differ: started late %+v, peer %+v", late.Digest(), a.Digest())
		}
		if len(notified) != 6 || notified[5] != "session/5" {
			t.Errorf("watchers were notified of %v, want six keys, the last one session/5", notified)
		}
	})
}

// TestStaleCheckpointIsNotRestored guards against a start from a checkpoint
// that does not reach the oldest entry that the log keeps.
func TestStaleCheckpointIsNotRestored(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a := cluster.node("a")
		cluster.mustPut(a, put("session/0", 1), OutcomeWon)
		if err := a.Checkpoint(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		cluster.mustPut(a, put("session/1", 1), OutcomeWon)
		// The checkpoint is the second entry. Trimming removes it together with
		// the third entry, which it does not cover; then it is appended again.
		stale := cluster.log.Entries()[1]
		cluster.log.Trim(3)
		cluster.log.Inject(stale.Data)
		late := cluster.node("late")
		time.Sleep(time.Minute)
		if late.isReady() {
			t.Error("started from a checkpoint that leaves a gap before the kept entries")
		}
		snapshot, err := a.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := late.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		<-late.Ready()
		if err := late.Restore(snapshot); !errors.Is(err, ErrNotAhead) {
			t.Errorf("second Restore of one snapshot: error %v, want ErrNotAhead", err)
		}
	})
}

// TestCheckpointBeforeTrimming guards against a log that is trimmed with no
// checkpoint in it: instances must append one well before the retention has
// passed.
func TestCheckpointBeforeTrimming(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a, _ := cluster.node("a"), cluster.node("b")
		cluster.mustPut(a, put("session/x", 1), OutcomeWon)
		time.Sleep(18 * time.Hour)
		cluster.log.Trim(1)
		late := cluster.node("late")
		<-late.Ready()
		if _, ok := late.Lookup("session/x"); !ok {
			t.Error("the register was lost to trimming")
		}
		if n := len(cluster.log.Entries()); n > 3 {
			t.Errorf("%d checkpoints in 18 hours, want at most 3", n)
		}
	})
}

// TestCheckpointUnderLoad guards against a large checkpoint that never reaches
// the log because every group is full, and against one that gives a different
// state.
func TestCheckpointUnderLoad(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a := cluster.node("a")
		big := func(i int) record.Record {
			r := put(record.Key(fmt.Sprintf("session/%d", i)), 1)
			r.Value = make([]byte, maxGroupBytes*3/4)
			return r
		}
		for i := range 4 {
			cluster.mustPut(a, big(i), OutcomeWon)
		}
		var wg sync.WaitGroup
		ctx := within(t, 2*time.Second)
		for i := range 8 {
			wg.Go(func() {
				for k := 0; ctx.Err() == nil; k++ {
					r := big(i)
					r.Nonce = record.Nonce{9, byte(i), byte(k)}
					a.Put(ctx, r)
				}
			})
		}
		if err := a.Checkpoint(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		var assembler fold.CheckpointAssembler
		for _, e := range cluster.log.Entries() {
			collectParts(&assembler, e.Data)
		}
		if _, _, ok := assembler.Latest(); !ok {
			t.Error("no checkpoint in the log under load")
		}
		wg.Wait()
		cluster.log.Trim(4)
		late := cluster.node("late")
		<-late.Ready()
		synctest.Wait()
		if late.Digest() != a.Digest() {
			t.Errorf("digests differ: started late %+v, peer %+v", late.Digest(), a.Digest())
		}
	})
}

// TestRestoreFromALaggingPeer guards against a waiting Put that is settled from a
// peer's older state: the key's holder in that state has released it since.
func TestRestoreFromALaggingPeer(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		b, c := cluster.node("b"), cluster.node("c")
		cluster.mustPut(b, put("session/x", 2), OutcomeWon)
		synctest.Wait()
		cluster.log.SetDisconnected("c", true)
		b.Release("session/x", record.Nonce{2})
		time.Sleep(time.Second)
		// a's first read lasts until 300 ms; its append is not delayed.
		cluster.log.SetSlow(300 * time.Millisecond)
		a := cluster.node("a")
		synctest.Wait()
		cluster.log.SetSlow(0)
		done := make(chan Result, 1)
		go func() { done <- a.Put(t.Context(), put("session/x", 1)) }()
		synctest.Wait()
		snapshot, _ := c.Snapshot()
		if err := a.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		if res := <-done; res.Outcome != OutcomeWon {
			t.Errorf("result of the Put that waited during the Restore: %+v, want won", res)
		}
	})
}

// TestRestorePastTheOwnRecord guards against a Put that never returns because its
// record, which lost, lies in the part of the log that Restore skips.
func TestRestorePastTheOwnRecord(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		b := cluster.node("b")
		cluster.mustPut(b, put("session/x", 2), OutcomeWon)
		synctest.Wait() // b is in its next poll, which is not delayed
		cluster.log.SetSlow(300 * time.Millisecond)
		a := cluster.node("a")
		synctest.Wait()
		cluster.log.SetSlow(0)
		done := make(chan Result, 1)
		go func() { done <- a.Put(within(t, 5*time.Second), put("session/x", 1)) }()
		synctest.Wait()
		snapshot, _ := b.Snapshot()
		if err := a.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		if next := a.Digest().NextOffset; next != 2 {
			t.Fatalf("restored to offset %d, want 2, past the own record", next)
		}
		if res := <-done; res.Outcome != OutcomeLost || res.Register.Nonce != (record.Nonce{2}) {
			t.Errorf("result of the skipped Put: %+v, want lost to the other node's Put", res)
		}
	})
}

// TestRestoreSettlesWaitingPuts guards against a wrong outcome of a Put that
// waits during a Restore: it must return the winner, and its own delayed copy
// must never win.
func TestRestoreSettlesWaitingPuts(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a, b := cluster.node("a"), cluster.node("b")
		<-a.Ready()
		cluster.log.FailAppends(logtest.AppendDelayed)
		done := make(chan Result, 1)
		go func() { done <- a.Put(t.Context(), put("session/x", 1)) }()
		synctest.Wait()
		cluster.log.SetDisconnected("a", true)
		cluster.mustPut(b, put("session/x", 2), OutcomeWon)
		snapshot, _ := b.Snapshot()
		if err := a.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		cluster.log.SetDisconnected("a", false)
		if res := <-done; res.Outcome != OutcomeLost || res.Register.Nonce != (record.Nonce{2}) {
			t.Errorf("result of the Put that waited during the Restore: %+v, want lost to the other node's Put", res)
		}
		time.Sleep(time.Second)
		b.Release("session/x", record.Nonce{2})
		time.Sleep(2 * logtest.AppendDelay)
		if reg, ok := b.Lookup("session/x"); ok {
			t.Errorf("the late copy won: %+v", reg)
		}
	})
}

// TestRestoreWhileDown guards against a node that is ready without any state while
// the log is down, and against one that a peer's snapshot does not make ready.
func TestRestoreWhileDown(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a := cluster.node("a")
		cluster.mustPut(a, put("session/x", 1), OutcomeWon)
		cluster.log.SetDown(true)
		late := cluster.node("late")
		time.Sleep(10 * time.Second)
		if late.isReady() {
			t.Fatal("ready without any state")
		}
		snapshot, _ := a.Snapshot()
		if err := late.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		<-late.Ready()
		if s := late.Status(); s.LogReachable || s.NextOffset != 1 || s.Head != 1 {
			t.Errorf("status after the Restore: %+v, want the log unreachable, next offset and head 1", s)
		}
		if err := late.Restore([]byte("junk")); !errors.Is(err, fold.ErrInvalidSnapshot) {
			t.Errorf("Restore of bytes that are no snapshot: error %v, want ErrInvalidSnapshot", err)
		}
	})
}

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

func TestStartAfterTrimming(t *testing.T) {
	inBubble(t, func(t *testing.T, fl *testCluster) {
		a := fl.node("a")
		var heard []record.Key
		for i := range 5 {
			fl.mustPut(a, put(record.Key(fmt.Sprintf("session/%d", i)), 1), OutcomeWon)
		}
		fl.log.Trim(3)
		late := fl.node("late")
		late.Watch("session", func(c fold.Change) { heard = append(heard, c.Register.Key) })
		time.Sleep(time.Minute)
		if late.isReady() || late.Digest().NextOffset != 0 {
			t.Fatal("it took a log with a hole for whole")
		}
		// A checkpoint that does not reach what is kept changes nothing.
		if err := a.Checkpoint(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		fl.mustPut(a, put("session/5", 1), OutcomeWon)
		<-late.Ready()
		synctest.Wait()
		if late.Digest() != a.Digest() {
			t.Errorf("digests %+v and %+v", late.Digest(), a.Digest())
		}
		if len(heard) != 6 || heard[5] != "session/5" {
			t.Errorf("watchers heard %v", heard)
		}
	})
}

func TestStaleCheckpointIsOfNoUse(t *testing.T) {
	inBubble(t, func(t *testing.T, fl *testCluster) {
		a := fl.node("a")
		fl.mustPut(a, put("session/0", 1), OutcomeWon)
		if err := a.Checkpoint(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		fl.mustPut(a, put("session/1", 1), OutcomeWon)
		// The checkpoint itself is the second entry; keep it, but not the
		// entry before it that it does not cover.
		stale := fl.log.Entries()[1]
		fl.log.Trim(3)
		fl.log.Inject(stale.Data)
		late := fl.node("late")
		time.Sleep(time.Minute)
		if late.isReady() {
			t.Error("it started from a checkpoint that leaves a hole")
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
			t.Errorf("restored twice: %v", err)
		}
	})
}

// TestCheckpointBeforeTrimming: instances keep a checkpoint in the log by
// themselves, well before the retention has passed.
func TestCheckpointBeforeTrimming(t *testing.T) {
	inBubble(t, func(t *testing.T, fl *testCluster) {
		a, _ := fl.node("a"), fl.node("b")
		fl.mustPut(a, put("session/x", 1), OutcomeWon)
		time.Sleep(18 * time.Hour)
		fl.log.Trim(1)
		late := fl.node("late")
		<-late.Ready()
		if _, ok := late.Lookup("session/x"); !ok {
			t.Error("the register was lost to trimming")
		}
		if n := len(fl.log.Entries()); n > 3 {
			t.Errorf("%d checkpoints in 18 hours", n)
		}
	})
}

// TestCheckpointUnderLoad: a large checkpoint gets into the log while each
// group is full, and a writer that starts from it has the same state.
func TestCheckpointUnderLoad(t *testing.T) {
	inBubble(t, func(t *testing.T, fl *testCluster) {
		a := fl.node("a")
		big := func(i int) record.Record {
			r := put(record.Key(fmt.Sprintf("session/%d", i)), 1)
			r.Value = make([]byte, maxBatchBytes*3/4)
			return r
		}
		for i := range 4 {
			fl.mustPut(a, big(i), OutcomeWon)
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
		var found fold.CheckpointAssembler
		for _, e := range fl.log.Entries() {
			collectParts(&found, e.Data)
		}
		if _, _, ok := found.Latest(); !ok {
			t.Error("no checkpoint while there is load")
		}
		wg.Wait()
		fl.log.Trim(4)
		late := fl.node("late")
		<-late.Ready()
		synctest.Wait()
		if late.Digest() != a.Digest() {
			t.Errorf("digests %+v and %+v", late.Digest(), a.Digest())
		}
	})
}

// TestRestoreFromALaggingPeer: the peer's state is older than the Put that
// waits. Who held the key then says nothing of who holds it now.
func TestRestoreFromALaggingPeer(t *testing.T) {
	inBubble(t, func(t *testing.T, fl *testCluster) {
		b, c := fl.node("b"), fl.node("c")
		fl.mustPut(b, put("session/x", 2), OutcomeWon)
		synctest.Wait()
		fl.log.SetDisconnected("c", true)
		b.Release("session/x", record.Nonce{2})
		time.Sleep(time.Second)
		// a's first read is under way until 300 ms, its append goes through.
		fl.log.SetSlow(300 * time.Millisecond)
		a := fl.node("a")
		synctest.Wait()
		fl.log.SetSlow(0)
		done := make(chan Result, 1)
		go func() { done <- a.Put(t.Context(), put("session/x", 1)) }()
		synctest.Wait()
		snapshot, _ := c.Snapshot()
		if err := a.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		if res := <-done; res.Outcome != OutcomeWon {
			t.Errorf("result %+v", res)
		}
	})
}

// TestRestorePastTheOwnRecord: the own record lies in the part that is skipped,
// and lost there; it is never read back, and the Put is settled all the same.
func TestRestorePastTheOwnRecord(t *testing.T) {
	inBubble(t, func(t *testing.T, fl *testCluster) {
		b := fl.node("b")
		fl.mustPut(b, put("session/x", 2), OutcomeWon)
		synctest.Wait() // b waits in its next poll, which is not slow
		fl.log.SetSlow(300 * time.Millisecond)
		a := fl.node("a")
		synctest.Wait()
		fl.log.SetSlow(0)
		done := make(chan Result, 1)
		go func() { done <- a.Put(within(t, 5*time.Second), put("session/x", 1)) }()
		synctest.Wait()
		snapshot, _ := b.Snapshot()
		if err := a.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		if next := a.Digest().NextOffset; next != 2 {
			t.Fatalf("restored to %d, want to be past the own record", next)
		}
		if res := <-done; res.Outcome != OutcomeLost || res.Register.Nonce != (record.Nonce{2}) {
			t.Errorf("result %+v", res)
		}
	})
}

// TestRestoreSettlesWaitingPuts: a Put that waits while a peer's state is taken
// over hears of the winner once its nonce is read back, and its own late copy
// never wins.
func TestRestoreSettlesWaitingPuts(t *testing.T) {
	inBubble(t, func(t *testing.T, fl *testCluster) {
		a, b := fl.node("a"), fl.node("b")
		<-a.Ready()
		fl.log.FailAppends(logtest.AppendDelayed)
		done := make(chan Result, 1)
		go func() { done <- a.Put(t.Context(), put("session/x", 1)) }()
		synctest.Wait()
		fl.log.SetDisconnected("a", true)
		fl.mustPut(b, put("session/x", 2), OutcomeWon)
		snapshot, _ := b.Snapshot()
		if err := a.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		fl.log.SetDisconnected("a", false)
		if res := <-done; res.Outcome != OutcomeLost || res.Register.Nonce != (record.Nonce{2}) {
			t.Errorf("result %+v", res)
		}
		time.Sleep(time.Second)
		b.Release("session/x", record.Nonce{2})
		time.Sleep(2 * logtest.AppendDelay)
		if reg, ok := b.Lookup("session/x"); ok {
			t.Errorf("the late copy won: %+v", reg)
		}
	})
}

func TestRestoreWhileDown(t *testing.T) {
	inBubble(t, func(t *testing.T, fl *testCluster) {
		a := fl.node("a")
		fl.mustPut(a, put("session/x", 1), OutcomeWon)
		fl.log.SetDown(true)
		late := fl.node("late")
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
			t.Errorf("status %+v", s)
		}
		if err := late.Restore([]byte("junk")); !errors.Is(err, fold.ErrInvalidSnapshot) {
			t.Errorf("junk: %v", err)
		}
	})
}

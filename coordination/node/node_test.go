package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testCluster runs nodes on one in-memory log inside a synctest bubble.
type testCluster struct {
	t   *testing.T
	log *logtest.Log
}

// inBubble runs f in a synctest bubble, with an empty log.
func inBubble(t *testing.T, f func(t *testing.T, cluster *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		f(t, &testCluster{t, logtest.New()})
	})
}

func (cluster *testCluster) node(name string, opts ...Option) *Node {
	cluster.t.Helper()
	opts = append([]Option{WithSeed(uint64(len(name)) + uint64(name[0]))}, opts...)
	n, err := New(cluster.log.Client(name), Config{Name: name}, opts...)
	if err != nil {
		cluster.t.Fatal(err)
	}
	if err := n.Start(cluster.t.Context()); err != nil {
		cluster.t.Fatal(err)
	}
	cluster.t.Cleanup(func() { cluster.stop(n) })
	return n
}

func (cluster *testCluster) stop(n *Node) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := n.Stop(ctx); err != nil {
		cluster.t.Error(err)
	}
}

func put(key record.Key, nonce byte) record.Record {
	return record.Record{Kind: record.KindPut, Key: key, Nonce: record.Nonce{nonce}, Value: []byte{nonce}}
}

// within returns a context that ends after d or with the test.
func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func (cluster *testCluster) mustPut(n *Node, r record.Record, want Outcome) Result {
	cluster.t.Helper()
	res := n.Put(within(cluster.t, 10*time.Second), r)
	if res.Outcome != want {
		cluster.t.Fatalf("%s by %s: outcome %d, want %d", r.Key, n.cfg.Name, res.Outcome, want)
	}
	return res
}

// TestOneOfTwoWins guards against two winners of one key, and against a loser that
// is told of another winner.
func TestOneOfTwoWins(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a, b := cluster.node("a"), cluster.node("b")
		results := make(chan Result, 2)
		for i, n := range []*Node{a, b} {
			go func() { results <- n.Put(cluster.t.Context(), put("session/x", byte(i+1))) }()
		}
		first, second := <-results, <-results
		if first.Outcome+second.Outcome != OutcomeWon+OutcomeLost {
			t.Fatalf("outcomes %d and %d, want one won and one lost", first.Outcome, second.Outcome)
		}
		if first.Register.Nonce != second.Register.Nonce {
			t.Error("the results name different winners")
		}
		synctest.Wait()
		if a.Digest() != b.Digest() || a.Digest().NextOffset == 0 {
			t.Errorf("digests differ or are empty: %+v and %+v", a.Digest(), b.Digest())
		}
	})
}

// TestFaultsOfOneAppend guards against a wrong outcome of a Put whose append
// fails. after is the outcome of another node's Put of the key a minute later:
// it wins only if the first Put had no effect.
func TestFaultsOfOneAppend(t *testing.T) {
	tests := map[string]struct {
		fault func(*logtest.Log)
		want  Outcome
		after Outcome
	}{
		"lost reply":         {func(l *logtest.Log) { l.LoseReplies(1) }, OutcomeWon, OutcomeLost},
		"lost before effect": {func(l *logtest.Log) { l.LoseAppends(1) }, OutcomeWon, OutcomeLost},
		"lost three times":   {func(l *logtest.Log) { l.LoseAppends(3) }, OutcomeWon, OutcomeLost},
		"refused":            {func(l *logtest.Log) { l.RefuseAppends(1) }, OutcomeVoid, OutcomeWon},
		"down":               {func(l *logtest.Log) { l.SetDown(true) }, OutcomeVoid, OutcomeWon},
		"slow":               {func(l *logtest.Log) { l.SetSlow(time.Second) }, OutcomeWon, OutcomeLost},
		"too slow":           {func(l *logtest.Log) { l.SetSlow(time.Minute) }, OutcomeUnknown, OutcomeWon},
		"lost, then refused": {func(l *logtest.Log) { l.FailAppends(logtest.AppendLost, logtest.AppendRefused) }, OutcomeWon, OutcomeLost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, cluster *testCluster) {
				a, b := cluster.node("a"), cluster.node("b")
				<-a.Ready()
				<-b.Ready()
				tt.fault(cluster.log)
				cluster.mustPut(a, put("session/x", 1), tt.want)
				cluster.log.SetDown(false)
				cluster.log.SetSlow(0)
				time.Sleep(time.Minute)
				cluster.mustPut(b, put("session/x", 2), tt.after)
			})
		})
	}
}

// TestVoidIsAtOnceWhileDown guards against Puts that wait for their deadlines
// while the log is known to be down.
func TestVoidIsAtOnceWhileDown(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a := cluster.node("a")
		<-a.Ready()
		cluster.log.SetDown(true)
		began := time.Now()
		for i := range 20 {
			cluster.mustPut(a, put("session/x", byte(i+1)), OutcomeVoid)
		}
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("20 void Puts took %v, want at most 100ms", took)
		}
	})
}

// TestReleaseOfUnknown guards against a released Put that still wins because its
// append takes effect after the call of Release.
func TestReleaseOfUnknown(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a, b := cluster.node("a"), cluster.node("b")
		<-a.Ready()
		cluster.log.SetSlow(1900 * time.Millisecond)
		res := a.Put(within(t, 100*time.Millisecond), put("session/x", 1))
		if res.Outcome != OutcomeUnknown {
			t.Fatalf("outcome %d of a Put whose caller stopped waiting during the append, want unknown", res.Outcome)
		}
		a.Release("session/x", record.Nonce{1})
		cluster.log.SetSlow(0)
		time.Sleep(10 * time.Second)
		for _, n := range []*Node{a, b} {
			if reg, ok := n.Lookup("session/x"); ok {
				t.Errorf("%s still has the released register: %+v", n.cfg.Name, reg)
			}
		}
		if len(cluster.log.Entries()) != 2 {
			t.Errorf("%d entries, want the Put and the Release", len(cluster.log.Entries()))
		}
		cluster.mustPut(b, put("session/x", 2), OutcomeWon)
		if len(a.proposals.pendingReleases) != 0 {
			t.Error("a Release that was read back is still pending")
		}
	})
}

// TestReleaseHoldsLocallyAtOnce guards against a released register that its own
// process still sees while the log is down, and against a Release that an outage
// loses.
func TestReleaseHoldsLocallyAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a := cluster.node("a")
		cluster.mustPut(a, put("session/x", 1), OutcomeWon)
		cluster.log.SetDown(true)
		a.Release("session/x", record.Nonce{1})
		if _, ok := a.Lookup("session/x"); ok {
			t.Error("a released register is still visible")
		}
		time.Sleep(time.Minute)
		cluster.log.SetDown(false)
		time.Sleep(time.Minute)
		b := cluster.node("b")
		<-b.Ready()
		if _, ok := b.Lookup("session/x"); ok {
			t.Error("the release did not reach the log after the outage")
		}
	})
}

// TestReleaseEndsTheWait guards against a Put that keeps waiting, or wins, after
// a Release during its append.
func TestReleaseEndsTheWait(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a := cluster.node("a")
		<-a.Ready()
		cluster.log.SetSlow(time.Second)
		done := make(chan Result)
		go func() { done <- a.Put(t.Context(), put("session/x", 1)) }()
		synctest.Wait()
		a.Release("session/x", record.Nonce{1})
		if res := <-done; res.Outcome != OutcomeVoid {
			t.Errorf("outcome %d of the released Put, want void", res.Outcome)
		}
		time.Sleep(time.Minute)
		if _, ok := a.Lookup("session/x"); ok {
			t.Error("the released Put won")
		}
	})
}

// TestPutNotHandedToTheLogIsVoid guards against a Put that is reported as unknown,
// or is appended later, although it was never handed to the log: the node is not
// started, its queue is full, or it has stopped.
func TestPutNotHandedToTheLogIsVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		n, err := New(log.Client("a"), Config{Name: "a", MaxQueue: 1})
		if err != nil {
			t.Fatal(err)
		}
		if res := n.Put(within(t, time.Second), put("session/x", 1)); res.Outcome != OutcomeVoid {
			t.Errorf("node not started: outcome %d, want void", res.Outcome)
		}
		if res := n.Put(within(t, time.Second), put("session/y", 1)); res.Outcome != OutcomeVoid {
			t.Errorf("queue full: outcome %d, want void", res.Outcome)
		}
		if err := n.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if err := n.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		if len(log.Entries()) != 0 {
			t.Error("a void Put was appended")
		}
		if res := n.Put(t.Context(), put("session/x", 2)); res.Outcome != OutcomeVoid {
			t.Errorf("node stopped: outcome %d, want void", res.Outcome)
		}
	})
}

// TestAppendBudget guards against eight instances under full load exceeding
// the budget of appends per second, and against an idle instance delaying its
// first append.
func TestAppendBudget(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		const seconds = 10
		var nodes []*Node
		for i := range 8 {
			nodes = append(nodes, cluster.node(fmt.Sprintf("n%d", i)))
		}
		began := time.Now()
		cluster.mustPut(nodes[0], put("session/idle", 1), OutcomeWon)
		if took := time.Since(began); took > time.Millisecond {
			t.Errorf("the first Put of an idle writer took %v, want at most 1ms", took)
		}
		before := cluster.log.AppendCount()
		var wg sync.WaitGroup
		ctx := within(t, seconds*time.Second)
		for i, n := range nodes {
			for j := range 5 {
				wg.Go(func() {
					for k := 0; ctx.Err() == nil; k++ {
						n.Put(ctx, put(record.Key(fmt.Sprintf("session/%d-%d-%d", i, j, k)), 1))
					}
				})
			}
		}
		wg.Wait()
		rate := float64(cluster.log.AppendCount()-before) / seconds
		if rate > defaultAppendBudget+1 {
			t.Errorf("%.1f appends per second, want at most one more than the budget", rate)
		}
		if rate < defaultAppendBudget/2 {
			t.Errorf("%.1f appends per second: less than half of the budget is used", rate)
		}
	})
}

// TestPlannedStopWaitsForReadBack guards against a planned stop that ends
// before a Put under way was read back: the tail's poll is slow at that
// moment.
func TestPlannedStopWaitsForReadBack(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a := cluster.node("a")
		<-a.Ready()
		synctest.Wait()
		// The tail's second poll starts at 1 s and lasts until 1.3 s.
		cluster.log.SetSlow(300 * time.Millisecond)
		time.Sleep(1050 * time.Millisecond)
		cluster.log.SetSlow(0)
		done := make(chan Result, 1)
		go func() { done <- a.Put(t.Context(), put("session/x", 1)) }()
		synctest.Wait()
		cluster.stop(a)
		if res := <-done; res.Outcome != OutcomeWon {
			t.Errorf("outcome %d of a Put during a planned stop, want won", res.Outcome)
		}
	})
}

// TestNoSecondCopyWhileUnread guards against a Put that is sent again before the
// tail could have read it back: its reply is lost while the tail is slow.
func TestNoSecondCopyWhileUnread(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a := cluster.node("a")
		<-a.Ready()
		synctest.Wait()
		// The tail's second poll starts at 1 s and lasts until 2.8 s.
		cluster.log.SetSlow(1800 * time.Millisecond)
		time.Sleep(1050 * time.Millisecond)
		cluster.log.SetSlow(0)
		cluster.log.FailAppends(logtest.AppendReplyLost)
		cluster.mustPut(a, put("session/x", 1), OutcomeWon)
		if n := len(cluster.log.Entries()); n != 1 {
			t.Errorf("%d copies in the log, want 1", n)
		}
	})
}

// TestLateCopyOfALostPut guards against a Put that wins after its caller was told
// that it lost: the first copy is delayed for seconds, the second one loses, and
// the first arrives after the winner was released.
func TestLateCopyOfALostPut(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a, b := cluster.node("a"), cluster.node("b")
		cluster.mustPut(b, put("session/x", 2), OutcomeWon)
		cluster.log.FailAppends(logtest.AppendDelayed)
		cluster.mustPut(a, put("session/x", 1), OutcomeLost)
		b.Release("session/x", record.Nonce{2})
		time.Sleep(2 * logtest.AppendDelay)
		if reg, ok := b.Lookup("session/x"); ok {
			t.Errorf("the late copy won: %+v", reg)
		}
	})
}

// countingObserver counts heads read and failed reads.
type countingObserver struct{ heads, failures atomic.Int64 }

func (s *countingObserver) HeadRead(time.Time, uint64) { s.heads.Add(1) }
func (s *countingObserver) Folded(uint64)              {}
func (s *countingObserver) ReadFailed(time.Time)       { s.failures.Add(1) }

// TestRegressedHeadIsNotTrusted guards against trusting a log that was wiped:
// its head must not confirm the folded state or undo it, and a Put appended to
// it must not be reported as won.
func TestRegressedHeadIsNotTrusted(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		var seen countingObserver
		a := cluster.node("a", WithObserver(&seen))
		cluster.mustPut(a, put("session/x", 1), OutcomeWon)
		cluster.mustPut(a, put("session/y", 1), OutcomeWon)
		cluster.log.Wipe()
		time.Sleep(2 * time.Second)
		heads := seen.heads.Load()
		cluster.mustPut(a, put("session/x", 2), OutcomeUnknown)
		time.Sleep(5 * time.Second)
		if seen.heads.Load() != heads || seen.failures.Load() == 0 {
			t.Errorf("%d heads confirmed after the wipe, %d failed reads, want none confirmed and some failed", seen.heads.Load()-heads, seen.failures.Load())
		}
		if s := a.Status(); s.LogReachable || s.NextOffset != 2 {
			t.Errorf("status after the wipe: %+v, want the log unreachable and next offset 2", s)
		}
	})
}

// TestStopFlushesReleases guards against a stop that drops queued Releases, so that
// their registers stay taken.
func TestStopFlushesReleases(t *testing.T) {
	inBubble(t, func(t *testing.T, cluster *testCluster) {
		a, b := cluster.node("a"), cluster.node("b")
		cluster.mustPut(a, put("session/x", 1), OutcomeWon)
		a.Release("session/x", record.Nonce{1})
		cluster.stop(a)
		time.Sleep(time.Second)
		if _, ok := b.Lookup("session/x"); ok {
			t.Error("the stop dropped a queued Release")
		}
	})
}

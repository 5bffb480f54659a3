package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
)

// Guards against a bill that is lost or exported twice: its Put is repeated after a
// fault of the log that leaves the first outcome void or unknown.
func TestWriterUnderFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(*logtest.Log)
		first node.Outcome
	}{
		"none":               {func(*logtest.Log) {}, node.OutcomeWon},
		"reply lost":         {func(l *logtest.Log) { l.LoseReplies(1) }, node.OutcomeUnknown},
		"lost before effect": {func(l *logtest.Log) { l.LoseAppends(1) }, node.OutcomeUnknown},
		"refused":            {func(l *logtest.Log) { l.RefuseAppends(1) }, node.OutcomeVoid},
	} {
		synctest.Test(t, func(t *testing.T) {
			log := logtest.New()
			w := NewWriter(log.Client("entry-1"), WriterConfig{Name: "entry-1"})
			ctx, stop := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { w.Run(ctx) })
			c.fault(log)
			bill := &Bill{Team: "weavers", RequestID: "r1"}
			r, err := bill.Record()
			if err != nil {
				t.Fatal(err)
			}
			if got := w.Put(t.Context(), r).Outcome; got != c.first {
				t.Errorf("%s: outcome %v, want %v", name, got, c.first)
			}
			if w.Reachable() != (c.first == node.OutcomeWon) {
				t.Errorf("%s, after the first Put: reachable %v, want true only if it won", name, w.Reachable())
			}
			if got := w.Put(t.Context(), r).Outcome; got != node.OutcomeWon {
				t.Errorf("%s, second Put: outcome %v, want won", name, got)
			}
			stop()
			running.Wait()
			if n := exported(t, log); n != 1 {
				t.Errorf("%s: %d bills exported, want 1", name, n)
			}
		})
	}
}

// exported returns how many bills an export of the whole log has.
func exported(t *testing.T, log *logtest.Log) int {
	t.Helper()
	sum, err := Export(context.Background(), log.Client("reader"), fold.DefaultConfig(), 0, func(ExportedBill) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	return sum.Bills
}

// Many bills put at once must share appends at intervals of Linger; with one append
// for each, they would exceed the budget of appends.
func TestWriterGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bills = 500
		log := logtest.New()
		log.SetSlow(3 * time.Millisecond)
		w := NewWriter(log.Client("entry-1"), WriterConfig{Name: "entry-1", Linger: func() time.Duration { return 40 * time.Millisecond }})
		ctx, stop := context.WithCancel(t.Context())
		var running, putting sync.WaitGroup
		running.Go(func() { w.Run(ctx) })
		for i := range bills {
			putting.Go(func() {
				bill := &Bill{Team: "weavers", RequestID: fmt.Sprint(i)}
				r, err := bill.Record()
				if err != nil {
					t.Error(err)
				}
				if got := w.Put(t.Context(), r).Outcome; got != node.OutcomeWon {
					t.Errorf("bill %d: outcome %v, want won", i, got)
				}
			})
		}
		putting.Wait()
		stop()
		running.Wait()
		if n := log.AppendCount(); n > 3 {
			t.Errorf("%d appends for %d bills put at once, want at most 3", n, bills)
		}
		if n := exported(t, log); n != bills {
			t.Errorf("%d bills exported, want %d", n, bills)
		}
	})
}

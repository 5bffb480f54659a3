package peer

import (
	"context"
	"testing"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

// nodeObserver passes on to a test what a real node reads.
type nodeObserver struct {
	reads chan struct{}
	bills chan fold.Change
}

func (w *nodeObserver) HeadRead(time.Time, uint64) {
	select {
	case w.reads <- struct{}{}:
	default:
	}
}
func (w *nodeObserver) Folded(uint64)        {}
func (w *nodeObserver) ReadFailed(time.Time) {}

// realNode starts a node that follows log until the test ends.
func realNode(t *testing.T, log *logtest.Log, name string) (*node.Node, *nodeObserver) {
	t.Helper()
	w := &nodeObserver{reads: make(chan struct{}, 1), bills: make(chan fold.Change, 100)}
	n, err := node.New(log.Client(name), node.Config{Name: name, Linger: time.Millisecond}, node.WithObserver(w))
	if err != nil {
		t.Fatal(err)
	}
	stop := n.Watch(record.ClassBill, func(c fold.Change) { w.bills <- c })
	if err := n.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = n.Stop(ctx)
		stop()
	})
	<-n.Ready()
	return n, w
}

// realFleet is a fleet whose instances follow log; nodes and seen are by
// instance.
func realFleet(t *testing.T, log *logtest.Log, n int) (f []*testInstance, nodes []*node.Node, seen []*nodeObserver) {
	t.Helper()
	f = newFleetWithStores(t, n, nil, func(name string) node.Store {
		one, w := realNode(t, log, name)
		nodes, seen = append(nodes, one), append(seen, w)
		return one
	})
	return f, nodes, seen
}

// TestBillOutlivesItsInstance checks that a bill held while the log is
// unreachable is written by the peer that has the copy, if the instance that
// made it does nothing more.
func TestBillOutlivesItsInstance(t *testing.T) {
	log := logtest.New()
	f, _, seen := realFleet(t, log, 2)
	log.SetDown(true)
	if err := f[0].Hold(context.Background(), testBill(1)); err != nil {
		t.Fatal(err)
	}
	log.SetDown(false)
	f[1].runUntilFlushed(seen[1])
	if c := <-seen[1].bills; c.Verdict != fold.VerdictWon || c.Register.Nonce != testBill(1).Nonce {
		t.Errorf("got %+v", c)
	}
}

// TestBothCopiesMakeOneBill flushes both copies of a bill, one of them twice.
// Only one bill may result.
func TestBothCopiesMakeOneBill(t *testing.T) {
	f, nodes, seen := realFleet(t, logtest.New(), 2)
	if err := f[0].Hold(context.Background(), testBill(1)); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := f[0].heldBills.AcceptCopy(testBill(1)); err != nil {
			t.Fatal(err)
		}
		if left := f[0].heldBills.Flush(context.Background()); left != 0 {
			t.Error("a bill that is in the log already was not settled")
		}
	}
	for i := range f {
		f[i].runUntilFlushed(seen[i])
		if got := nodes[i].Registers(record.ClassBill); len(got) != 1 {
			t.Errorf("%s: %d bills, want 1", f[i].self.ID, len(got))
		}
	}
}

// runUntilFlushed runs rounds, each after a read of the log, until no bill is
// held.
func (i *testInstance) runUntilFlushed(seen *nodeObserver) {
	for i.HeldBills() > 0 {
		<-seen.reads
		i.runRound()
	}
}

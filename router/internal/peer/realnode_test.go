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

// nodeObserver signals a real node's reads and the bills in its log to a test.
type nodeObserver struct {
	reads chan struct{}
	bills chan fold.Change
}

func (o *nodeObserver) HeadRead(time.Time, uint64) {
	select {
	case o.reads <- struct{}{}:
	default:
	}
}
func (o *nodeObserver) Folded(uint64)        {}
func (o *nodeObserver) ReadFailed(time.Time) {}

// realNode starts a node that follows log until the test ends.
func realNode(t *testing.T, log *logtest.Log, name string) (*node.Node, *nodeObserver) {
	t.Helper()
	observer := &nodeObserver{reads: make(chan struct{}, 1), bills: make(chan fold.Change, 100)}
	n, err := node.New(log.Client(name), node.Config{Name: name, Linger: time.Millisecond}, node.WithObserver(observer))
	if err != nil {
		t.Fatal(err)
	}
	stop := n.Watch(record.ClassBill, func(c fold.Change) { observer.bills <- c })
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
	return n, observer
}

// realFleet returns a fleet whose instances follow log, and their nodes and
// observers in the same order.
func realFleet(t *testing.T, log *logtest.Log, count int) (fleet []*testInstance, nodes []*node.Node, observers []*nodeObserver) {
	t.Helper()
	fleet = newFleetWithStores(t, count, nil, func(name string) node.Store {
		n, observer := realNode(t, log, name)
		nodes, observers = append(nodes, n), append(observers, observer)
		return n
	})
	return fleet, nodes, observers
}

// TestBillOutlivesItsInstance checks that a bill held while the log is
// unreachable is written by the peer that has the copy, if the instance that
// made it does nothing more.
func TestBillOutlivesItsInstance(t *testing.T) {
	log := logtest.New()
	fleet, _, observers := realFleet(t, log, 2)
	log.SetDown(true)
	if err := fleet[0].Hold(context.Background(), testBill(1)); err != nil {
		t.Fatal(err)
	}
	log.SetDown(false)
	fleet[1].runUntilFlushed(observers[1])
	if c := <-observers[1].bills; c.Verdict != fold.VerdictWon || c.Register.Nonce != testBill(1).Nonce {
		t.Errorf("got %+v, want the bill to win with its own nonce", c)
	}
}

// TestBothCopiesMakeOneBill flushes both copies of a bill, one of them twice.
// Only one bill may result.
func TestBothCopiesMakeOneBill(t *testing.T) {
	fleet, nodes, observers := realFleet(t, logtest.New(), 2)
	if err := fleet[0].Hold(context.Background(), testBill(1)); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := fleet[0].heldBills.AcceptCopy(testBill(1)); err != nil {
			t.Fatal(err)
		}
		if left := fleet[0].heldBills.Flush(context.Background()); left != 0 {
			t.Error("a bill that is in the log already is still held after a flush")
		}
	}
	for i := range fleet {
		fleet[i].runUntilFlushed(observers[i])
		if got := nodes[i].Registers(record.ClassBill); len(got) != 1 {
			t.Errorf("%s: %d bills, want 1", fleet[i].self.ID, len(got))
		}
	}
}

// runUntilFlushed runs rounds, each after a read of the log, until no bill is
// held.
func (inst *testInstance) runUntilFlushed(observer *nodeObserver) {
	for inst.HeldBills() > 0 {
		<-observer.reads
		inst.runRound()
	}
}

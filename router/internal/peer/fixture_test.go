package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/freshness"
	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
	"masticplank.example/decision"
	"masticplank.example/router/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTime is the initial time of all instances of a test.
var testTime = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

// fakeStore is a node.Store whose state is set by the test.
type fakeStore struct {
	mu        sync.Mutex
	digest    fold.Digest
	status    node.Status
	snapshot  []byte
	restored  []byte
	outcome   node.Outcome
	puts      []record.Record
	watch     func(fold.Change)
	onRestore chan struct{}
}

func (f *fakeStore) set(change func(*fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeStore) Digest() fold.Digest { f.mu.Lock(); defer f.mu.Unlock(); return f.digest }
func (f *fakeStore) Status() node.Status { f.mu.Lock(); defer f.mu.Unlock(); return f.status }

func (f *fakeStore) Put(_ context.Context, r record.Record) node.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.puts = append(f.puts, r)
	return node.Result{Outcome: f.outcome}
}

func (f *fakeStore) Snapshot() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot, nil
}

var errBadSnapshot = errors.New("bad snapshot")

func (f *fakeStore) Restore(data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !bytes.HasPrefix(data, []byte("good")) {
		return errBadSnapshot
	}
	f.restored = data
	if f.onRestore != nil {
		f.onRestore <- struct{}{}
	}
	return nil
}

func (f *fakeStore) Watch(_ record.Class, w func(fold.Change)) func() {
	f.set(func(f *fakeStore) { f.watch = w })
	return func() {}
}

func (f *fakeStore) Release(record.Key, record.Nonce)        {}
func (f *fakeStore) Lookup(record.Key) (fold.Register, bool) { return fold.Register{}, false }

// testInstance is one instance of a test's fleet.
type testInstance struct {
	*Node
	store   *fakeStore
	events  chan decision.Event
	vouches chan freshness.Vouch

	mu    sync.Mutex
	clock time.Time
}

func (inst *testInstance) now() time.Time { inst.mu.Lock(); defer inst.mu.Unlock(); return inst.clock }

// advance moves the instance's clock forward.
func (inst *testInstance) advance(d time.Duration) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	inst.clock = inst.clock.Add(d)
}

func (inst *testInstance) Vouched(v freshness.Vouch) {
	select {
	case inst.vouches <- v:
	default: // a test that counts them drains the channel
	}
}

func (inst *testInstance) Send(ev decision.Event) { inst.events <- ev }

var domains = []string{"nyarugenge", "gasabo", "kicukiro"}

// newFleet starts n instances on loopback that list each other. They run no
// regular rounds; the test calls runRound.
func newFleet(t testing.TB, n int, tlsOf func(int) *tls.Config) []*testInstance {
	t.Helper()
	return newFleetWithStores(t, n, tlsOf, nil)
}

// newFleetWithStores is newFleet with the stores that storeOf returns for the
// instances' names. If storeOf is nil, each instance has a fakeStore.
func newFleetWithStores(t testing.TB, n int, tlsOf func(int) *tls.Config, storeOf func(string) node.Store) []*testInstance {
	t.Helper()
	list := make([]wire.ListedInstance, n)
	listeners := make([]net.Listener, n)
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = ln
		list[i] = wire.ListedInstance{ID: fmt.Sprintf("i%d", i), Peer: ln.Addr().String(), Domain: domains[i%len(domains)]}
	}
	out := make([]*testInstance, n)
	for i := range n {
		out[i] = startInstance(t, list, i, listeners[i], tlsOf, storeOf)
	}
	return out
}

func startInstance(t testing.TB, list []wire.ListedInstance, i int, ln net.Listener, tlsOf func(int) *tls.Config, storeOf func(string) node.Store) *testInstance {
	t.Helper()
	inst := &testInstance{
		store:   &fakeStore{outcome: node.OutcomeWon, status: node.Status{LogReachable: true, LastHeadRead: testTime}},
		events:  make(chan decision.Event, 100),
		vouches: make(chan freshness.Vouch, 1000),
	}
	// A slow answer on a busy machine must not count as a missing one.
	timeouts := Timeouts{Dial: time.Minute, Call: time.Minute, Hold: time.Minute}
	cfg := Config{Self: list[i], Timeouts: timeouts, Interval: time.Hour, Seed: uint64(i)}
	if tlsOf != nil {
		cfg.TLS = tlsOf(i)
	}
	inst.clock = testTime
	store := node.Store(inst.store)
	if storeOf != nil {
		store = storeOf(list[i].ID)
	}
	inst.Node = New(cfg, Deps{
		Store:     store,
		Instances: func() []wire.ListedInstance { return list },
		Vouches:   inst,
		Events:    inst,
		Now:       inst.now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- inst.Run(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return inst
}

// runRound runs one round and waits for the background work that it starts.
func (inst *testInstance) runRound() {
	inst.Round(context.Background())
	inst.background.Wait()
}

func testBill(n byte) record.Record {
	b := ledger.Bill{Team: "ecole", RequestID: fmt.Sprint(n), CostMicros: 1, Attempts: 1}
	r, err := b.Record()
	if err != nil {
		panic(err)
	}
	return r
}

// fillBills reserves all room for bills; release frees it.
func (inst *testInstance) fillBills(t *testing.T) (release func()) {
	t.Helper()
	var reservations []*ledger.Reservation
	for !inst.HeldBillsFull(0) {
		reservation, err := inst.heldBills.Reserve()
		if err != nil {
			t.Fatal(err)
		}
		reservations = append(reservations, reservation)
	}
	return func() {
		for _, reservation := range reservations {
			reservation.Cancel()
		}
	}
}

// discardEvents drops events.
type discardEvents struct{}

func (discardEvents) Send(decision.Event) {}

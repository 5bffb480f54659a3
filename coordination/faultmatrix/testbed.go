package faultmatrix

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/freshness"
	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

// claimWindow is short, so that a cell can wait until it has passed.
const claimWindow = 20 * time.Second

var foldConfig = fold.Config{ClaimWindow: claimWindow, ClockSkew: 5 * time.Second, Retention: time.Hour}

// testbed runs instances on one in-memory log, in a synctest bubble.
type testbed struct {
	t   *testing.T
	log *logtest.Log
	// instances holds the started instances by name; mu guards it.
	instances map[string]*instance
	mu        sync.Mutex
	stop      chan struct{}
}

// instance is a node with its freshness tracker.
type instance struct {
	*node.Node
	name    string
	tracker *freshness.Tracker
	// A frozen instance does not tick and vouches for nothing; an isolated one
	// exchanges no vouches with its peers.
	frozen   atomic.Bool
	isolated atomic.Bool
}

// fleet lists the live instances, as every tracker is configured.
var fleet = []string{"a", "b", "c"}

func newTestbed(t *testing.T) *testbed {
	b := &testbed{t: t, log: logtest.New(), instances: map[string]*instance{}, stop: make(chan struct{})}
	t.Cleanup(func() {
		close(b.stop)
		for _, in := range b.instances {
			b.kill(in)
		}
	})
	return b
}

// startAsync starts an instance without waiting until it is ready; start waits.
func (b *testbed) startAsync(name string) *instance {
	b.t.Helper()
	in := &instance{name: name, tracker: freshness.New(freshness.Config{Self: name})}
	in.tracker.SetLiveInstances(fleet)
	refuse := func(r record.Record, _ *fold.State) error {
		if string(r.Value) == "invalid" {
			return errors.New("invalid")
		}
		return nil
	}
	// A small page limit makes catching up take several reads.
	cfg := node.Config{Name: name, Fold: foldConfig, PageLimit: 2}
	n, err := node.New(b.log.Client(name), cfg, node.WithSeed(uint64(name[0])),
		node.WithObserver(in.tracker), node.WithValidator(record.ClassManifest, refuse))
	if err == nil {
		err = n.Start(b.t.Context())
	}
	if err != nil {
		b.t.Fatal(err)
	}
	in.Node = n
	b.mu.Lock()
	b.instances[name] = in
	b.mu.Unlock()
	go b.runTicker(in)
	return in
}

func (b *testbed) start(name string) *instance {
	in := b.startAsync(name)
	<-in.Ready()
	return in
}

// runTicker ticks in's tracker and gives it its peers' vouches, every 500 ms.
func (b *testbed) runTicker(in *instance) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case now := <-ticker.C:
			if !in.frozen.Load() {
				in.tracker.Tick(now)
				b.exchangeVouches(in, now)
			}
		}
	}
}

func (b *testbed) exchangeVouches(in *instance, now time.Time) {
	for _, name := range fleet {
		b.mu.Lock()
		peer := b.instances[name]
		b.mu.Unlock()
		if peer == nil || peer == in || peer.isolated.Load() || in.isolated.Load() || peer.frozen.Load() {
			continue
		}
		s := peer.Status()
		v := freshness.Vouch{Peer: name, Head: s.Head, HeadAge: now.Sub(s.LastHeadRead), LogReachable: s.LogReachable}
		in.tracker.Vouched(now, v)
	}
}

// kill ends an instance without flushing its queue.
func (b *testbed) kill(in *instance) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = in.Stop(ctx)
}

// freeze pauses an instance for d: it neither ticks nor reaches the log.
func (b *testbed) freeze(in *instance, d time.Duration) {
	in.frozen.Store(true)
	b.log.SetDisconnected(in.name, true)
	time.Sleep(d)
	b.log.SetDisconnected(in.name, false)
	in.frozen.Store(false)
}

func (b *testbed) put(in *instance, r record.Record, want node.Outcome) node.Result {
	b.t.Helper()
	return b.putWithin(in, 10*time.Second, r, want)
}

func (b *testbed) putWithin(in *instance, d time.Duration, r record.Record, want node.Outcome) node.Result {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	res := in.Put(ctx, r)
	if res.Outcome != want {
		b.t.Fatalf("%s at %s: outcome %d, want %d", r.Key, in.name, res.Outcome, want)
	}
	return res
}

// putAsync starts a Put and returns once all goroutines are blocked.
func (b *testbed) putAsync(in *instance, r record.Record) <-chan node.Result {
	done := make(chan node.Result, 1)
	go func() { done <- in.Put(context.Background(), r) }()
	synctest.Wait()
	return done
}

func (b *testbed) checkMode(in *instance, want freshness.Mode) {
	b.t.Helper()
	if r := in.tracker.Report(time.Now()); r.Mode != want {
		b.t.Errorf("%s reports %+v, want mode %d", in.name, r, want)
	}
}

// checkAgreement waits 5 s and checks that all instances have the same digest.
func (b *testbed) checkAgreement(instances ...*instance) {
	b.t.Helper()
	time.Sleep(5 * time.Second)
	synctest.Wait()
	for _, in := range instances[1:] {
		if in.Digest() != instances[0].Digest() {
			b.t.Errorf("digests differ: %s has %+v, %s has %+v", in.name, in.Digest(), instances[0].name, instances[0].Digest())
		}
	}
}

// claim returns a claim of the cell's one request with the current time.
func claim(nonce byte) record.Record {
	return claimAt(nonce, time.Now())
}

func claimAt(nonce byte, keyTime time.Time) record.Record {
	return record.Record{Key: "claim/t/r", Nonce: record.Nonce{nonce}, KeyTime: keyTime}
}

// manifest returns the Put of a manifest whose parent has the content parent.
func manifest(generation uint64, parent string, nonce byte, value string) record.Record {
	if generation > 1 {
		parent = record.ManifestDigest([]byte(parent))
	}
	return record.Record{Key: record.ManifestKey(generation, parent), Nonce: record.Nonce{nonce}, Value: []byte(value)}
}

func (b *testbed) checkInForce(in *instance, want string) {
	b.t.Helper()
	synctest.Wait()
	if m, _ := in.Manifest(); string(m.Value) != want {
		b.t.Errorf("%s has %q in force, want %q", in.name, m.Value, want)
	}
}

// bill returns the bill of the cell's one request.
func (b *testbed) bill() record.Record {
	b.t.Helper()
	bill := ledger.Bill{Team: "t", RequestID: "r", CostMicros: 5, Attempts: 1}
	r, err := bill.Record()
	if err != nil {
		b.t.Fatal(err)
	}
	return r
}

// checkBilled checks that an export of the log has want bills.
func (b *testbed) checkBilled(want int) {
	b.t.Helper()
	got := 0
	_, err := ledger.Export(context.Background(), b.log.Client("export"), foldConfig, 0, func(ledger.ExportedBill) error {
		got++
		return nil
	})
	if err != nil || got != want {
		b.t.Errorf("%d bills, want %d (error %v)", got, want, err)
	}
}

// holdBill returns a buffer that puts bills through in, holds the cell's bill and
// has no room for another. peer gets a copy unless it is nil.
func (b *testbed) holdBill(in *instance, peer *ledger.Buffer) *ledger.Buffer {
	b.t.Helper()
	var copyTo ledger.CopyFunc
	if peer != nil {
		copyTo = func(_ context.Context, r record.Record) error { return peer.AcceptCopy(r) }
	}
	buf := ledger.NewBuffer(ledger.BufferLimits{MaxBills: 1}, in.Put, copyTo)
	reservation, err := buf.Reserve()
	if err != nil {
		b.t.Fatal(err)
	}
	if copied := reservation.Hold(context.Background(), b.bill()); copied != (peer != nil) {
		b.t.Errorf("bill copied to a peer: %v, want a copy if and only if there is a peer", copied)
	}
	return buf
}

// checkFlush flushes buf and checks how many bills are left in it.
func (b *testbed) checkFlush(buf *ledger.Buffer, wantLeft int) {
	b.t.Helper()
	if got := buf.Flush(context.Background()); got != wantLeft {
		b.t.Errorf("%d bills left, want %d", got, wantLeft)
	}
}

func session(i int) record.Record {
	return record.Record{Key: record.Key(fmt.Sprintf("session/%d", i)), Nonce: record.Nonce{1}, Value: []byte{byte(i)}}
}

package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func bill(request string, cost int64) Bill {
	return Bill{Team: "weave/rs", RequestID: request, Version: "m@1", OutputTokens: 7, CostMicros: cost, Attempts: 1}
}

func mustRecord(t testing.TB, b Bill) record.Record {
	t.Helper()
	r, err := b.Record()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestBillRoundTrip(t *testing.T) {
	b := bill("r/1", 5)
	r := mustRecord(t, b)
	got, err := ParseBill(r)
	if err != nil || got != b {
		t.Fatalf("got %+v, %v", got, err)
	}
	if again := mustRecord(t, b); again.Nonce != r.Nonce {
		t.Error("one bill has two nonces")
	}
	if other := mustRecord(t, bill("r/1", 6)); other.Nonce == r.Nonce || other.Key != r.Key {
		t.Error("another bill of the request is not told apart")
	}
	if BillKey("a/b", "c") == BillKey("a", "b/c") {
		t.Error("two requests share a key")
	}
}

func TestBillRefuses(t *testing.T) {
	for _, b := range []Bill{{}, {Team: "t"}, {Team: "t", RequestID: "r", CostMicros: -1}} {
		if _, err := b.Record(); !errors.Is(err, ErrInvalidBill) {
			t.Errorf("%+v: %v", b, err)
		}
	}
	moved := mustRecord(t, bill("a", 1))
	moved.Key = BillKey("weave/rs", "b")
	junk := record.Record{Kind: record.KindPut, Key: BillKey("t", "r"), Value: []byte("junk")}
	for _, r := range []record.Record{moved, junk, {}} {
		if _, err := ParseBill(r); !errors.Is(err, ErrInvalidBill) {
			t.Errorf("%s: %v", r.Key, err)
		}
	}
}

func inject(t *testing.T, log *logtest.Log, records ...record.Record) {
	t.Helper()
	data, err := record.Encode(record.Batch{Writer: "w", Records: records})
	if err != nil {
		t.Fatal(err)
	}
	log.Inject(data)
}

func export(t *testing.T, log *logtest.Log, from uint64) (map[string]int64, ExportSummary) {
	t.Helper()
	got := map[string]int64{}
	sum, err := Export(t.Context(), log.Client("x"), fold.DefaultConfig(), from, func(l ExportedBill) error {
		if _, twice := got[l.RequestID]; twice {
			t.Errorf("%s is exported twice", l.RequestID)
		}
		got[l.RequestID] = l.CostMicros
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return got, sum
}

func TestExportHasEachBillOnce(t *testing.T) {
	log := logtest.New()
	a, b := mustRecord(t, bill("a", 1)), mustRecord(t, bill("b", 2))
	inject(t, log, a)
	inject(t, log, a, b, mustRecord(t, bill("a", 99)))
	inject(t, log, record.Record{Kind: record.KindRelease, Key: a.Key, Nonce: a.Nonce})
	inject(t, log, a, record.Record{Kind: record.KindPut, Key: BillKey("t", "bad"), Nonce: record.Nonce{1}})
	log.Inject([]byte("junk"))
	got, sum := export(t, log, 0)
	if len(got) != 2 || got["a"] != 1 || got["b"] != 2 {
		t.Errorf("exported %v", got)
	}
	if want := (ExportSummary{FirstOffset: 0, NextOffset: 5, Bills: 2, Duplicates: 3, Malformed: 1}); sum != want {
		t.Errorf("summary %+v, want %+v", sum, want)
	}
	// The next export starts behind it; late copies of what it had are void.
	inject(t, log, b, mustRecord(t, bill("c", 3)))
	log.Trim(1)
	got, sum = export(t, log, sum.NextOffset)
	if len(got) != 1 || got["c"] != 3 || sum.FirstOffset != 1 {
		t.Errorf("second export %v, %+v", got, sum)
	}
}

func TestExportWithTheLogDown(t *testing.T) {
	log := logtest.New()
	log.SetDown(true)
	_, err := Export(t.Context(), log.Client("x"), fold.DefaultConfig(), 0, nil)
	if !errors.Is(err, platformlog.ErrUnavailable) {
		t.Errorf("got %v", err)
	}
}

func TestBufferIsBoundedBeforeTheWork(t *testing.T) {
	b := NewBuffer(BufferLimits{MaxBills: 2}, nil, nil)
	r1, err1 := b.Reserve()
	r2, err2 := b.Reserve()
	if err1 != nil || err2 != nil {
		t.Fatal(err1, err2)
	}
	if _, err := b.Reserve(); !errors.Is(err, ErrBufferFull) {
		t.Errorf("third: %v", err)
	}
	if err := b.AcceptCopy(mustRecord(t, bill("x", 1))); !errors.Is(err, ErrBufferFull) {
		t.Errorf("copy for a peer: %v", err)
	}
	if r1.Hold(t.Context(), mustRecord(t, bill("a", 1))) {
		t.Error("copied to nobody")
	}
	r1.Cancel()
	r2.Cancel()
	r2.Cancel()
	if err := b.AcceptCopy(mustRecord(t, bill("b", 1))); err != nil {
		t.Error(err)
	}
	if _, err := b.Reserve(); !errors.Is(err, ErrBufferFull) || b.Len() != 2 {
		t.Errorf("held %d, %v", b.Len(), err)
	}
	if err := b.AcceptCopy(record.Record{Kind: record.KindPut}); !errors.Is(err, ErrInvalidBill) {
		t.Errorf("junk of a peer: %v", err)
	}
}

// TestBufferIsBoundedInBytes: a reservation counts as the largest bill, and what
// a held bill does not take of it is free again.
func TestBufferIsBoundedInBytes(t *testing.T) {
	first := mustRecord(t, bill("a", 1))
	b := NewBuffer(BufferLimits{MaxBytes: maxHeldBillBytes + sizeOf(first)}, nil, nil)
	room, err := b.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	if !b.Full() {
		t.Error("a second reservation may not find its bytes, but it is not full")
	}
	room.Hold(t.Context(), first)
	if b.Full() {
		t.Error("full, with room for the largest bill")
	}
	if err := b.AcceptCopy(mustRecord(t, bill("b", 1))); err != nil {
		t.Error(err)
	}
	if err := b.AcceptCopy(mustRecord(t, bill("c", 1))); !errors.Is(err, ErrBufferFull) {
		t.Errorf("past the bytes: %v", err)
	}
	long := first
	long.Value = make([]byte, MaxBillBytes+1)
	if err := b.AcceptCopy(long); !errors.Is(err, ErrInvalidBill) {
		t.Errorf("long value: %v", err)
	}
	b.remove(first)
	b.remove(first)
	if b.bytes != sizeOf(mustRecord(t, bill("b", 1))) || b.Full() {
		t.Errorf("%d bytes counted", b.bytes)
	}
}

// TestFullForOpenRequests: each open request counts as a bill to come.
func TestFullForOpenRequests(t *testing.T) {
	for name, limits := range map[string]BufferLimits{
		"in count": {MaxBills: 4},
		"in bytes": {MaxBytes: 4 * maxHeldBillBytes},
	} {
		b := NewBuffer(limits, nil, nil)
		room, err := b.Reserve()
		if err != nil {
			t.Fatal(err)
		}
		for open, want := range []bool{false, false, false, true} {
			if got := b.FullWithOpen(open); got != want {
				t.Errorf("%s: full for %d open: %v", name, open, got)
			}
		}
		room.Cancel()
		if b.FullWithOpen(3) || !b.FullWithOpen(4) {
			t.Errorf("%s: a reservation given back still counts", name)
		}
	}
}

// TestHoldTwice: both copies or an error, and an error takes nothing away that
// was held for a peer.
func TestHoldTwice(t *testing.T) {
	noPeer := func(context.Context, record.Record) error { return errors.New("no peer") }
	kept := 0
	taken := func(context.Context, record.Record) error { kept++; return nil }
	for _, c := range []struct {
		name   string
		copyTo CopyFunc
		before bool
		want   error
		held   int
	}{
		{"both", taken, false, nil, 1},
		{"no peers at all", nil, false, ErrNoCopy, 0},
		{"no peer answers", noPeer, false, ErrNoCopy, 0},
		{"no peer answers, held for one", noPeer, true, ErrNoCopy, 1},
	} {
		b := NewBuffer(BufferLimits{}, nil, c.copyTo)
		r := mustRecord(t, bill("a", 1))
		if c.before {
			if err := b.AcceptCopy(r); err != nil {
				t.Fatal(err)
			}
		}
		room, err := b.Reserve()
		if err != nil {
			t.Fatal(err)
		}
		if err := room.HoldWithCopy(t.Context(), r); !errors.Is(err, c.want) || b.Len() != c.held || b.reserved != 0 {
			t.Errorf("%s: %v, %d held, %d reserved", c.name, err, b.Len(), b.reserved)
		}
		if room.HoldWithCopy(t.Context(), r) == nil {
			t.Errorf("%s: used twice", c.name)
		}
	}
	if kept != 1 {
		t.Errorf("%d copies", kept)
	}
}

// TestFlushAndHandOver: a flush stops at the first failure, keeps what it could
// not settle under the same nonce, and the rest goes to a peer.
func TestFlushAndHandOver(t *testing.T) {
	var mu sync.Mutex
	puts, takes := 0, 0
	put := func(context.Context, record.Record) node.Result {
		mu.Lock()
		defer mu.Unlock()
		puts++
		if puts <= takes {
			return node.Result{Outcome: node.OutcomeLost}
		}
		return node.Result{Outcome: node.OutcomeUnknown}
	}
	b := NewBuffer(BufferLimits{}, put, func(context.Context, record.Record) error { return nil })
	for i := range 10 * flushConcurrency {
		if err := b.AcceptCopy(mustRecord(t, bill(fmt.Sprint(i), 1))); err != nil {
			t.Fatal(err)
		}
	}
	if left := b.Flush(t.Context()); left != 10*flushConcurrency || puts != 1 {
		t.Errorf("log down: %d left after %d puts", left, puts)
	}
	puts, takes = 0, 5
	if left := b.Flush(t.Context()); left != 10*flushConcurrency-5 || puts > 5+2*flushConcurrency {
		t.Errorf("log down midway: %d left after %d puts", left, puts)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if left := b.HandOver(ended); left != 10*flushConcurrency-5 {
		t.Errorf("no time: %d left", left)
	}
	if left := b.HandOver(t.Context()); left != 0 || b.bytes != 0 {
		t.Errorf("%d left in %d bytes", left, b.bytes)
	}
}

// TestOutage: bills of an outage reach the log once each, from the instance and
// from its peer, also where the instance is gone before the log is back.
func TestOutage(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprintf("killed=%v", killed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logtest.New()
				start := func(name string) *node.Node {
					n, err := node.New(log.Client(name), node.Config{Name: name}, node.WithSeed(1))
					if err != nil {
						t.Fatal(err)
					}
					if err := n.Start(t.Context()); err != nil {
						t.Fatal(err)
					}
					<-n.Ready()
					return n
				}
				a, b := start("a"), start("b")
				peer := NewBuffer(BufferLimits{}, b.Put, nil)
				own := NewBuffer(BufferLimits{}, a.Put, func(_ context.Context, r record.Record) error { return peer.AcceptCopy(r) })
				log.SetDown(true)
				for i := range 500 {
					res, err := own.Reserve()
					if err != nil {
						t.Fatal(err)
					}
					if !res.Hold(t.Context(), mustRecord(t, bill(fmt.Sprint(i), int64(i)))) {
						t.Fatal("no copy")
					}
				}
				if left := own.Flush(t.Context()); left != 500 {
					t.Errorf("%d left while down", left)
				}
				log.SetDown(false)
				time.Sleep(10 * time.Second)
				var wg sync.WaitGroup
				if killed {
					_ = a.Stop(t.Context())
				} else {
					wg.Go(func() { own.Flush(t.Context()) })
				}
				wg.Go(func() { peer.Flush(t.Context()) })
				wg.Wait()
				if peer.Len() != 0 || !killed && own.Len() != 0 {
					t.Errorf("left: own %d, peer %d", own.Len(), peer.Len())
				}
				if got, _ := export(t, log, 0); len(got) != 500 {
					t.Errorf("%d bills exported", len(got))
				}
				if n := log.Appends(); n > 20 {
					t.Errorf("%d appends for the flush", n)
				}
				_ = a.Stop(t.Context())
				_ = b.Stop(t.Context())
			})
		})
	}
}

func FuzzParse(f *testing.F) {
	good := mustRecord(f, bill("a", 1))
	f.Add(string(good.Key), good.Value)
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		b, err := ParseBill(record.Record{Kind: record.KindPut, Key: record.Key(key), Value: value})
		if err != nil {
			return
		}
		if r := mustRecord(t, b); string(r.Key) != key {
			t.Errorf("key %q became %q", key, r.Key)
		}
	})
}

// TestLateCopyIsVoidAtTheReader appends a bill twice, hours apart: instances have
// forgotten the first one by then, the ledger's reader has not.
func TestLateCopyIsVoidAtTheReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		w := NewWriter(log.Client("entry-1"), WriterConfig{Name: "entry-1"})
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { w.Run(ctx) })
		for _, tokens := range []uint64{5, 7} {
			bill := &Bill{Team: "weavers", RequestID: "r1", OutputTokens: tokens}
			r, err := bill.Record()
			if err != nil {
				t.Fatal(err)
			}
			w.Put(t.Context(), r)
			time.Sleep(3 * time.Hour)
		}
		stop()
		running.Wait()
		var got []uint64
		for _, cfg := range []fold.Config{{}, fold.DefaultConfig()} {
			got = nil
			_, err := Export(t.Context(), log.Client("reader"), cfg, 0, func(l ExportedBill) error {
				got = append(got, l.OutputTokens)
				return nil
			})
			if err != nil || !slices.Equal(got, []uint64{5}) {
				t.Errorf("bills %v, error %v", got, err)
			}
		}
	})
}

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

// Guards against a bill that changes between its encoding and decoding, and against
// two requests that share a key.
func TestBillRoundTrip(t *testing.T) {
	b := bill("r/1", 5)
	r := mustRecord(t, b)
	got, err := ParseBill(r)
	if err != nil || got != b {
		t.Fatalf("bill after a round trip: %+v, error %v", got, err)
	}
	if again := mustRecord(t, b); again.Nonce != r.Nonce {
		t.Error("two records of one bill have different nonces")
	}
	if other := mustRecord(t, bill("r/1", 6)); other.Nonce == r.Nonce || other.Key != r.Key {
		t.Error("another bill of the request does not have the same key and another nonce")
	}
	if BillKey("a/b", "c") == BillKey("a", "b/c") {
		t.Error("two requests have the same key")
	}
}

// Guards against an incomplete bill that is appended, and against a record that is
// taken for the bill of another request.
func TestBillRefuses(t *testing.T) {
	for _, b := range []Bill{{}, {Team: "t"}, {Team: "t", RequestID: "r", CostMicros: -1}} {
		if _, err := b.Record(); !errors.Is(err, ErrInvalidBill) {
			t.Errorf("record of %+v: error %v, want ErrInvalidBill", b, err)
		}
	}
	moved := mustRecord(t, bill("a", 1))
	moved.Key = BillKey("weave/rs", "b")
	junk := record.Record{Kind: record.KindPut, Key: BillKey("t", "r"), Value: []byte("junk")}
	for _, r := range []record.Record{moved, junk, {}} {
		if _, err := ParseBill(r); !errors.Is(err, ErrInvalidBill) {
			t.Errorf("parsing %s: error %v, want ErrInvalidBill", r.Key, err)
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
	sum, err := Export(t.Context(), log.Client("x"), fold.DefaultConfig(), from, func(b ExportedBill) error {
		if _, twice := got[b.RequestID]; twice {
			t.Errorf("bill of %s exported twice", b.RequestID)
		}
		got[b.RequestID] = b.CostMicros
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return got, sum
}

// Guards against a bill that is exported twice or not at all: the log holds retries
// of it, another bill of the request, and a Release, and is trimmed between two
// exports.
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
		t.Errorf("exported costs %v, want 1 for a and 2 for b", got)
	}
	if want := (ExportSummary{FirstOffset: 0, NextOffset: 5, Bills: 2, Duplicates: 3, Malformed: 1}); sum != want {
		t.Errorf("summary %+v, want %+v", sum, want)
	}
	// The next export starts after this one; late duplicates of its bills are void.
	inject(t, log, b, mustRecord(t, bill("c", 3)))
	log.Trim(1)
	got, sum = export(t, log, sum.NextOffset)
	if len(got) != 1 || got["c"] != 3 || sum.FirstOffset != 1 {
		t.Errorf("second export: costs %v, summary %+v, want 3 for c only and first offset 1", got, sum)
	}
}

// An export must fail if it can't read the log. An empty export without an error
// would pass for a ledger without bills.
func TestExportWithTheLogDown(t *testing.T) {
	log := logtest.New()
	log.SetDown(true)
	_, err := Export(t.Context(), log.Client("x"), fold.DefaultConfig(), 0, nil)
	if !errors.Is(err, platformlog.ErrUnavailable) {
		t.Errorf("export with the log down: error %v, want ErrUnavailable", err)
	}
}

// Room is reserved before a request runs. Without that, a bill could find the
// buffer full and be lost.
func TestBufferIsBoundedInBills(t *testing.T) {
	b := NewBuffer(BufferLimits{MaxBills: 2}, nil, nil)
	r1, err1 := b.Reserve()
	r2, err2 := b.Reserve()
	if err1 != nil || err2 != nil {
		t.Fatal(err1, err2)
	}
	if _, err := b.Reserve(); !errors.Is(err, ErrBufferFull) {
		t.Errorf("third reservation with room for two: error %v, want ErrBufferFull", err)
	}
	if err := b.AcceptCopy(mustRecord(t, bill("x", 1))); !errors.Is(err, ErrBufferFull) {
		t.Errorf("copy for a peer with all room reserved: error %v, want ErrBufferFull", err)
	}
	if r1.Hold(t.Context(), mustRecord(t, bill("a", 1))) {
		t.Error("Hold reports a copy without a peer")
	}
	r1.Cancel()
	r2.Cancel()
	r2.Cancel()
	if err := b.AcceptCopy(mustRecord(t, bill("b", 1))); err != nil {
		t.Error(err)
	}
	if _, err := b.Reserve(); !errors.Is(err, ErrBufferFull) || b.Len() != 2 {
		t.Errorf("%d bills held, reservation error %v, want 2 held and ErrBufferFull", b.Len(), err)
	}
	if err := b.AcceptCopy(record.Record{Kind: record.KindPut}); !errors.Is(err, ErrInvalidBill) {
		t.Errorf("malformed copy of a peer: error %v, want ErrInvalidBill", err)
	}
}

// A reservation counts as a bill of the maximum size; what the held bill does
// not need of it is free again. Otherwise bills could exceed the memory limit,
// or a buffer with room would refuse work.
func TestBufferIsBoundedInBytes(t *testing.T) {
	first := mustRecord(t, bill("a", 1))
	b := NewBuffer(BufferLimits{MaxBytes: maxHeldBillBytes + sizeOf(first)}, nil, nil)
	room, err := b.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	if !b.Full() {
		t.Error("not full, although a second reservation would exceed the bytes")
	}
	room.Hold(t.Context(), first)
	if b.Full() {
		t.Error("full, although a bill of the maximum size fits")
	}
	if err := b.AcceptCopy(mustRecord(t, bill("b", 1))); err != nil {
		t.Error(err)
	}
	if err := b.AcceptCopy(mustRecord(t, bill("c", 1))); !errors.Is(err, ErrBufferFull) {
		t.Errorf("copy that exceeds the bytes: error %v, want ErrBufferFull", err)
	}
	long := first
	long.Value = make([]byte, MaxBillBytes+1)
	if err := b.AcceptCopy(long); !errors.Is(err, ErrInvalidBill) {
		t.Errorf("copy with a value that is too long: error %v, want ErrInvalidBill", err)
	}
	b.remove(first)
	b.remove(first)
	if b.bytes != sizeOf(mustRecord(t, bill("b", 1))) || b.Full() {
		t.Errorf("%d bytes counted after a double removal, want those of one bill, and room for another", b.bytes)
	}
}

// Each open request counts as a bill to come, since all of them may end while
// the log is unreachable.
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
				t.Errorf("%s: full with %d open requests: %v, want full with 3 only", name, open, got)
			}
		}
		room.Cancel()
		if b.FullWithOpen(3) || !b.FullWithOpen(4) {
			t.Errorf("%s: a cancelled reservation still counts", name)
		}
	}
}

// Guards against HoldWithCopy that succeeds without a copy at a peer, and against
// one that fails and drops a bill that was held for a peer before.
func TestHoldWithCopy(t *testing.T) {
	noPeer := func(context.Context, record.Record) error { return errors.New("no peer") }
	copies := 0
	accept := func(context.Context, record.Record) error { copies++; return nil }
	for _, c := range []struct {
		name   string
		copyTo CopyFunc
		before bool
		want   error
		held   int
	}{
		{"both", accept, false, nil, 1},
		{"no peers configured", nil, false, ErrNoCopy, 0},
		{"no peer answers", noPeer, false, ErrNoCopy, 0},
		{"no peer answers, bill held for a peer before", noPeer, true, ErrNoCopy, 1},
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
			t.Errorf("%s: error %v, %d bills held, %d reserved; want the case's error and bills, none reserved", c.name, err, b.Len(), b.reserved)
		}
		if room.HoldWithCopy(t.Context(), r) == nil {
			t.Errorf("%s: the reservation could be used twice", c.name)
		}
	}
	if copies != 1 {
		t.Errorf("%d copies at the peer, want 1", copies)
	}
}

// Guards against a flush that drops bills which it could not put or goes on after
// the first failure, and against a hand-over that leaves bills although a peer
// accepts them.
func TestFlushAndHandOver(t *testing.T) {
	var mu sync.Mutex
	puts, accepted := 0, 0
	put := func(context.Context, record.Record) node.Result {
		mu.Lock()
		defer mu.Unlock()
		puts++
		if puts <= accepted {
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
		t.Errorf("log down: %d bills left after %d Puts, want all left after one", left, puts)
	}
	puts, accepted = 0, 5
	if left := b.Flush(t.Context()); left != 10*flushConcurrency-5 || puts > 5+2*flushConcurrency {
		t.Errorf("log down during the flush: %d bills left after %d Puts, want all but five left and few Puts after the first failure", left, puts)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if left := b.HandOver(ended); left != 10*flushConcurrency-5 {
		t.Errorf("hand-over with its context ended: %d bills left, want all that the flush left", left)
	}
	if left := b.HandOver(t.Context()); left != 0 || b.bytes != 0 {
		t.Errorf("hand-over: %d bills of %d bytes left, want none", left, b.bytes)
	}
}

// Guards against a bill of an outage that is lost or exported twice: the instance
// and its peer both hold it and both flush it, or the instance ends before its
// flush.
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
						t.Fatal("the peer has no copy of the bill")
					}
				}
				if left := own.Flush(t.Context()); left != 500 {
					t.Errorf("%d bills left while the log is down, want 500", left)
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
					t.Errorf("bills left after the flushes: own %d, peer %d, want none that a running instance holds", own.Len(), peer.Len())
				}
				if got, _ := export(t, log, 0); len(got) != 500 {
					t.Errorf("%d bills exported, want 500", len(got))
				}
				if n := log.AppendCount(); n > 20 {
					t.Errorf("%d appends for flushing 500 bills, want at most 20", n)
				}
				_ = a.Stop(t.Context())
				_ = b.Stop(t.Context())
			})
		})
	}
}

// Guards against a panic on any record, and against a bill that is accepted under
// the key of another request.
func FuzzParse(f *testing.F) {
	good := mustRecord(f, bill("a", 1))
	f.Add(string(good.Key), good.Value)
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		b, err := ParseBill(record.Record{Kind: record.KindPut, Key: record.Key(key), Value: value})
		if err != nil {
			return
		}
		if r := mustRecord(t, b); string(r.Key) != key {
			t.Errorf("key %q is %q after a round trip", key, r.Key)
		}
	})
}

// Guards against a request that is billed twice: its second bill is appended
// hours after the first, when the instances have forgotten that one. The reader
// of the ledger must still void the second bill.
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
			_, err := Export(t.Context(), log.Client("reader"), cfg, 0, func(b ExportedBill) error {
				got = append(got, b.OutputTokens)
				return nil
			})
			if err != nil || !slices.Equal(got, []uint64{5}) {
				t.Errorf("output tokens of the exported bills %v, error %v, want those of the first bill only", got, err)
			}
		}
	})
}

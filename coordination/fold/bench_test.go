package fold

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"masticplank.example/coordination/platformlog"
	"masticplank.example/coordination/record"
)

// recordsPerBatch is how many records a group commit carries under load.
const recordsPerBatch = 100

// workload generates batches of new keys at such a rate that n keys are live in
// the steady state, where each new register replaces one that expires.
type workload struct {
	n        int
	next     int
	lifetime time.Duration
}

func newWorkload(n int) *workload {
	return &workload{n: n, lifetime: 10 * time.Hour}
}

func (w *workload) batch() (time.Time, record.Batch) {
	b := record.Batch{Writer: "instance-1"}
	for range recordsPerBatch {
		r := record.Record{
			Kind:     record.KindPut,
			Key:      record.Key(fmt.Sprintf("session/team-%02d/018f9c1e-7b2a-7c3d-9e4f-%012d", w.next%10, w.next)),
			Value:    []byte("model-a@2026-11"),
			Lifetime: w.lifetime,
		}
		r.Nonce = record.Nonce{1, byte(w.next), byte(w.next >> 8), byte(w.next >> 16), byte(w.next >> 24)}
		b.Records = append(b.Records, r)
		w.next++
	}
	at := start.Add(time.Duration(float64(w.lifetime) / float64(w.n) * float64(w.next)))
	return at, b
}

// fill folds batches until n keys are live.
func fill(b *testing.B, w *workload) *State {
	s := New(DefaultConfig(), Options{})
	for w.next < w.n {
		at, batch := w.batch()
		if _, err := s.ApplyBatch(s.next, at, &batch, nil); err != nil {
			b.Fatal(err)
		}
	}
	return s
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFold measures the cost of one record in a steady state of n live
// keys, for batches that are decoded already (fold) and for encoded ones
// (decode+fold).
func BenchmarkFold(b *testing.B) {
	for _, n := range []int{1_000, 100_000, 1_000_000} {
		for _, decode := range []bool{false, true} {
			name := fmt.Sprintf("keys=%d/fold", n)
			if decode {
				name = fmt.Sprintf("keys=%d/decode+fold", n)
			}
			b.Run(name, func(b *testing.B) { benchFold(b, n, decode) })
		}
	}
}

func benchFold(b *testing.B, n int, decode bool) {
	before := heapInUse()
	w := newWorkload(n)
	s := fill(b, w)
	perKey := float64(heapInUse()-before) / float64(n)
	const chunk = 1000
	var out []Change
	batches := make([]record.Batch, chunk)
	entries := make([]platformlog.Entry, chunk)
	b.ResetTimer()
	for done := 0; done < b.N; {
		b.StopTimer()
		for i := range chunk {
			entries[i].Time, batches[i] = w.batch()
			if decode {
				entries[i].Data, _ = record.Encode(batches[i])
			}
		}
		b.StartTimer()
		for i := 0; i < chunk && done < b.N; i++ {
			entries[i].Offset = s.next
			var err error
			if decode {
				out, err = s.Apply(entries[i], out[:0])
			} else {
				out, err = s.ApplyBatch(s.next, entries[i].Time, &batches[i], out[:0])
			}
			if err != nil {
				b.Fatal(err)
			}
			done += recordsPerBatch
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
	b.ReportMetric(perKey, "B/key")
	runtime.KeepAlive(s)
}

// BenchmarkSnapshot measures encoding and restoring a snapshot, and its size
// per key.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1_000, 100_000} {
		s := fill(b, newWorkload(n))
		b.Run(fmt.Sprintf("encode/keys=%d", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "B/key")
		})
		data, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("restore/keys=%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Restore(DefaultConfig(), Options{}, data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

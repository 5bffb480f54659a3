package report

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRecord measures the cost of recording one ended request.
func BenchmarkRecord(b *testing.B) {
	r := NewRecorder(time.Now)
	r.SetObjectives(1, agencyObjectives)
	s := served("ecoles", "m@1", 100*time.Millisecond)
	for b.Loop() {
		r.Record(s)
	}
}

// BenchmarkSnapshot measures the cost of one snapshot, and the memory that each team
// takes after six busy hours with four versions.
func BenchmarkSnapshot(b *testing.B) {
	for _, teams := range []int{10, 100} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			before := heap()
			c := &clock{begin}
			r := NewRecorder(c.now)
			for i := range slotCount {
				c.t = begin.Add(time.Duration(i) * slotSpan)
				for t := range teams {
					for v := range 4 {
						r.Record(served(fmt.Sprint("team-", t), fmt.Sprint("m@", v), time.Duration(1+i)*time.Millisecond))
					}
				}
			}
			size := float64(heap()-before) / float64(teams)
			for b.Loop() {
				if _, err := r.Snapshot("i"); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(size, "B/team")
			runtime.KeepAlive(r)
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

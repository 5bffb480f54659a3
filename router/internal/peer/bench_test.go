package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"sync"
	"syscall"
	"testing"
	"time"

	"masticplank.example/coordination/fold"
)

// BenchmarkIdle runs the rounds of an idle fleet in one process; one round
// corresponds to one interval. It reports, per instance and round, the bytes
// sent and received (with TLS, below it) and the CPU time of the whole process.
// At the default interval of 1 s, bytes/round equals bytes/s.
func BenchmarkIdle(b *testing.B) {
	ca := newAuthority(b)
	secure := func(int) *tls.Config { return ca.config(b, "127.0.0.1") }
	for name, tlsOf := range map[string]func(int) *tls.Config{"plain": nil, "tls": secure} {
		for _, n := range []int{2, 4, 8, 16, 64} {
			b.Run(fmt.Sprintf("%s/instances=%d", name, n), func(b *testing.B) { benchIdle(b, n, tlsOf) })
		}
	}
}

func benchIdle(b *testing.B, n int, tlsOf func(int) *tls.Config) {
	instances := newFleet(b, n, tlsOf)
	for _, inst := range instances {
		// Offsets as long as after a year of operation.
		inst.store.set(func(s *fakeStore) {
			s.digest = fold.Digest{NextOffset: 6_000_000_000, Generation: 24_000_000, Hash: math.MaxUint64}
			s.status.Head = 6_000_000_000
		})
	}
	var in, out int64
	count := func(sign int64) {
		for _, inst := range instances {
			in += sign * inst.server.in.Count()
			out += sign * inst.server.out.Count()
		}
	}
	count(-1)
	before := processorTime(b)
	for b.Loop() {
		var wg sync.WaitGroup
		for _, inst := range instances {
			wg.Go(func() { inst.Round(context.Background()) })
		}
		wg.Wait()
	}
	used := processorTime(b) - before
	count(1)
	rounds := float64(b.N) * float64(n)
	b.ReportMetric(float64(in)/rounds, "B-in/round")
	b.ReportMetric(float64(out)/rounds, "B-out/round")
	b.ReportMetric(float64(used.Microseconds())/rounds, "cpu-µs/round")
}

// processorTime returns the CPU time used by this process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

package e2e

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	publishInstances = 8
	// publishRounds is the number of publications in each of the two states.
	publishRounds = 20
)

// BenchmarkPublish measures the time from the publisher's request until the
// manifest is in force at the slowest of 8 instances: with all connected, and
// with one disconnected from the log, which gets the manifest from its peers.
// Run it with scripts/bench.
func BenchmarkPublish(b *testing.B) {
	f := startFleet(b, publishInstances, options{})
	eventually(b, "publishing", func() bool {
		_, err := f.publish(testManifest("run-1"), "--rebase")
		return err == nil
	})
	f.awaitReady()
	for b.Loop() {
		reportTimes(b, "healthy", f.publishTimes("healthy"))
		f.logRelays[0].SetDisconnected(true)
		reportTimes(b, "one-cut", f.publishTimes("cut"))
		f.logRelays[0].SetDisconnected(false)
	}
}

// publishTimes publishes publishRounds manifests and returns, sorted, the time
// that each took to be in force everywhere.
func (f *fleet) publishTimes(name string) []time.Duration {
	var out []time.Duration
	for n := range publishRounds {
		generation := f.status(f.instances[0]).Generation + 1
		start := time.Now()
		i := f.instances[1+n%(len(f.instances)-1)]
		single := &fleet{t: f.t, instances: []*instance{i}}
		if text, err := single.publish(testManifest(fmt.Sprintf("%s-%d", name, n)), "--rebase"); err != nil {
			f.t.Fatalf("%v: %s", err, text)
		}
		var wg sync.WaitGroup
		for _, i := range f.instances {
			wg.Go(func() {
				eventually(f.t, "in force", func() bool { return f.status(i).Generation >= generation })
			})
		}
		wg.Wait()
		out = append(out, time.Since(start))
	}
	slices.Sort(out)
	return out
}

func reportTimes(b *testing.B, name string, times []time.Duration) {
	p50, worst := times[len(times)/2], times[len(times)-1]
	fmt.Printf("publish to in force at the slowest of %d, %s: p50 %v, worst %v of %d\n",
		publishInstances, name, p50.Round(time.Millisecond), worst.Round(time.Millisecond), len(times))
	b.ReportMetric(float64(worst.Milliseconds()), name+"-worst-ms")
}

package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

const (
	benchNodes = 8
	// benchDelay is the duration of one call to the log: 1.5 ms each way.
	benchDelay = 3 * time.Millisecond
)

// benchFleet starts benchNodes nodes on one log and waits until they are ready.
func benchFleet(b *testing.B) (*logtest.Log, []*Node) {
	log := logtest.New()
	log.SetSlow(benchDelay)
	var nodes []*Node
	for i := range benchNodes {
		name := fmt.Sprintf("n%d", i)
		n, err := New(log.Client(name), Config{Name: name}, WithSeed(uint64(i)))
		if err != nil {
			b.Fatal(err)
		}
		if err := n.Start(b.Context()); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = n.Stop(context.Background()) })
		<-n.Ready()
		nodes = append(nodes, n)
	}
	return log, nodes
}

// quantile sorts d and returns its q-quantile in milliseconds.
func quantile(d []time.Duration, q float64) float64 {
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))].Seconds() * 1000
}

// BenchmarkGroupCommit runs Puts at 8 nodes for 5 s and reports the appends per
// second and the time of a Put until it is read back. "idle" has one caller per
// node that pauses for 200 ms after each Put, "busy" 50 callers without pauses.
func BenchmarkGroupCommit(b *testing.B) {
	for _, load := range []struct {
		name    string
		callers int
		pause   time.Duration
	}{{"idle", 1, 200 * time.Millisecond}, {"busy", 50, 0}} {
		b.Run(load.name, func(b *testing.B) {
			for b.Loop() {
				groupCommit(b, load.callers, load.pause)
			}
		})
	}
}

func groupCommit(b *testing.B, callers int, pause time.Duration) {
	const span = 5 * time.Second
	log, nodes := benchFleet(b)
	before := log.AppendCount()
	ctx, cancel := context.WithTimeout(b.Context(), span)
	defer cancel()
	var mu sync.Mutex
	var took []time.Duration
	var wg sync.WaitGroup
	for i, n := range nodes {
		for j := range callers {
			wg.Go(func() {
				for k := 0; ctx.Err() == nil; k++ {
					key := record.Key(fmt.Sprintf("session/%d-%d-%d", i, j, k))
					sent := time.Now()
					if n.Put(ctx, put(key, 1)).Outcome == OutcomeWon {
						mu.Lock()
						took = append(took, time.Since(sent))
						mu.Unlock()
					}
					time.Sleep(pause)
				}
			})
		}
	}
	wg.Wait()
	b.ReportMetric(float64(log.AppendCount()-before)/span.Seconds(), "appends/s")
	b.ReportMetric(float64(len(took))/span.Seconds(), "puts/s")
	b.ReportMetric(quantile(took, 0.5), "p50-ms")
	b.ReportMetric(quantile(took, 0.95), "p95-ms")
}

// BenchmarkPublish measures the time from the publisher's call until the manifest
// is in force at the slowest of 8 healthy nodes, for 100 manifests of 64 KiB.
func BenchmarkPublish(b *testing.B) {
	for b.Loop() {
		publishMany(b)
	}
}

func publishMany(b *testing.B) {
	const manifests = 100
	_, nodes := benchFleet(b)
	inForce := make(chan time.Time, benchNodes)
	for _, n := range nodes {
		defer n.Watch(record.ClassManifest, func(c fold.Change) {
			if c.Verdict == fold.VerdictWon {
				inForce <- time.Now()
			}
		})()
	}
	var slowest []time.Duration
	digest := ""
	for g := range uint64(manifests) {
		value := make([]byte, 64<<10)
		value[0], value[1] = byte(g), 1
		sent := time.Now()
		go nodes[int(g)%benchNodes].Put(b.Context(), record.Record{
			Key: record.ManifestKey(g+1, digest), Nonce: record.NewNonce(), Value: value,
		})
		var last time.Time
		for range benchNodes {
			if at := <-inForce; at.After(last) {
				last = at
			}
		}
		slowest = append(slowest, last.Sub(sent))
		digest = record.ManifestDigest(value)
		time.Sleep(50 * time.Millisecond)
	}
	b.ReportMetric(quantile(slowest, 0.5), "p50-ms")
	b.ReportMetric(quantile(slowest, 1), "max-ms")
}

package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticplank.example/router/internal/loadgen"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/procstat"
	"masticplank.example/router/internal/wire"
)

// Parameters of the benchmarks. The load goes to loopback and ends by itself.
const (
	// benchCores is GOMAXPROCS of each process that BenchmarkPath starts.
	benchCores   = 4
	benchCallers = 64
	// benchPhase is the measured time of one run of load, after benchWarmup.
	benchPhase   = 4 * time.Second
	benchWarmup  = time.Second
	benchStreams = 1000
	benchSlots   = 8192
	// benchTokens is the number of tokens per answer.
	benchTokens = 8
)

// BenchmarkPath compares requests routed through masticplankd with the same
// requests sent directly to the same engine stand-in. Run it with scripts/bench.
func BenchmarkPath(b *testing.B) {
	b.Setenv("GOMAXPROCS", strconv.Itoa(benchCores))
	p := startBenchPath(b)
	for b.Loop() {
		// Memory is measured first, in a fresh process: afterwards it would include
		// the state folded from the records of the load.
		p.measureStreams(b)
		p.measureThroughputAndLatency(b)
		fmt.Printf("resident: %.1f MB after the load\n", p.residentMB(b))
	}
}

// benchPath is one engine behind one instance.
type benchPath struct {
	engine string
	entry  *instance
}

func startBenchPath(b *testing.B) *benchPath {
	logAddr := startStandin(b, "log")
	listAddr := startStandin(b, "instances")
	ratingAddr := startStandin(b, "rating")
	engine := startStandin(b, "engine", "--slots", strconv.Itoa(benchSlots), "--queue", strconv.Itoa(benchSlots),
		"--version", "quick@1,quality=0.9", "--version", "slow@1,quality=0.9,inter=500ms")
	list, err := json.Marshal(wire.InstanceList{Servers: []wire.ListedServer{{
		ID: "engine-1", Addr: engine, Domain: "salle-rimouski",
		Versions: []string{"quick@1", "slow@1"}, Slots: benchSlots,
	}}})
	if err != nil {
		b.Fatal(err)
	}
	if r := call(b, http.MethodPut, "http://"+listAddr+"/instances", "", string(list), nil); r.status >= 300 {
		b.Fatalf("setting the list: %+v", r)
	}
	entry := startInstance(b, "entry-1", "salle-rimouski", map[string]any{
		"log_url":    "http://" + logAddr,
		"list_url":   "http://" + listAddr,
		"rating_url": "http://" + ratingAddr,
	})
	p := &benchPath{engine: "http://" + engine, entry: entry}
	p.publish(b)
	return p
}

// publish publishes a manifest through the admin API and waits until requests
// are served.
func (p *benchPath) publish(b *testing.B) {
	m := manifest.Manifest{
		Publication: "bench",
		Teams: []manifest.Team{{
			ID: "weavers", KeyHashes: []string{manifest.HashKey(weaversKey)}, Weight: 1,
			QueueLimit: benchSlots, Allowed: []string{"quick@1", "slow@1"},
		}},
		Versions: []manifest.Version{
			{ID: "quick@1", Model: "quick", State: "serving", Share: 1, Cost: 1, Quality: 0.9},
			{ID: "slow@1", Model: "slow", State: "serving", Share: 1, Cost: 1, Quality: 0.9},
		},
	}
	body, err := manifest.Encode(m)
	if err != nil {
		b.Fatal(err)
	}
	eventually(b, "publishing the manifest", func() bool {
		return call(b, http.MethodPost, p.entry.admin+"/manifest?rebase=true", operatorKey, string(body), nil).status == http.StatusOK
	})
	eventually(b, "the instance to be ready", func() bool {
		return call(b, http.MethodGet, p.entry.admin+"/readyz", "", "", nil).status == http.StatusOK
	})
	c := loadgen.NewCaller()
	defer c.Close()
	eventually(b, "a first answer", func() bool {
		_, err := c.Send(context.Background(), p.routed(b, false))
		return err == nil
	})
}

func (p *benchPath) target(b *testing.B, base, model string, tokens int, stream bool) loadgen.Target {
	b.Helper()
	t, err := loadgen.NewTarget(base, weaversKey, loadgen.RequestSpec{
		Model:     model,
		Prompt:    "draft a twill pattern of eight shafts",
		MaxTokens: tokens,
		Stream:    stream,
	})
	if err != nil {
		b.Fatal(err)
	}
	return t
}

func (p *benchPath) direct(b *testing.B, stream bool) loadgen.Target {
	return p.target(b, p.engine, "quick@1", benchTokens, stream)
}

func (p *benchPath) routed(b *testing.B, stream bool) loadgen.Target {
	return p.target(b, p.entry.api, "quick", benchTokens, stream)
}

// saturate sends each caller's next request as soon as it has the answer.
func saturate(t loadgen.Target, callers int) loadgen.Result { return sendAtRate(t, 0, callers) }

// sendAtRate sends rate requests per second over all callers; 0 saturates.
func sendAtRate(t loadgen.Target, rate float64, callers int) loadgen.Result {
	return loadgen.Run(context.Background(), t, loadgen.Plan{
		Callers:  callers,
		Rate:     rate,
		Warmup:   benchWarmup,
		Duration: benchPhase,
	})
}

// printResult prints one line with the rate, the median and the 99th percentile of
// the times that pick selects, and returns the last two.
func printResult(b *testing.B, result loadgen.Result, name string, pick func(loadgen.Sample) time.Duration) (p50, p99 time.Duration) {
	b.Helper()
	if len(result.Samples) == 0 {
		b.Fatalf("%s: no answers, %d failed: %s", name, result.Failed, result.LastError)
	}
	p50, p99 = result.Quantile(pick, 0.5), result.Quantile(pick, 0.99)
	fmt.Printf("%-42s %8.0f/s  p50 %8.3f ms  p99 %8.3f ms  failed %d %s\n",
		name, result.Rate, millis(p50), millis(p99), result.Failed, result.LastError)
	return p50, p99
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// measureThroughputAndLatency compares the throughput of routed and direct
// requests, then their latency at half of the routed throughput, and that of
// streams at an eighth of it.
func (p *benchPath) measureThroughputAndLatency(b *testing.B) {
	direct := saturate(p.direct(b, false), benchCallers)
	printResult(b, direct, "plain, direct, saturated", loadgen.TotalTime)
	routed := saturate(p.routed(b, false), benchCallers)
	printResult(b, routed, "plain, routed, saturated", loadgen.TotalTime)
	// Answers wait for the group commit of their bills, so that few callers
	// cannot saturate the instance; many concurrent requests are needed.
	many := saturate(p.routed(b, false), 16*benchCallers)
	printResult(b, many, "plain, routed, saturated, 16 x callers", loadgen.TotalTime)
	manyDirect := saturate(p.direct(b, false), 16*benchCallers)
	printResult(b, manyDirect, "plain, direct, saturated, 16 x callers", loadgen.TotalTime)
	best := max(routed.Rate, many.Rate)
	ratio := best / max(direct.Rate, manyDirect.Rate)
	fmt.Printf("throughput routed / direct: %.3f\n", ratio)
	b.ReportMetric(best, "routed/s")
	b.ReportMetric(ratio, "throughput-ratio")

	half := best / 2
	callers := 16 * benchCallers
	d50, d99 := printResult(b, sendAtRate(p.direct(b, false), half, callers), "plain, direct, half load", loadgen.TotalTime)
	r50, r99 := printResult(b, sendAtRate(p.routed(b, false), half, callers), "plain, routed, half load", loadgen.TotalTime)
	printAdded(b, "plain, whole", d50, d99, r50, r99)

	streams := half / 4
	directStream := sendAtRate(p.direct(b, true), streams, callers)
	routedStream := sendAtRate(p.routed(b, true), streams, callers)
	d50, d99 = printResult(b, directStream, "stream, direct, first token", loadgen.TimeToFirstByte)
	r50, r99 = printResult(b, routedStream, "stream, routed, first token", loadgen.TimeToFirstByte)
	printAdded(b, "stream, first token", d50, d99, r50, r99)
	d50, d99 = printResult(b, directStream, "stream, direct, whole", loadgen.TotalTime)
	r50, r99 = printResult(b, routedStream, "stream, routed, whole", loadgen.TotalTime)
	printAdded(b, "stream, whole", d50, d99, r50, r99)
}

// printAdded prints by how much routed requests (r50, r99) are slower than
// direct ones (d50, d99).
func printAdded(b *testing.B, name string, d50, d99, r50, r99 time.Duration) {
	fmt.Printf("added, %s: p50 %.3f ms (ratio %.2f), p99 %.3f ms (ratio %.2f)\n", name,
		millis(r50-d50), float64(r50)/float64(d50), millis(r99-d99), float64(r99)/float64(d99))
	b.ReportMetric(millis(r99-d99), strings.NewReplacer(", ", "-", " ", "-").Replace(name)+"-added-p99-ms")
}

// measureStreams reports the instance's resident memory with benchStreams open
// streams.
func (p *benchPath) measureStreams(b *testing.B) {
	before := p.residentMB(b)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	slow := p.target(b, p.entry.api, "slow", 4096, true)
	var opened atomic.Int64
	var wg sync.WaitGroup
	for range benchStreams {
		wg.Go(func() {
			c := loadgen.NewCaller()
			defer c.Close()
			resp, err := c.Open(ctx, slow)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			lines := bufio.NewReader(resp.Body)
			if _, err := lines.ReadString('\n'); err != nil {
				return
			}
			opened.Add(1)
			_, _ = io.Copy(io.Discard, lines)
		})
	}
	eventually(b, "streams open", func() bool { return opened.Load() == benchStreams })
	during := p.residentMB(b)
	fmt.Printf("resident: %.1f MB before, %.1f MB with %d streams open\n", before, during, benchStreams)
	b.ReportMetric(during, "MB-with-1000-streams")
	cancel()
	wg.Wait()
}

func (p *benchPath) residentMB(b *testing.B) float64 {
	mb, err := procstat.ResidentMB(p.entry.cmd.Process.Pid)
	if err != nil {
		b.Fatal(err)
	}
	return mb
}

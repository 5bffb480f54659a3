package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/wire"
)

// Bounds of the bench. Load goes to loopback and ends by itself.
const (
	benchCores   = 4
	benchCallers = 64
	benchPhase   = 4 * time.Second
	benchWarmup  = time.Second
	benchStreams = 1000
	benchSlots   = 8192
	benchTokens  = 8
)

// BenchmarkPath compares requests through masticplankd with the same requests
// to the same engine stand-in, in one run. Run it with scripts/bench.
func BenchmarkPath(b *testing.B) {
	b.Setenv("GOMAXPROCS", strconv.Itoa(benchCores))
	p := startBenchPath(b)
	for b.Loop() {
		// Memory first, in a fresh process: what the load leaves folded would
		// count besides.
		p.measureStreams(b)
		p.measure(b)
		fmt.Printf("resident: %.1f MB after the load\n", p.resident(b))
	}
}

// benchPath is one engine, behind one instance.
type benchPath struct {
	engine string
	entry  *instance
}

func startBenchPath(b *testing.B) *benchPath {
	logAddr := standin(b, "log")
	listAddr := standin(b, "instances")
	ratingAddr := standin(b, "rating")
	engine := standin(b, "engine", "--slots", strconv.Itoa(benchSlots), "--queue", strconv.Itoa(benchSlots),
		"--version", "quick@1,quality=0.9", "--version", "slow@1,quality=0.9,inter=500ms")
	list, err := json.Marshal(wire.InstanceList{Servers: []wire.ListedServer{{
		ID: "engine-1", Addr: engine, Domain: "salle-rimouski",
		Versions: []string{"quick@1", "slow@1"}, Slots: benchSlots,
	}}})
	if err != nil {
		b.Fatal(err)
	}
	if r := call(b, http.MethodPut, "http://"+listAddr+"/instances", "", string(list), nil); r.status >= 300 {
		b.Fatalf("list: %+v", r)
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

// publish puts a manifest in force through the admin edge.
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
	eventually(b, "manifest", func() bool {
		return call(b, http.MethodPost, p.entry.admin+"/manifest?rebase=true", operatorKey, string(body), nil).status == http.StatusOK
	})
	eventually(b, "ready", func() bool {
		return call(b, http.MethodGet, p.entry.admin+"/readyz", "", "", nil).status == http.StatusOK
	})
	c := newBenchCaller()
	defer c.close()
	eventually(b, "an answer", func() bool {
		_, err := c.send(p.routed(false))
		return err == nil
	})
}

// target is where a request goes, and what it asks for.
type target struct {
	url    string
	body   []byte
	stream bool
}

func newTarget(url, model string, tokens int, stream bool) target {
	body, err := json.Marshal(wire.ChatRequest{
		Model:     model,
		Messages:  []wire.Message{{Role: "user", Content: "draft a twill pattern of eight shafts"}},
		MaxTokens: tokens,
		Stream:    stream,
	})
	if err != nil {
		panic(err)
	}
	return target{url: url + "/v1/chat/completions", body: body, stream: stream}
}

func (p *benchPath) direct(stream bool) target {
	return newTarget(p.engine, "quick@1", benchTokens, stream)
}

func (p *benchPath) routed(stream bool) target {
	return newTarget(p.entry.api, "quick", benchTokens, stream)
}

// sample is what one request took, in all and to its first byte of body.
type sample struct{ whole, first time.Duration }

// benchCaller has a connection of its own, so that callers do not wait for each
// other in a shared pool.
type benchCaller struct{ client *http.Client }

func newBenchCaller() benchCaller {
	return benchCaller{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

func (c benchCaller) close() { c.client.CloseIdleConnections() }

func (c benchCaller) send(t target) (sample, error) {
	began := time.Now()
	resp, err := c.open(context.Background(), t)
	if err != nil {
		return sample{}, err
	}
	defer resp.Body.Close()
	var one [1]byte
	if _, err := io.ReadFull(resp.Body, one[:]); err != nil {
		return sample{}, err
	}
	first := time.Since(began)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return sample{}, err
	}
	return sample{whole: time.Since(began), first: first}, nil
}

func (c benchCaller) open(ctx context.Context, t target) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url, bytes.NewReader(t.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+weaversKey)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		resp.Body.Close()
		return nil, fmt.Errorf("%s: %s", resp.Status, body)
	}
	return resp, nil
}

// phase is what one stretch of load gave.
type phase struct {
	rate    float64
	failed  int64
	example string
	samples []sample
}

// saturate sends as fast as callers get answers.
func (p *benchPath) saturate(t target, callers int) phase {
	return p.drive(t, callers, func(int) {})
}

// pace sends at a steady rate over all callers.
func (p *benchPath) pace(t target, rate float64, callers int) phase {
	gap := time.Duration(float64(callers) / rate * float64(time.Second))
	next := make([]time.Time, callers)
	for i := range next {
		next[i] = time.Now().Add(gap * time.Duration(i) / time.Duration(callers))
	}
	return p.drive(t, callers, func(i int) {
		time.Sleep(time.Until(next[i]))
		next[i] = next[i].Add(gap)
	})
}

func (p *benchPath) drive(t target, callers int, before func(caller int)) phase {
	var out phase
	var mu sync.Mutex
	var failed atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	counted := start.Add(benchWarmup)
	end := counted.Add(benchPhase)
	for i := range callers {
		wg.Go(func() {
			var own []sample
			c := newBenchCaller()
			defer c.close()
			for {
				before(i)
				now := time.Now()
				if now.After(end) {
					break
				}
				s, err := c.send(t)
				if err != nil {
					failed.Add(1)
					mu.Lock()
					out.example = err.Error()
					mu.Unlock()
					continue
				}
				if now.After(counted) {
					own = append(own, s)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			out.samples = append(out.samples, own...)
		})
	}
	wg.Wait()
	out.failed = failed.Load()
	out.rate = float64(len(out.samples)) / benchPhase.Seconds()
	return out
}

// show prints one line and returns the quantiles of what pick reads.
func (ph phase) show(b *testing.B, name string, pick func(sample) time.Duration) (p50, p99 time.Duration) {
	all := make([]time.Duration, 0, len(ph.samples))
	for _, s := range ph.samples {
		all = append(all, pick(s))
	}
	if len(all) == 0 {
		b.Fatalf("%s: no answers, %d failed: %s", name, ph.failed, ph.example)
	}
	p50, p99 = quantile(all, 0.5), quantile(all, 0.99)
	fmt.Printf("%-42s %8.0f/s  p50 %8.3f ms  p99 %8.3f ms  failed %d %s\n",
		name, ph.rate, millis(p50), millis(p99), ph.failed, ph.example)
	return p50, p99
}

func whole(s sample) time.Duration { return s.whole }
func first(s sample) time.Duration { return s.first }

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// measure compares throughput, then latency at half of the routed throughput.
func (p *benchPath) measure(b *testing.B) {
	direct := p.saturate(p.direct(false), benchCallers)
	direct.show(b, "plain, direct, saturated", whole)
	routed := p.saturate(p.routed(false), benchCallers)
	routed.show(b, "plain, routed, saturated", whole)
	// Answers wait for their bill's group commit, so few callers cannot
	// saturate: throughput needs many of them under way.
	many := p.saturate(p.routed(false), 16*benchCallers)
	many.show(b, "plain, routed, saturated, 16 x callers", whole)
	manyDirect := p.saturate(p.direct(false), 16*benchCallers)
	manyDirect.show(b, "plain, direct, saturated, 16 x callers", whole)
	best := max(routed.rate, many.rate)
	ratio := best / max(direct.rate, manyDirect.rate)
	fmt.Printf("throughput routed / direct: %.3f\n", ratio)
	b.ReportMetric(best, "routed/s")
	b.ReportMetric(ratio, "throughput-ratio")

	half := best / 2
	callers := 16 * benchCallers
	d50, d99 := p.pace(p.direct(false), half, callers).show(b, "plain, direct, half load", whole)
	r50, r99 := p.pace(p.routed(false), half, callers).show(b, "plain, routed, half load", whole)
	added(b, "plain, whole", d50, d99, r50, r99)

	streams := half / 4
	directStream := p.pace(p.direct(true), streams, callers)
	routedStream := p.pace(p.routed(true), streams, callers)
	d50, d99 = directStream.show(b, "stream, direct, first token", first)
	r50, r99 = routedStream.show(b, "stream, routed, first token", first)
	added(b, "stream, first token", d50, d99, r50, r99)
	d50, d99 = directStream.show(b, "stream, direct, whole", whole)
	r50, r99 = routedStream.show(b, "stream, routed, whole", whole)
	added(b, "stream, whole", d50, d99, r50, r99)
}

func added(b *testing.B, name string, d50, d99, r50, r99 time.Duration) {
	fmt.Printf("added, %s: p50 %.3f ms (ratio %.2f), p99 %.3f ms (ratio %.2f)\n", name,
		millis(r50-d50), float64(r50)/float64(d50), millis(r99-d99), float64(r99)/float64(d99))
	b.ReportMetric(millis(r99-d99), strings.NewReplacer(", ", "-", " ", "-").Replace(name)+"-added-p99-ms")
}

// measureStreams reads the instance's memory with many streams open.
func (p *benchPath) measureStreams(b *testing.B) {
	before := p.resident(b)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	slow := newTarget(p.entry.api, "slow", 4096, true)
	var opened atomic.Int64
	var wg sync.WaitGroup
	for range benchStreams {
		wg.Go(func() {
			c := newBenchCaller()
			defer c.close()
			resp, err := c.open(ctx, slow)
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
	with := p.resident(b)
	fmt.Printf("resident: %.1f MB before, %.1f MB with %d streams open\n", before, with, benchStreams)
	b.ReportMetric(with, "MB-with-1000-streams")
	cancel()
	wg.Wait()
}

// resident reads VmRSS of the instance in MB.
func (p *benchPath) resident(b *testing.B) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.entry.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	b.Fatal("no VmRSS")
	return 0
}

// quantile by nearest rank.
func quantile(all []time.Duration, q float64) time.Duration {
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

package e2e

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"masticplank.example/router/internal/loadgen"
	"masticplank.example/router/internal/procstat"
)

const (
	// tokenStreams is the number of concurrent streams.
	tokenStreams = 32
	// tokensPerStream is the number of tokens per stream, large enough that the cost
	// of starting a stream is negligible.
	tokensPerStream = 8192
)

// BenchmarkTokens measures the instance's CPU time, from /proc, per token of a
// stream and per short plain request.
func BenchmarkTokens(b *testing.B) {
	p := startBenchPath(b)
	for b.Loop() {
		tokens := p.measureCPUTime(b, func() {
			p.stream(b, p.target(b, p.entry.api, "quick", tokensPerStream, true))
		})
		perToken := float64(tokens.Microseconds()) / (tokenStreams * tokensPerStream)
		var load loadgen.Result
		plain := p.measureCPUTime(b, func() { load = sendAtRate(p.routed(b, false), 1000, benchCallers) })
		perRequest := float64(plain.Microseconds()) / (load.Rate * (benchPhase + benchWarmup).Seconds())
		fmt.Printf("processor time: %.2f us a token, %.0f us a plain request of %d tokens\n", perToken, perRequest, benchTokens)
		b.ReportMetric(perToken, "us/token")
		b.ReportMetric(perRequest, "us/request")
	}
}

// stream reads tokenStreams concurrent streams to their end.
func (p *benchPath) stream(b *testing.B, t loadgen.Target) {
	var wg sync.WaitGroup
	for range tokenStreams {
		wg.Go(func() {
			c := loadgen.NewCaller()
			defer c.Close()
			if _, err := c.Send(context.Background(), t); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
}

// measureCPUTime returns the CPU time that the instance used while f ran.
func (p *benchPath) measureCPUTime(b *testing.B, f func()) time.Duration {
	before := p.cpuTime(b)
	f()
	return p.cpuTime(b) - before
}

func (p *benchPath) cpuTime(b *testing.B) time.Duration {
	d, err := procstat.CPUTime(p.entry.cmd.Process.Pid)
	if err != nil {
		b.Fatal(err)
	}
	return d
}

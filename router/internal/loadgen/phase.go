package loadgen

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Plan of one stretch of load.
type Plan struct {
	// Callers send side by side.
	Callers int
	// Rate is requests a second over all callers; 0 sends as fast as callers get
	// answers.
	Rate float64
	// Warmup is sent but not counted; Length is.
	Warmup, Duration time.Duration
}

// Phase is what one stretch of load gave.
type Result struct {
	// Rate is whole answers a second.
	Rate   float64 `json:"rate"`
	Failed int64   `json:"failed"`
	// Example is the text of one failure.
	LastError string   `json:"example,omitempty"`
	Samples   []Sample `json:"-"`
}

// Run sends the load and returns once it has ended.
func Run(ctx context.Context, t Target, p Plan) Result {
	r := &run{target: t, plan: p, start: time.Now()}
	var wg sync.WaitGroup
	for i := range p.Callers {
		wg.Go(func() { r.runCaller(ctx, i) })
	}
	wg.Wait()
	r.phase.Rate = float64(len(r.phase.Samples)) / p.Duration.Seconds()
	return r.phase
}

type run struct {
	target Target
	plan   Plan
	start  time.Time

	mu    sync.Mutex
	phase Result
}

// caller sends until the load's end.
func (r *run) runCaller(ctx context.Context, index int) {
	c := NewCaller()
	defer c.Close()
	measureFrom := r.start.Add(r.plan.Warmup)
	end := measureFrom.Add(r.plan.Duration)
	var samples []Sample
	next := r.firstSend(index)
	for {
		next = r.waitTurn(next)
		now := time.Now()
		if now.After(end) || ctx.Err() != nil {
			break
		}
		s, err := c.Send(ctx, r.target)
		if err != nil {
			r.recordFailure(err)
			continue
		}
		if now.After(measureFrom) {
			samples = append(samples, s)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase.Samples = append(r.phase.Samples, samples...)
}

func (r *run) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase.Failed++
	r.phase.LastError = err.Error()
}

// gap is the time between two requests of one caller.
func (r *run) interval() time.Duration {
	if r.plan.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(r.plan.Callers) / r.plan.Rate * float64(time.Second))
}

// first spreads the callers' starts over one gap.
func (r *run) firstSend(index int) time.Time {
	return r.start.Add(r.interval() * time.Duration(index) / time.Duration(r.plan.Callers))
}

// wait holds a caller to its rate. A late one catches up, so that a slow answer
// does not hide the load that was to come.
func (r *run) waitTurn(next time.Time) time.Time {
	time.Sleep(time.Until(next))
	return next.Add(r.interval())
}

// Quantile of a figure by nearest rank; 0 without samples.
func (p Result) Quantile(pick func(Sample) time.Duration, q float64) time.Duration {
	if len(p.Samples) == 0 {
		return 0
	}
	all := make([]time.Duration, len(p.Samples))
	for i, s := range p.Samples {
		all[i] = pick(s)
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

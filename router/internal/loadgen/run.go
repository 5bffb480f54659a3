package loadgen

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Plan describes one run of load.
type Plan struct {
	// Callers is the number of concurrent callers.
	Callers int
	// Rate is the number of requests per second over all callers; 0 sends the
	// next request as soon as the answer has arrived.
	Rate float64
	// Requests sent during Warmup are not measured; Duration is the measured time
	// after it.
	Warmup, Duration time.Duration
}

// Result is the result of one run of load.
type Result struct {
	// Rate is the number of Samples per second of Plan.Duration.
	Rate float64 `json:"rate"`
	// Failed counts failed requests, including those during Warmup.
	Failed int64 `json:"failed"`
	// LastError is the text of the last failure.
	LastError string `json:"example,omitempty"`
	// Samples holds the times of the complete answers to requests that were sent
	// after Warmup.
	Samples []Sample `json:"-"`
}

// Run sends the load and returns once it has ended.
func Run(ctx context.Context, t Target, p Plan) Result {
	r := &run{target: t, plan: p, start: time.Now()}
	var wg sync.WaitGroup
	for i := range p.Callers {
		wg.Go(func() { r.runCaller(ctx, i) })
	}
	wg.Wait()
	r.result.Rate = float64(len(r.result.Samples)) / p.Duration.Seconds()
	return r.result
}

type run struct {
	target Target
	plan   Plan
	start  time.Time

	mu     sync.Mutex
	result Result
}

// runCaller sends requests until the end of the run.
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
	r.result.Samples = append(r.result.Samples, samples...)
}

func (r *run) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Failed++
	r.result.LastError = err.Error()
}

// interval returns the time between two requests of one caller; 0 without a rate.
func (r *run) interval() time.Duration {
	if r.plan.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(r.plan.Callers) / r.plan.Rate * float64(time.Second))
}

// firstSend spreads the first requests of the callers over one interval.
func (r *run) firstSend(index int) time.Time {
	return r.start.Add(r.interval() * time.Duration(index) / time.Duration(r.plan.Callers))
}

// waitTurn waits until next and returns the time of the request after it. A
// caller that is late catches up, so that a slow answer does not reduce the
// offered load (coordinated omission). A Sample begins when its request is
// sent, so the time by which the request was late is not in it.
func (r *run) waitTurn(next time.Time) time.Time {
	time.Sleep(time.Until(next))
	return next.Add(r.interval())
}

// Quantile returns the q-quantile (0 to 1) of the n times that pick selects: the
// one at index q*n, rounded down, in ascending order. It is 0 without samples.
func (r Result) Quantile(pick func(Sample) time.Duration, q float64) time.Duration {
	if len(r.Samples) == 0 {
		return 0
	}
	all := make([]time.Duration, len(r.Samples))
	for i, s := range r.Samples {
		all[i] = pick(s)
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

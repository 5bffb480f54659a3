package passthrough

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// lagInterval is the time between two measurements of the scheduling lag: by how much a timer fires late.
	lagInterval = 100 * time.Millisecond
	// lagSamples is how many measurements are averaged, maxLagSample the largest value of one, so that a process
	// that was suspended once does not seem overloaded.
	lagSamples   = 5
	maxLagSample = 200 * time.Millisecond
	// The share of new connections that is closed unread grows from 0 at a mean lag of lowLag to 1 at highLag. It is
	// maxShedFraction at most, so that the instance notices the end of the overload by its callers.
	lowLag          = 40 * time.Millisecond
	highLag         = 200 * time.Millisecond
	maxShedFraction = 0.95
	// maxTunnelLag is the mean lag from which on no tunnels are opened for peers.
	maxTunnelLag = 100 * time.Millisecond
	// None is closed unless minCrowdRate new connections or more come in a second, and crowdFactor times as many as
	// on average over meanPeriod before: otherwise the processor is short for other reasons, and closing connections
	// would not help.
	minCrowdRate = 25
	crowdFactor  = 2
	meanPeriod   = 30 * time.Second
	// rateSamples is how many measurements the rate of new connections covers: those of a second.
	rateSamples = int(time.Second / lagInterval)
)

// overload decides which share of new connections is closed unread, by their rate and the scheduling lag of the
// process.
//
// Load: a load balancer that hands nearly all new connections of a region to one instance, more than its processor
// can serve. Harm prevented: callers that wait in its backlog until they give up, while the next try after a closed
// connection meets another instance. What has been read is served.
type overload struct {
	mu      sync.Mutex
	samples [lagSamples]time.Duration
	next    int
	// arrivals are the new connections in each of the latest intervals, arrived those since the last one. meanRate is
	// the average number in a second, without times in which connections were closed, over the measurements counted
	// by observed.
	arrivals   [rateSamples]int
	nextArrive int
	arrived    int
	meanRate   float64
	observed   int
	shed       float64
	// meanLag is the mean of samples.
	meanLag time.Duration
}

// observeConnection counts a new connection.
func (o *overload) observeConnection() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrived++
}

// isCrowded records the connections of an interval, and reports whether many more come than usual.
func (o *overload) isCrowded() bool {
	o.arrivals[o.nextArrive], o.arrived = o.arrived, 0
	o.nextArrive = (o.nextArrive + 1) % rateSamples
	rate := 0.0
	for _, n := range o.arrivals {
		rate += float64(n)
	}
	if o.observed++; o.observed < rateSamples {
		return false // the rate is not known yet
	}
	crowded := o.observed > rateSamples && rate >= max(minCrowdRate, crowdFactor*o.meanRate)
	if o.shed == 0 {
		weight := max(lagInterval.Seconds()/meanPeriod.Seconds(), 1/float64(o.observed-rateSamples+1))
		o.meanRate += (rate - o.meanRate) * weight
	}
	return crowded
}

// observe adds a measurement of the lag.
func (o *overload) observe(lag time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	crowded := o.isCrowded()
	o.samples[o.next] = min(max(lag, 0), maxLagSample)
	o.next = (o.next + 1) % lagSamples
	var sum time.Duration
	for _, s := range o.samples {
		sum += s
	}
	mean := sum / lagSamples
	o.meanLag, o.shed = mean, 0
	if crowded {
		o.shed = min(max(float64(mean-lowLag)/float64(highLag-lowLag), 0), maxShedFraction)
	}
}

// fraction is the share of new connections that is closed unread, from 0 to 1.
func (o *overload) fraction() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shed
}

// lacksTime reports whether the processor is too busy to serve peers besides the own callers.
func (o *overload) lacksTime() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.meanLag >= maxTunnelLag
}

// run measures the lag until ctx ends.
func (o *overload) run(ctx context.Context) {
	timer := time.NewTimer(lagInterval)
	defer timer.Stop()
	for due := time.Now().Add(lagInterval); ; {
		select {
		case <-timer.C:
			now := time.Now()
			o.observe(now.Sub(due))
			due = now.Add(lagInterval)
			timer.Reset(lagInterval)
		case <-ctx.Done():
			return
		}
	}
}

// sheds records a new connection, and reports whether it is closed unread.
func (o *overload) sheds() bool {
	o.observeConnection()
	f := o.fraction()
	return f > 0 && rand.Float64() < f
}

// Package demo runs the whole product in one process on loopback: the
// platform's stand-ins, three engines, a shop and two entry instances. It sends
// a mixed load through them with a roll-out halfway, and checks the callers'
// results, the shop's counts and the bills in the log against the promises.
package demo

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/router/internal/adminclient"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/standin/engine"
	"masticplank.example/router/internal/standin/logsvc"
	"masticplank.example/router/internal/standin/service"
)

const (
	// readyTimeout bounds the time until the first manifest is in force
	// everywhere, and then the wait for each instance to be ready.
	readyTimeout = 15 * time.Second
	// rolloutTimeout bounds the time until the second manifest is in force
	// everywhere; if it takes longer, promiseManifest is broken.
	rolloutTimeout = 5 * time.Second
	// pollInterval is the time between two polls for a state.
	pollInterval = 10 * time.Millisecond
)

// Config of a run.
type Config struct {
	// Requests is the number of requests of the load, at least 1.
	Requests int
	// Workers is the number of workers; less than 1 counts as 1. Each sends one
	// request at a time, or both requests of a kindDuplicate.
	Workers int
	// Seed of the load.
	Seed uint64
	// Faults injects faults into the platform and the backend servers.
	Faults bool
	// Progress is called at the end of each request, from several goroutines;
	// may be nil.
	Progress func()
	// Log receives the instances' logs; nil discards them.
	Log io.Writer
}

// Run starts everything, sends the load, makes the report and stops everything.
// An error means that the demo itself failed; broken promises are in the
// report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Log == nil {
		cfg.Log = io.Discard
	}
	if cfg.Progress == nil {
		cfg.Progress = func() {}
	}
	began := time.Now()
	env, err := newEnvironment(ctx, cfg.Log)
	if err != nil {
		return Report{}, trace.Wrap(err)
	}
	defer env.stop()
	r := &run{cfg: cfg, env: env, violations: map[string][]string{}}
	if err := r.prepare(ctx); err != nil {
		return Report{}, trace.Wrap(err)
	}
	defer r.caller.close()
	results := r.runLoad(ctx)
	report, err := r.report(ctx, results)
	report.Seconds = time.Since(began).Seconds()
	return report, trace.Wrap(err)
}

// run is one run of the demo.
type run struct {
	cfg    Config
	env    *environment
	caller *caller

	// withdrawnAt is the time at which the second manifest was in force
	// everywhere; zero before that.
	withdrawnAt time.Time
	// rolloutTime is the time from the publication of the second manifest until
	// withdrawnAt.
	rolloutTime time.Duration
	// violations holds descriptions of the violations by promise.
	violations map[string][]string
}

// prepare publishes the first manifest, waits until the instances are ready,
// opens the sessions and injects the faults.
func (r *run) prepare(ctx context.Context) error {
	if _, err := r.publish(ctx, firstManifest(), readyTimeout); err != nil {
		return trace.Wrap(err)
	}
	var addrs []string
	for _, i := range r.env.instances {
		if err := waitReady(ctx, i.Admin); err != nil {
			return err
		}
		addrs = append(addrs, i.API)
	}
	r.caller = newCaller(addrs)
	if err := r.caller.openSessions(ctx); err != nil {
		return trace.Wrap(err)
	}
	if r.cfg.Faults {
		r.env.injectFaults()
	}
	return nil
}

// injectFaults switches on faults under which a request may fail, but no promise
// may break.
func (s *environment) injectFaults() {
	s.log.Faults.Set(logsvc.Faults{LostReply: 3, LostBefore: 2})
	s.shop.Faults.Set(service.Faults{LostReply: 2, Busy: 2, FailAfter: 1})
	s.engines[0].Faults.Set(engine.Faults{WrongNonce: 2, Truncate: 2, DuplicateChunk: 2})
	s.engines[1].Faults.Set(engine.Faults{Busy: 5, EndEarly: 2, Crossed: 2, LostReply: 2})
}

// publish publishes m through the first instance, waits until it is in force at
// all instances, and returns how long that took.
func (r *run) publish(ctx context.Context, m manifest.Manifest, timeout time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	first := adminclient.New(r.env.instances[0].Admin, operatorKey)
	for {
		answer, err := first.Publish(ctx, m, true)
		if err == nil && answer.Accepted() {
			if err := r.waitInForce(ctx, answer.Generation); err != nil {
				return 0, err
			}
			return time.Since(began), nil
		}
		if err == nil && len(answer.Faults) > 0 {
			return 0, trace.Wrap(answer.Faults)
		}
		// Retry: the instance may not be ready yet.
		if waitErr := sleep(ctx, pollInterval); waitErr != nil {
			return 0, trace.Wrap(waitErr, "publishing %s: %s %s %v", m.Publication, answer.Code, answer.Message, err)
		}
	}
}

// waitInForce waits until every instance has the generation, or a later one, in
// force.
func (r *run) waitInForce(ctx context.Context, generation uint64) error {
	for _, i := range r.env.instances {
		client := adminclient.New(i.Admin, "")
		for {
			var status struct {
				Generation uint64 `json:"generation"`
			}
			if err := client.Get(ctx, "/status", &status); err == nil && status.Generation >= generation {
				break
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return trace.Wrap(err, "generation %d is not in force at %s", generation, i.Admin)
			}
		}
	}
	return nil
}

// runLoad sends the whole load and starts the roll-out when half of the requests
// have been started.
func (r *run) runLoad(ctx context.Context) []result {
	requests := generateLoad(r.cfg.Requests, r.cfg.Seed)
	var results resultCollector
	var next atomic.Int64
	var wg sync.WaitGroup
	half := make(chan struct{})
	for range max(r.cfg.Workers, 1) {
		wg.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= len(requests) {
					return
				}
				if i == len(requests)/2 {
					close(half)
				}
				results.add(r.send(ctx, &requests[i])...)
				r.cfg.Progress()
			}
		})
	}
	wg.Go(func() {
		<-half
		r.publishRollout(ctx)
	})
	wg.Wait()
	return results.all
}

// publishRollout publishes the second manifest while requests are running.
func (r *run) publishRollout(ctx context.Context) {
	took, err := r.publish(ctx, secondManifest(), rolloutTimeout)
	if err != nil {
		r.violations[promiseManifest] = append(r.violations[promiseManifest], err.Error())
		return
	}
	r.rolloutTime = took
	r.withdrawnAt = time.Now()
}

// send sends one request of the load; one of kindDuplicate goes to two instances
// at once.
func (r *run) send(ctx context.Context, req *request) []result {
	if req.kind != kindDuplicate {
		return []result{r.caller.send(ctx, req, req.index)}
	}
	out := make([]result, 2)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() { out[i] = r.caller.send(ctx, req, i) })
	}
	wg.Wait()
	return out
}

func (r *run) report(ctx context.Context, results []result) (Report, error) {
	var want []string
	for _, one := range results {
		if one.completed() {
			want = append(want, one.request.key)
		}
	}
	exported, err := awaitBills(ctx, r.env.logURL, want)
	if err != nil {
		return Report{}, err
	}
	c := &checker{
		faults:      r.cfg.Faults,
		withdrawnAt: r.withdrawnAt,
		caller:      r.caller,
		bills:       exported,
		runs:        r.env.shop.Stats().Runs,
		violations:  r.violations,
	}
	c.check(results)
	report := newReport(results, exported, c.violations)
	report.Requests = r.cfg.Requests
	report.Faults = r.cfg.Faults
	report.RolloutMS = float64(r.rolloutTime.Microseconds()) / 1000
	return report, nil
}

// resultCollector collects results from several goroutines.
type resultCollector struct {
	mu  sync.Mutex
	all []result
}

func (c *resultCollector) add(results ...result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, results...)
}

// sleep waits for d. It returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// splitVersion splits "model@version".
func splitVersion(id string) (model, version string) {
	model, version, _ = strings.Cut(id, "@")
	return model, version
}

package passthrough

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

// TestRandomConfigurations guards against instances that go back to an earlier configuration or miss
// the newest one. Seeded random sequences: an operator writes configurations, and instances read in
// any order, cannot read the store, find records trimmed, and restart.
func TestRandomConfigurations(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomConfigurations(t, seed) })
	}
}

func runRandomConfigurations(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	clock, log := newFakeClock(), &fakeLog{}
	type instance struct {
		*testInstance
		reader  *topicReader
		version uint64
	}
	start := func(i int) *instance {
		p := newTestInstance(fmt.Sprint("instance-", i), clock, &fakeLog{}, &fakeLog{})
		return &instance{testInstance: p, reader: p.operator.reader(log, clock)}
	}
	fleet := []*instance{start(0), start(1), start(2)}
	newest := uint64(1)
	log.add("config", "config 1")
	for range 200 {
		clock.advance(time.Duration(rng.IntN(300)) * time.Millisecond)
		i := rng.IntN(len(fleet))
		switch rng.IntN(9) {
		case 0:
			newest += uint64(1 + rng.IntN(5))
			log.add("config", fmt.Sprint("config ", newest))
		case 1:
			// A record of an unknown kind, and a malformed one.
			log.add("late", "???")
			log.add("order/x", "???")
		case 2:
			log.readErrs = append(log.readErrs, keyedlog.ErrUnknown)
		case 3:
			log.firstKept = uint64(len(log.records)) // all records before this point are trimmed
		case 4:
			if rng.IntN(4) == 0 {
				fleet[i] = start(i)
			}
		default:
			in := fleet[i]
			if err := in.reader.readOnce(t.Context()); err != nil {
				continue
			}
			got := in.config.Index().Version
			if got < in.version {
				t.Fatalf("instance %d went back from version %d to %d", i, in.version, got)
			}
			if got != newest {
				t.Fatalf("instance %d has version %d after a read, the newest is %d", i, got, newest)
			}
			in.version = got
		}
	}
}

// TestRandomQuarantine guards against a request that crashes servers again and again. Seeded random
// sequences: one request crashes each server that runs it and is retried at any instance, among
// requests that crash a server only occasionally. Once three of its crashes are known to all
// instances, that request must not run again, and an unrelated request must not be refused.
func TestRandomQuarantine(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomQuarantine(t, seed) })
	}
}

func runRandomQuarantine(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	clock, observations := newFakeClock(), &fakeLog{}
	route := &passthrough.Route{Name: "r", Kind: passthrough.KindIdempotent, MaxAttempts: 1, Timeout: time.Second, TargetLatency: time.Second}
	var fleet []*testInstance
	var readers []*topicReader
	for i := range 4 {
		p := newTestInstance(fmt.Sprint("instance-", i), clock, &fakeLog{}, observations)
		var list []passthrough.Server
		for n := range 30 {
			list = append(list, passthrough.Server{ID: fmt.Sprint("s", n), Address: "127.0.0.1:1", Service: "shop", Slots: 50, StartTime: 1})
		}
		p.driver.Handle(passthrough.ServersListed{Servers: list}, passthrough.FleetSize{Instances: 4})
		reader := p.observations.reader(clock, p.rollouts.active)
		if err := reader.readOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
		fleet, readers = append(fleet, p), append(readers, reader)
	}
	// send sends a request through a random instance and ends its attempt as given. It reports
	// whether the request ran.
	send := func(fingerprint uint64, end passthrough.AttemptEnded) bool {
		d := fleet[rng.IntN(len(fleet))].driver
		tk := d.open(passthrough.Request{Route: route, Service: "shop", Fingerprint: fingerprint,
			Deadline: clock.Now().Add(time.Second), TargetTime: clock.Now().Add(time.Second)})
		defer d.close(tk)
		if _, ran := (<-tk.commands).(passthrough.Dispatch); !ran {
			return false
		}
		end.Request = tk.id
		d.Handle(end)
		return true
	}
	crash := passthrough.AttemptEnded{Result: passthrough.Broken, ConnectionLost: true}
	crashes, lateRuns := 0, 0
	for range 60 {
		clock.advance(time.Duration(rng.IntN(120)) * time.Millisecond)
		known := crashes >= 3
		if known { // all instances have written and read since
			for i, p := range fleet {
				if err := observations.Append(t.Context(), keyedlog.AnyPosition, p.observations.pendingRecords()...); err != nil {
					t.Fatal(err)
				}
				_ = i
			}
			for _, reader := range readers {
				if err := reader.readOnce(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
		}
		if send(1, crash) {
			crashes++
			if known {
				lateRuns++
			}
		}
		flaky := uint64(100 + rng.IntN(5))
		if rng.IntN(3) == 0 {
			send(flaky, crash)
			send(flaky, passthrough.AttemptEnded{Result: passthrough.Completed})
		}
	}
	if lateRuns > 0 {
		t.Errorf("%d runs after the third crash was known to all instances, want none", lateRuns)
	}
	if crashes > 3 {
		t.Errorf("%d servers crashed, want three at most", crashes)
	}
	if !send(999, passthrough.AttemptEnded{Result: passthrough.Completed}) {
		t.Error("an unrelated request was refused")
	}
}

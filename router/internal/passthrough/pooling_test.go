package passthrough

import (
	"fmt"
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

// poolInstance is an instance that shares its observations through its failure domain's collector.
type poolInstance struct {
	*parts
	collector *poolInstance
	held      []keyedlog.Record
	next      keyedlog.Position
	writeAt   time.Time
	readAt    time.Time
}

// poolFleet is 295 instances in five failure domains. The first instance of each reads the store, or
// the second where the store rejects the first.
type poolFleet struct {
	t         *testing.T
	clock     *fakeClock
	log       *fakeLog
	instances []*poolInstance
	readers   []*poolInstance
}

func newPoolFleet(t *testing.T, away func(domain int) bool) *poolFleet {
	const domains, perDomain = 5, 59
	f := &poolFleet{t: t, clock: newFakeClock(), log: &fakeLog{}}
	for d := range domains {
		var list []*poolInstance
		for i := range perDomain {
			p := &poolInstance{parts: newParts(fmt.Sprint("d", d, "i", i), f.clock, &fakeLog{}, f.log)}
			p.listServers()
			p.observations.fleetSize = func() int { return domains * perDomain }
			p.rollouts.statusRead = true
			p.rollouts.applyOrder(passthrough.Order{Service: "shop", Target: "v2", Duration: time.Minute}, 1)
			p.rollouts.advance(t.Context(), p.rollouts.open["shop"])
			phase := time.Duration((d*perDomain+i)*37%1100) * time.Millisecond
			p.writeAt, p.readAt = f.clock.Now().Add(phase), f.clock.Now().Add(phase)
			list = append(list, p)
		}
		reader := list[0]
		if away(d) {
			reader = list[1]
		}
		for _, p := range list {
			p.collector = reader
		}
		f.readers = append(f.readers, reader)
		f.instances = append(f.instances, list...)
	}
	return f
}

// step advances the clock and does what the loops of all instances do at that time.
func (f *poolFleet) step(d time.Duration) {
	f.clock.advance(d)
	now := f.clock.Now()
	for _, p := range f.instances {
		if now.Before(p.writeAt) {
			continue
		}
		p.writeAt = now.Add(observationInterval + batchDelay)
		records := p.observations.pendingRecords()
		if p != p.collector {
			if len(records) > 0 {
				p.collector.held = append(p.collector.held, records...)
				p.collector.writeAt = minTime(p.collector.writeAt, now.Add(batchDelay))
			}
			continue
		}
		if err := f.log.Append(f.t.Context(), keyedlog.AnyPosition, append(records, p.held...)...); err != nil {
			f.t.Fatal(err)
		}
		p.held = nil
	}
	for _, p := range f.readers {
		if now.Before(p.readAt) {
			continue
		}
		p.readAt = now.Add(observationInterval)
		batch, err := f.log.Read(f.t.Context(), p.next, 0)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, r := range batch.Records {
			p.observations.apply(r)
		}
		p.next = batch.Next
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// TestPooledCountsOf300InstancesAreSoonKnown bounds the age of the pooled counts at the instances that
// write verdicts: a bad version must be out within 5 s of its 50th bad response, and evaluating the
// counts, writing the end and distributing it take one of them.
func TestPooledCountsOf300InstancesAreSoonKnown(t *testing.T) {
	const oldest = 4 * time.Second
	for name, away := range map[string]func(int) bool{
		"the store serves all readers":  func(int) bool { return false },
		"the store rejects two readers": func(domain int) bool { return domain < 2 },
	} {
		f := newPoolFleet(t, away)
		for range 60 {
			f.step(50 * time.Millisecond)
		}
		worst := time.Duration(0)
		seen := 0
		for round := range 20 {
			p := f.instances[(round*67+3)%len(f.instances)]
			p.observeMany("v2", true, 1)
			seen++
			began := f.clock.Now()
			for !f.allCount(seen) {
				f.step(50 * time.Millisecond)
				if f.clock.Now().Sub(began) > time.Minute {
					t.Fatalf("%s: a bad response seen at %s is not known to all readers after a minute", name, p.observations.instance)
				}
			}
			worst = max(worst, f.clock.Now().Sub(began))
		}
		t.Logf("%s: a bad response is known to all readers after %v at most", name, worst)
		if worst > oldest {
			t.Errorf("%s: a bad response is known to all readers after %v, want %v at most", name, worst, oldest)
		}
	}
}

// allCount reports whether all readers count at least so many bad responses.
func (f *poolFleet) allCount(count int) bool {
	for _, p := range f.readers {
		if p.observations.view(p.rollouts.open["shop"], f.clock.Now()).newCounts.Bad < count {
			return false
		}
	}
	return true
}

package passthrough

import (
	"fmt"
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

// sharedInstance is an instance that shares its observations through its failure domain's collector,
// which is the instance itself if it is the collector.
type sharedInstance struct {
	*testInstance
	collector   *sharedInstance
	heldRecords []keyedlog.Record
	// next is the position of the next read; writeAt and readAt are the times of the next write
	// and read.
	next    keyedlog.Position
	writeAt time.Time
	readAt  time.Time
}

// sharedFleet is 295 instances in five failure domains. The collector of each domain, the only instance
// that reads the store, is the first one, or the second if the store rejects the first.
type sharedFleet struct {
	t         *testing.T
	clock     *fakeClock
	log       *fakeLog
	instances []*sharedInstance
	readers   []*sharedInstance
}

func newSharedFleet(t *testing.T, rejectsFirst func(domain int) bool) *sharedFleet {
	const domains, perDomain = 5, 59
	f := &sharedFleet{t: t, clock: newFakeClock(), log: &fakeLog{}}
	for d := range domains {
		var list []*sharedInstance
		for i := range perDomain {
			p := &sharedInstance{testInstance: newTestInstance(fmt.Sprint("d", d, "i", i), f.clock, &fakeLog{}, f.log)}
			p.listServers()
			p.observations.fleetSize = func() int { return domains * perDomain }
			p.rollouts.registerRead = true
			p.rollouts.applyOrder(passthrough.Order{Service: "shop", Target: "v2", Duration: time.Minute}, 1)
			p.rollouts.advance(t.Context(), p.rollouts.byService["shop"])
			phase := time.Duration((d*perDomain+i)*37%1100) * time.Millisecond
			p.writeAt, p.readAt = f.clock.Now().Add(phase), f.clock.Now().Add(phase)
			list = append(list, p)
		}
		reader := list[0]
		if rejectsFirst(d) {
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

// step advances the clock and executes the reads and writes of all instances that are due.
func (f *sharedFleet) step(d time.Duration) {
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
				p.collector.heldRecords = append(p.collector.heldRecords, records...)
				p.collector.writeAt = minTime(p.collector.writeAt, now.Add(batchDelay))
			}
			continue
		}
		if err := f.log.Append(f.t.Context(), keyedlog.AnyPosition, append(records, p.heldRecords...)...); err != nil {
			f.t.Fatal(err)
		}
		p.heldRecords = nil
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

// TestObservationsReachAllWritersInTime bounds the time in which observations reach the instances that
// write the ends of roll-outs. A bad version must be reverted within 5 s of its 50th bad response, of
// which 1 s is for evaluating the counts, and for writing the end and distributing it.
func TestObservationsReachAllWritersInTime(t *testing.T) {
	const maxDelay = 4 * time.Second
	for name, rejectsFirst := range map[string]func(int) bool{
		"the store serves all readers":  func(int) bool { return false },
		"the store rejects two readers": func(domain int) bool { return domain < 2 },
	} {
		f := newSharedFleet(t, rejectsFirst)
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
		if worst > maxDelay {
			t.Errorf("%s: a bad response is known to all readers after %v, want %v at most", name, worst, maxDelay)
		}
	}
}

// allCount reports whether all readers count at least count bad responses.
func (f *sharedFleet) allCount(count int) bool {
	for _, p := range f.readers {
		if p.observations.view(p.rollouts.byService["shop"], f.clock.Now()).newCounts.Bad < count {
			return false
		}
	}
	return true
}

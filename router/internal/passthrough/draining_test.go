package passthrough

import (
	"testing"

	"masticplank.example/coordination/keyedlog"
)

func drainOrder(domain, value string, offset uint64) keyedlog.Record {
	return keyedlog.Record{Key: "drain/" + domain, Value: []byte(value), Offset: offset}
}

// TestDrainOrders guards against sending work to a failure domain that the operator drains, also if
// the order's value is malformed or the domain is unknown.
func TestDrainOrders(t *testing.T) {
	cases := []struct {
		name  string
		apply func(o *operator)
		want  []string
	}{
		{"order drains its domain", func(o *operator) { o.applyNew(drainOrder("a", "{}", 1)) }, []string{"a"}},
		{"order with a malformed value drains too", func(o *operator) { o.applyNew(drainOrder("a", "\xff{", 1)) }, []string{"a"}},
		{"order for an unknown domain is applied", func(o *operator) { o.applyNew(drainOrder("moon", "{}", 1)) }, []string{"moon"}},
		{"orders drain two domains", func(o *operator) {
			o.applyNew(drainOrder("a", "{}", 1))
			o.applyNew(drainOrder("b", "{}", 2))
		}, []string{"a", "b"}},
		{"empty value ends the drain", func(o *operator) {
			o.applyNew(drainOrder("a", "{}", 1))
			o.applyNew(drainOrder("a", "", 2))
		}, nil},
		{"snapshot without the order ends the drain", func(o *operator) {
			o.applyNew(drainOrder("a", "{}", 1))
			o.applyNew(drainOrder("b", "{}", 2))
			o.applySnapshot([]keyedlog.Record{drainOrder("b", "{}", 2)})
		}, []string{"b"}},
	}
	for _, c := range cases {
		p := newTestInstance("a", newFakeClock(), &fakeLog{}, &fakeLog{})
		c.apply(p.operator)
		if len(p.operator.drained) != len(c.want) {
			t.Errorf("%s: drained %v, want %v", c.name, p.operator.drained, c.want)
		}
		for _, domain := range c.want {
			if !p.operator.drained[domain] {
				t.Errorf("%s: %q is not drained", c.name, domain)
			}
		}
	}
}

// TestDrainOrderIsAppliedBeforeTheConfiguration guards against sending requests to a drained failure
// domain right after a start: requests are admitted once the configuration is in force, so drain
// orders must be applied first.
func TestDrainOrderIsAppliedBeforeTheConfiguration(t *testing.T) {
	p := newTestInstance("a", newFakeClock(), &fakeLog{}, &fakeLog{})
	var drainedThen bool
	p.operator.records = spyRecords{seen: func() { drainedThen = p.operator.drained["a"] }}
	p.operator.applySnapshot([]keyedlog.Record{{Key: "config", Value: []byte("config 3")}, drainOrder("a", "{}", 1)})
	if p.config.Index() == nil || !drainedThen {
		t.Errorf("configuration known: %v; drained before it: %v; want both", p.config.Index() != nil, drainedThen)
	}
}

// spyRecords calls seen when the configuration record is examined.
type spyRecords struct {
	fakeRecords
	seen func()
}

func (s spyRecords) DrainedDomain(r keyedlog.Record) (string, bool) {
	if r.Key == "config" {
		s.seen() // called for each record before it is applied
	}
	return s.fakeRecords.DrainedDomain(r)
}

// TestDrainOrderOutlivesARestore guards against ending a drain because a restore lost its order: the
// failure domain stays drained until the operator has had time to write the order again. An order
// that was withdrawn and is restored applies until the withdrawal is written again.
func TestDrainOrderOutlivesARestore(t *testing.T) {
	clock, log := newFakeClock(), &fakeLog{era: 1}
	p := newTestInstance("a", clock, &fakeLog{}, &fakeLog{})
	reader := p.operator.reader(log, clock)
	drained := func(want ...string) {
		t.Helper()
		mustRead(t, reader)
		if len(p.operator.drained) != len(want) || len(want) > 0 && !p.operator.drained[want[0]] {
			t.Errorf("drained %v, want %v", p.operator.drained, want)
		}
	}
	log.add("config", "config 1")
	drained()
	log.add("drain/a", "{}")
	drained("a")
	log.restore(1)
	drained("a")
	clock.advance(drainKeepTime / 2)
	log.add("drain/a", "{}")
	drained("a")
	clock.advance(drainKeepTime)
	drained("a")
	log.add("drain/a", "")
	drained()
	log.restore(2)
	drained("a")
	log.add("drain/a", "")
	drained()
	log.restore(2)
	drained("a")
	log.restore(1)
	drained("a")
	clock.advance(drainKeepTime) // the drain ended during the outage
	drained()
}

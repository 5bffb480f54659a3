package passthrough

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

// TestConfigurationAgeCountsFromTheStartOfItsRead guards against accepting keys past the revocation
// bound: a configuration written while a read is in progress may be missing from its result.
func TestConfigurationAgeCountsFromTheStartOfItsRead(t *testing.T) {
	clock := newFakeClock()
	state := NewConfigState(clock, 5*time.Second)
	if state.Fresh() || state.Ready() {
		t.Error("fresh or ready before anything is known, want neither")
	}
	state.Apply(passthrough.Config{Version: 1})
	began := clock.Now()
	clock.advance(1400 * time.Millisecond) // duration of the read
	state.Confirm(began)
	if got := state.Age(); got != 1400*time.Millisecond || !state.Ready() {
		t.Errorf("age %v, ready %v, want 1.4 s, the duration of the read, and ready", got, state.Ready())
	}
	clock.advance(1200 * time.Millisecond)
	if state.Ready() || !state.Fresh() {
		t.Error("at 2.6 s, past half of the bound: want not ready, but still fresh")
	}
	clock.advance(2 * time.Second)
	if state.Fresh() {
		t.Error("fresh at 4.6 s, past nine tenths of the bound, want not fresh")
	}
	state.Confirm(began)
	if state.Fresh() {
		t.Error("an old read made it fresh again")
	}
}

// TestConfigurationNeverGoesBack guards against replacing the configuration in force by an older or
// equal version.
func TestConfigurationNeverGoesBack(t *testing.T) {
	state := NewConfigState(newFakeClock(), time.Second)
	state.Apply(passthrough.Config{Version: 7})
	for _, version := range []uint64{3, 7} {
		if _, applied := state.Apply(passthrough.Config{Version: version}); applied {
			t.Errorf("version %d is in force after version 7", version)
		}
	}
	if _, applied := state.Apply(passthrough.Config{Version: 9}); !applied || state.Index().Version != 9 {
		t.Error("version 9 is not in force after version 7")
	}
}

// TestOperatorReaderContinuesAfterTrim guards against losing the configuration if records are
// malformed, out of order or trimmed before they are read, and against confirming it by a failed read.
func TestOperatorReaderContinuesAfterTrim(t *testing.T) {
	clock, log := newFakeClock(), &fakeLog{}
	p := newTestInstance("a", clock, &fakeLog{}, &fakeLog{})
	log.add("config", "config 1")
	reader := p.operator.reader(log, clock)
	step := func() error { return reader.readOnce(t.Context()) }
	if err := step(); err != nil || p.config.Index().Version != 1 {
		t.Fatalf("first read: error %v, want none and version 1 in force", err)
	}
	log.add("config", "config 2")
	log.add("order/x", "nonsense")
	log.add("config", "config 5")
	log.add("config", "config 4")
	if err := step(); err != nil || p.config.Index().Version != 5 {
		t.Fatalf("after malformed and unordered records: version %d, error %v, want version 5 and none", p.config.Index().Version, err)
	}
	log.add("config", "config 8")
	log.firstKept = uint64(len(log.records))
	if err := step(); err != nil || p.config.Index().Version != 8 {
		t.Fatalf("after records were trimmed: version %d, error %v, want version 8 and none", p.config.Index().Version, err)
	}
	log.readErrs = []error{keyedlog.ErrUnknown}
	clock.advance(time.Second)
	age := p.config.Age()
	if err := step(); !errors.Is(err, keyedlog.ErrUnknown) || p.config.Age() != age {
		t.Error("a failed read confirmed the configuration or returned no ErrUnknown")
	}
}

// TestSnapshotAppliesOrdersAndConfiguration guards against admitting requests without the roll-outs in
// progress: a snapshot's roll-out orders are applied as well as its configuration, which admits requests.
func TestSnapshotAppliesOrdersAndConfiguration(t *testing.T) {
	clock := newFakeClock()
	p := newTestInstance("a", clock, &fakeLog{}, &fakeLog{})
	seen := false
	p.operator.applySnapshot([]keyedlog.Record{
		{Key: "config", Value: []byte("config 1")},
		{Key: "order/shop", Value: []byte("order shop v2 24")},
	})
	seen = p.rollouts.active()
	if !seen || p.config.Index() == nil {
		t.Errorf("order known: %v, configuration: %v, want both", seen, p.config.Index())
	}
}

// TestPartOfABacklogConfirmsNothing guards against accepting a revoked key while an instance catches up: a read that
// stops before the end of the log does not confirm the configuration, the one that reaches it does.
func TestPartOfABacklogConfirmsNothing(t *testing.T) {
	clock, log := newFakeClock(), &fakeLog{maxRead: 2}
	p := newTestInstance("a", clock, &fakeLog{}, &fakeLog{})
	log.add("config", "config 1")
	reader := p.operator.reader(log, clock)
	mustRead(t, reader)
	clock.advance(5 * time.Second)
	for version := 2; version <= 6; version++ {
		log.add("config", fmt.Sprint("config ", version))
	}
	for _, inForce := range []uint64{3, 5} {
		mustRead(t, reader)
		if got := p.config.Index().Version; got != inForce || p.config.Fresh() {
			t.Errorf("after a part of the backlog: version %d, fresh %v, want %d and not fresh", got, p.config.Fresh(), inForce)
		}
	}
	mustRead(t, reader)
	if got := p.config.Index().Version; got != 6 || !p.config.Fresh() {
		t.Errorf("at the end of the log: version %d, fresh %v, want 6 and fresh", got, p.config.Fresh())
	}
}

// TestPartOfABacklogIsReadOnAtOnce guards against a pause between the parts of a backlog, in which backend servers that
// have left still get requests.
func TestPartOfABacklogIsReadOnAtOnce(t *testing.T) {
	clock, log := newFakeClock(), &fakeLog{maxRead: 1}
	p := newTestInstance("a", clock, &fakeLog{}, &fakeLog{})
	reader := p.servers.reader(log, clock)
	mustRead(t, reader)
	for i := range 20 {
		log.add("s", fmt.Sprintf("server shop v%d ready", i))
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	pauses := 0
	reader.pause = func() time.Duration {
		pauses++
		cancel()
		return 0
	}
	reader.run(ctx)
	if reader.next.Offset != 20 || pauses != 1 {
		t.Errorf("read to offset %d with %d pauses, want 20 with one at the end", reader.next.Offset, pauses)
	}
}

// TestPartOfABacklogIsNoCompleteViewOfObservations guards against completing a roll-out on the observations of a part
// of a backlog.
func TestPartOfABacklogIsNoCompleteViewOfObservations(t *testing.T) {
	clock, log := newFakeClock(), &fakeLog{maxRead: 1}
	p := newTestInstance("a", clock, &fakeLog{}, log)
	reader := p.observations.reader(clock, func() bool { return true })
	mustRead(t, reader)
	clock.advance(2 * propagationTime)
	log.add("set/b", "{}")
	log.add("set/c", "{}")
	mustRead(t, reader)
	if !p.observations.mayMissRecords() {
		t.Error("after a part of the backlog: no observations are missing, want some")
	}
	mustRead(t, reader)
	if p.observations.mayMissRecords() {
		t.Error("at the end of the log: observations are missing, want none")
	}
}

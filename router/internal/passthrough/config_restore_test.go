package passthrough

import (
	"fmt"
	"testing"
	"time"
)

// restoredConfig is an instance that knows configuration 9, whose store came back with version 5, or
// with 9 too.
func restoredConfig(t *testing.T, lost bool) (*parts, *topicReader, *fakeLog, *fakeClock) {
	t.Helper()
	clock, log := newFakeClock(), &fakeLog{era: 1}
	p := newParts("a", clock, &fakeLog{}, &fakeLog{})
	reader := p.operator.reader(log, clock)
	log.add("config", "config 5")
	log.add("config", "config 9")
	read(t, reader)
	clock.advance(time.Second)
	if lost {
		log.restore(1)
	} else {
		log.restore(2)
	}
	read(t, reader)
	return p, reader, log, clock
}

func read(t *testing.T, reader *topicReader) {
	t.Helper()
	if err := reader.readOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// TestReadsOfACopyDoNotConfirmAConfigurationThatItLacks holds that an instance which knows more than
// the store leaves the rotation, then refuses keys, and is back once the operator wrote again.
func TestReadsOfACopyDoNotConfirmAConfigurationThatItLacks(t *testing.T) {
	p, reader, log, clock := restoredConfig(t, true)
	if v := p.config.Index().Version; v != 9 {
		t.Fatalf("version %d is in force", v)
	}
	for range 4 {
		clock.advance(time.Second)
		read(t, reader)
	}
	if p.config.Ready() || p.config.Fresh() {
		t.Errorf("5 s after the last word on it: ready %v, fresh %v", p.config.Ready(), p.config.Fresh())
	}
	log.add("config", "config 9")
	read(t, reader)
	if !p.config.Ready() || p.config.Index().Version != 9 {
		t.Errorf("after it was written again: ready %v, version %d", p.config.Ready(), p.config.Index().Version)
	}
}

// TestReadsOfACopyConfirmAfterAWhile holds that a configuration which the copy has is in doubt only
// until the operator had time to write a newer one again, and that no instance leaves the rotation
// for it.
func TestReadsOfACopyConfirmAfterAWhile(t *testing.T) {
	p, reader, _, clock := restoredConfig(t, false)
	before := p.config.Age()
	clock.advance(time.Second)
	read(t, reader)
	if got := p.config.Age(); got != before+time.Second {
		t.Errorf("a read of the copy confirmed it: age %v, was %v", got, before)
	}
	clock.advance(fractionOf(settleFraction, 5*time.Second) - time.Second)
	if !p.config.Ready() {
		t.Errorf("not ready at age %v", p.config.Age())
	}
	read(t, reader)
	if p.config.Age() != 0 {
		t.Errorf("age %v though the operator had time to write again", p.config.Age())
	}
}

// TestKeyRevokedBeforeARestoreStaysRevoked plays restores at any distance after a configuration that
// took a key away, which is written again later: no version ever goes back.
func TestKeyRevokedBeforeARestoreStaysRevoked(t *testing.T) {
	for keep := 1; keep <= 4; keep++ {
		clock, log := newFakeClock(), &fakeLog{era: 1}
		p := newParts("a", clock, &fakeLog{}, &fakeLog{})
		reader := p.operator.reader(log, clock)
		for v := 1; v <= 4; v++ {
			log.add("config", fmt.Sprint("config ", v))
			read(t, reader)
		}
		log.restore(keep)
		read(t, reader)
		log.add("config", fmt.Sprint("config ", keep)) // an earlier one comes first
		read(t, reader)
		if v := p.config.Index().Version; v != 4 {
			t.Errorf("%d kept: version %d is in force", keep, v)
		}
		log.add("config", "config 4")
		read(t, reader)
		if p.config.Age() != 0 {
			t.Errorf("%d kept: not confirmed after it was written again", keep)
		}
	}
}

// TestInstanceThatStartsAfterARestoreWaitsForTheOperator holds that an instance which has the copy's
// configuration alone serves no keys while others know a later one.
func TestInstanceThatStartsAfterARestoreWaitsForTheOperator(t *testing.T) {
	knows, _, log, clock := restoredConfig(t, true)
	p := newParts("late", clock, &fakeLog{}, &fakeLog{})
	reader := p.operator.reader(log, clock)
	read(t, reader)
	if !p.config.Fresh() {
		t.Fatal("not fresh with what the store has")
	}
	p.config.ReportLostVersion(knows.operator.restoreGuard.lostVersion())
	if p.config.Fresh() || p.config.Ready() {
		t.Error("fresh by a configuration that others know to be an old one")
	}
	log.add("config", "config 9")
	read(t, reader)
	if !p.config.Fresh() || p.config.Index().Version != 9 {
		t.Error("not fresh by the one that was written again")
	}
}

// TestInstanceThatWasToldKeepsThatWhenItIsCut holds that a configuration which is known to be an old one
// does not become fresh once nobody can tell that any more.
func TestSupersededConfigurationStaysUnconfirmedOncePeersAreUnreachable(t *testing.T) {
	_, _, log, clock := restoredConfig(t, true)
	p := newParts("late", clock, &fakeLog{}, &fakeLog{})
	read(t, p.operator.reader(log, clock))
	p.config.ReportLostVersion(9)
	clock.advance(lostVersionTTL + time.Millisecond)
	if p.config.Fresh() {
		t.Error("fresh by a read of the copy")
	}
}

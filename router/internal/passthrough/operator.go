package passthrough

import (
	"log/slog"
	"strconv"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/logging"
)

// operator follows the operator's records: the configuration, the roll-out orders, and the
// failure domains that are to be drained.
type operator struct {
	records  Records
	known    *Knowledge
	driver   *Driver
	rollouts *rollouts
	journal  *journal
	starting *starting
	clock    Clock
	// trust says whether reads confirm the configuration.
	trust *configTrust
	// drained are the failure domains that get no new work, domains all that there are. ordered
	// are those that the store has orders for; others among drained are kept until keepUntil.
	drained   map[string]bool
	ordered   map[string]bool
	keepUntil time.Time
	// kept are those of which the log was told that they are kept.
	kept    map[string]bool
	domains []string
	// collects says whether others read from this instance, direct whether it reads from
	// the store itself.
	collects func() bool
	direct   func() bool
}

func (o *operator) wait() time.Duration {
	part := pollPart
	switch {
	case o.collects():
		part = collectPart
	case !o.direct():
		part = followPart
	}
	return time.Duration(part * float64(o.known.Bound()))
}

const (
	// pollPart is the part of the revocation bound for which a read of the operator's
	// records waits for one. What is known is up to twice as old, and must stay under the
	// half at which readiness fails: 2.2 s of 5 s.
	pollPart = 0.22
	// collectPart and followPart are the same where others read from this instance, and
	// where it reads from another one: the collector's word is up to twice its wait old,
	// and the own wait comes on top: 2.1 s of 5 s. With a fifth instead of a tenth for
	// those that follow, instances left the rotation whenever a collector changed.
	collectPart = 0.16
	followPart  = 0.1
)

func (o *operator) reader(log keyedlog.Log, clock Clock) *topicReader {
	return &topicReader{
		name: topicOperator, log: log, clock: clock, journal: o.journal, wait: o.wait,
		whole:    o.takeAll,
		each:     o.take,
		restored: o.restored,
		read: func(began time.Time, _ int) {
			o.settleDrained()
			if o.trust.confirms() {
				o.known.Confirm(began)
			}
			if o.known.Index() != nil {
				o.starting.has(learntConfig)
			}
		},
	}
}

// takeAll applies the newest records, the configuration last: it lets requests in, and
// these must find the roll-outs.
func (o *operator) takeAll(list []keyedlog.Record) {
	o.takeDrained(list)
	for _, config := range []bool{false, true} {
		for _, r := range list {
			if _, ok, _ := o.records.Config(r); ok == config {
				o.takeRecord(r, false)
			}
		}
	}
}

// restored notes that the store came back from a copy.
func (o *operator) restored() {
	o.trust.restored()
	o.rollouts.restored()
	o.keepUntil = o.clock.Now().Add(drainKept)
}

// take applies one record that was written since the last read.
func (o *operator) take(r keyedlog.Record) { o.takeRecord(r, true) }

// takeRecord applies one record; written says that it is a new one, not one of the newest of each
// key. One that cannot be read changes nothing.
func (o *operator) takeRecord(r keyedlog.Record, written bool) {
	if domain, ok := o.records.DrainedDomain(r); ok {
		o.ordered[domain] = len(r.Value) > 0
		o.drain(domain, o.ordered[domain], r.Offset)
		return
	}
	if len(r.Value) == 0 {
		return
	}
	if c, ok, err := o.records.Config(r); ok || err != nil {
		o.apply(c, r, written, err)
		return
	}
	order, ok, err := o.records.Order(r)
	if err != nil {
		o.reject(r, err)
		return
	}
	if ok {
		o.rollouts.ordered(order, r.Offset)
	}
}

func (o *operator) apply(c passthrough.Config, r keyedlog.Record, written bool, err error) {
	if err != nil {
		o.reject(r, err)
		return
	}
	o.trust.saw(c.Version, written)
	index, applied := o.known.Apply(c)
	if !applied {
		if c.Version < index.Version {
			o.journal.stateKept("configuration", strconv.FormatUint(index.Version, 10), "the store has an earlier one")
		}
		return
	}
	o.driver.Tell(passthrough.Configured{Index: index})
	o.journal.count("config_applied")
	o.journal.emit(logging.EventConfigApplied, slog.Uint64(keyVersion, c.Version),
		slog.Int("routes", len(c.Routes)), slog.Int("teams", len(c.Teams)), slog.Uint64("offset", r.Offset))
}

func (o *operator) reject(r keyedlog.Record, err error) {
	o.journal.count("record_rejected")
	o.journal.emit(logging.EventRecordRejected, slog.String("key", r.Key),
		slog.Uint64("offset", r.Offset), slog.String(logging.KeyError, err.Error()))
}

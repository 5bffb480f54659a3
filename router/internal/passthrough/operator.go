package passthrough

import (
	"log/slog"
	"strconv"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/logging"
)

// operator follows the operator's records: the configuration, the roll-out orders and the drain
// orders.
type operator struct {
	records   Records
	config    *ConfigState
	driver    *Driver
	rollouts  *rollouts
	telemetry *telemetry
	startGate *startGate
	clock     Clock
	// restoreGuard decides whether reads confirm the configuration.
	restoreGuard *restoreGuard
	// drained are the failure domains that get no new work. drainOrders are those for which the
	// store has an order; the others in drained stay drained until keepUntil.
	drained     map[string]bool
	drainOrders map[string]bool
	keepUntil   time.Time
	// keptLogged are the failure domains for which it was logged that they stay drained. domains
	// are all failure domains.
	keptLogged map[string]bool
	domains    []string
	// isCollector reports whether other instances read from this one, readsStore whether it
	// reads from the store itself.
	isCollector func() bool
	readsStore  func() bool
}

// wait returns how long a read of the operator's records waits for a new one.
func (o *operator) wait() time.Duration {
	fraction := readWaitFraction
	switch {
	case o.isCollector():
		fraction = collectorWaitFraction
	case !o.readsStore():
		fraction = followerWaitFraction
	}
	return time.Duration(fraction * float64(o.config.Bound()))
}

const (
	// readWaitFraction is the fraction of the revocation bound for which a read of the
	// operator's records waits for a new one. The configuration's age reaches twice the wait,
	// 2.2 s with a bound of 5 s, and must stay below unreadyFraction of the bound.
	readWaitFraction = 0.22
	// collectorWaitFraction and followerWaitFraction are the same for a collector and for an
	// instance that reads from one. At a follower, the configuration's age reaches twice the
	// collector's wait plus the follower's own, 2.1 s with a bound of 5 s. With 0.2 for
	// followers, instances leave the rotation whenever a collector changes.
	collectorWaitFraction = 0.16
	followerWaitFraction  = 0.1
)

// reader returns a reader of the operator's records.
func (o *operator) reader(log keyedlog.Log, clock Clock) *topicReader {
	return &topicReader{
		name: topicOperator, log: log, clock: clock, telemetry: o.telemetry, wait: o.wait,
		onSnapshot: o.applySnapshot,
		onRecord:   o.applyNew,
		// The other records need no such delay: this process has no earlier state of them.
		onFirstRead: o.restoreGuard.onFirstRead,
		onRestore:   o.onRestore,
		onCaughtUp: func(asOf time.Time) {
			if o.restoreGuard.confirms() {
				o.config.Confirm(asOf)
			}
		},
		onRead: func() {
			o.reconcileDrained()
			if o.config.Index() != nil {
				o.startGate.loaded(prerequisiteConfig)
			}
		},
	}
}

// applySnapshot applies the newest records, the configuration last: once it is in force, requests are
// admitted, and by then the roll-outs and drain orders must be known.
func (o *operator) applySnapshot(list []keyedlog.Record) {
	o.replaceDrainOrders(list)
	for _, wantConfig := range []bool{false, true} {
		for _, r := range list {
			if _, ok, _ := o.records.Config(r); ok == wantConfig {
				o.applyRecord(r, false)
			}
		}
	}
}

// onRestore starts the periods in which the restored store may lack the operator's records.
func (o *operator) onRestore() {
	o.restoreGuard.onRestore()
	o.rollouts.onRestore()
	o.keepUntil = o.clock.Now().Add(drainKeepTime)
}

// applyNew applies one record that was written since the last read.
func (o *operator) applyNew(r keyedlog.Record) { o.applyRecord(r, true) }

// applyRecord applies one record. written is true if the record is new, false if it is part of a
// snapshot. A malformed record changes nothing.
func (o *operator) applyRecord(r keyedlog.Record, written bool) {
	if domain, ok := o.records.DrainedDomain(r); ok {
		o.drainOrders[domain] = len(r.Value) > 0
		o.setDrained(domain, o.drainOrders[domain], r.Offset)
		return
	}
	if len(r.Value) == 0 {
		return
	}
	if c, ok, err := o.records.Config(r); ok || err != nil {
		o.applyConfig(c, r, written, err)
		return
	}
	order, ok, err := o.records.Order(r)
	if err != nil {
		o.reject(r, err)
		return
	}
	if ok {
		o.rollouts.applyOrder(order, r.Offset)
	}
}

func (o *operator) applyConfig(c passthrough.Config, r keyedlog.Record, written bool, err error) {
	if err != nil {
		o.reject(r, err)
		return
	}
	o.restoreGuard.noteStored(c.Version, written)
	index, applied := o.config.Apply(c)
	if !applied {
		if c.Version < index.Version {
			o.telemetry.logStateKept("configuration", strconv.FormatUint(index.Version, 10), "the store has an earlier version")
		}
		return
	}
	o.driver.Handle(passthrough.Configured{Index: index})
	o.telemetry.count("config_applied")
	o.telemetry.emit(logging.EventConfigApplied, slog.Uint64(keyConfigVersion, c.Version),
		slog.Int("routes", len(c.Routes)), slog.Int("teams", len(c.Teams)), slog.Uint64("offset", r.Offset))
}

func (o *operator) reject(r keyedlog.Record, err error) {
	o.telemetry.count("record_rejected")
	o.telemetry.emit(logging.EventRecordRejected, slog.String("key", r.Key),
		slog.Uint64("offset", r.Offset), slog.String(logging.KeyError, err.Error()))
}

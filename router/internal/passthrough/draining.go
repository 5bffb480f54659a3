package passthrough

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/logging"
)

// setDrained starts or ends the drain of a failure domain, which gets no new work while drained. When
// setDrained returns, the change is in effect at this instance, also for queued requests.
func (o *operator) setDrained(domain string, drained bool, offset uint64) {
	if o.drained[domain] == drained {
		return
	}
	event := logging.EventDomainBack
	delete(o.drained, domain)
	delete(o.keptLogged, domain)
	if drained {
		event = logging.EventDomainDrained
		o.drained[domain] = true
	}
	o.driver.Handle(passthrough.DomainsDrained{Domains: slices.Sorted(maps.Keys(o.drained))})
	o.telemetry.gauge("drained_domains", len(o.drained))
	o.telemetry.emit(event, slog.String("domain", domain), slog.Uint64("offset", offset),
		slog.Bool("known", slices.Contains(o.domains, domain)))
}

// drainKeepTime is how long a failure domain stays drained after a restore if the store has no drain
// order for it: within that time the operator writes a lost order again.
const drainKeepTime = 5 * time.Second

// replaceDrainOrders applies a snapshot's drain orders. If it has none for a drained failure domain,
// either the drain has ended or the order was lost in a restore; reconcileDrained decides which.
//
// Load: a drain order that was acknowledged is missing in the restored store. Harm prevented: the
// drain ends, and all instances send requests to a failure domain that is about to lose power.
func (o *operator) replaceDrainOrders(list []keyedlog.Record) {
	clear(o.drainOrders)
	for _, r := range list {
		if domain, ok := o.records.DrainedDomain(r); ok && len(r.Value) > 0 {
			o.drainOrders[domain] = true
		}
	}
	o.reconcileDrained()
}

// reconcileDrained ends the drain of failure domains for which the store has no order, unless they
// are kept after a restore.
func (o *operator) reconcileDrained() {
	for _, domain := range slices.Sorted(maps.Keys(o.drained)) {
		switch {
		case o.drainOrders[domain]:
		case o.clock.Now().Before(o.keepUntil):
			if !o.keptLogged[domain] {
				o.keptLogged[domain] = true
				o.telemetry.logStateKept("drained", domain, "the restored store has no drain order for it")
			}
		default:
			const unknownOffset = 0 // the record that ended the drain is not in the snapshot
			o.setDrained(domain, false, unknownOffset)
		}
	}
}

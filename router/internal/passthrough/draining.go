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

// drain takes in that a failure domain is to get no new work, or is taken back. The order is in
// force here when this returns, for what waits in the queue as well.
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

// drainKept is how long a failure domain stays drained whose order a restored store lacks: the
// operator writes it again, unless the domain was taken back meanwhile.
const keepDrainedFor = 5 * time.Second

// takeDrained applies the newest orders to drain: a failure domain that is not among them was
// taken back meanwhile, or its order is lost with a restored store.
//
// Load: an order to drain that was acknowledged and is not in the copy. Harm prevented: all
// instances sending to a failure domain that is about to lose power.
func (o *operator) replaceDrainOrders(list []keyedlog.Record) {
	clear(o.drainOrders)
	for _, r := range list {
		if domain, ok := o.records.DrainedDomain(r); ok && len(r.Value) > 0 {
			o.drainOrders[domain] = true
		}
	}
	o.reconcileDrained()
}

// settleDrained takes back the failure domains that the store has no order for, unless they are
// kept.
func (o *operator) reconcileDrained() {
	for _, domain := range slices.Sorted(maps.Keys(o.drained)) {
		switch {
		case o.drainOrders[domain]:
		case o.clock.Now().Before(o.keepUntil):
			if !o.keptLogged[domain] {
				o.keptLogged[domain] = true
				o.telemetry.logStateKept("drained", domain, "the store has no order for it")
			}
		default:
			const unknownOffset = 0 // the record that took it back is not kept
			o.setDrained(domain, false, unknownOffset)
		}
	}
}

package passthrough

import (
	"log/slog"
	"maps"
	"slices"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/logging"
)

// drain takes in that a failure domain is to get no new work, or is taken back. The order is in
// force here when this returns, for what waits in the queue as well.
func (o *operator) drain(domain string, drained bool, offset uint64) {
	if o.drained[domain] == drained {
		return
	}
	event := logging.EventDomainBack
	delete(o.drained, domain)
	if drained {
		event = logging.EventDomainDrained
		o.drained[domain] = true
	}
	o.driver.Tell(passthrough.Drained{Domains: slices.Sorted(maps.Keys(o.drained))})
	o.journal.gauge("drained_domains", len(o.drained))
	o.journal.emit(event, slog.String("domain", domain), slog.Uint64("offset", offset),
		slog.Bool("known", slices.Contains(o.domains, domain)))
}

// takeDrained applies the newest orders to drain: a failure domain that is not among them was
// taken back meanwhile.
func (o *operator) takeDrained(list []keyedlog.Record) {
	ordered := map[string]bool{}
	for _, r := range list {
		if domain, ok := o.records.DrainedDomain(r); ok && len(r.Value) > 0 {
			ordered[domain] = true
		}
	}
	for domain := range maps.Clone(o.drained) {
		if !ordered[domain] {
			const unknownOffset = 0 // the record that took it back is not kept
			o.drain(domain, false, unknownOffset)
		}
	}
}

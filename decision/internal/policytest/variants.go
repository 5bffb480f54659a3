package policytest

import "masticplank.example/decision"

// Variant is a policy under measurement.
type Variant struct {
	Name string
	New  func(seed uint64) Policy
}

// plain is what a router without this module's decisions does: requests in the
// order in which they came, whatever the wait, without affinity or verdicts.
var plain = decision.Policy{NoAffinity: true, NoVerdicts: true, FIFO: true, NoWaitLimit: true}

// Variants lists the policies. The first is the one meant for use; the next two
// are plain routers, and each of the others differs from it in one decision.
func Variants() []Variant {
	roundRobin, least := plain, plain
	roundRobin.Placement = decision.PlaceRoundRobin
	least.Placement = decision.PlaceLeastOutstanding
	return []Variant{
		{"decision", world(decision.Policy{})},
		{"round robin", world(roundRobin)},
		{"least outstanding", world(least)},
		{"always the best model", world(decision.Policy{Cascade: decision.CascadeBest})},
		{"fixed cascade", world(decision.Policy{Cascade: decision.CascadeFixed})},
		{"no affinity", world(decision.Policy{NoAffinity: true})},
		{"no shift", world(decision.Policy{NoVerdicts: true})},
	}
}

// world makes the real policy with some of its decisions replaced.
func world(p decision.Policy) func(uint64) Policy {
	return func(seed uint64) Policy {
		cfg := decision.DefaultConfig()
		cfg.Seed = seed
		cfg.Policy = p
		return decision.NewWorld(cfg)
	}
}

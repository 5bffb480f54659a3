package policytest

import "masticplank.example/decision"

// Variant is a policy under measurement.
type Variant struct {
	Name string
	New  func(seed uint64) Policy
}

// plain is what a router without this module's decisions does: requests in the
// order in which they came, whatever the wait, without affinity or verdicts.
var baseline = decision.Policy{NoAffinity: true, NoVerdicts: true, FIFO: true, NoWaitLimit: true}

// Variants lists the policies. The first is the one meant for use; the next two
// are plain routers, and each of the others differs from it in one decision.
func Variants() []Variant {
	roundRobin, least := baseline, baseline
	roundRobin.Placement = decision.PlaceRoundRobin
	least.Placement = decision.PlaceLeastOutstanding
	return []Variant{
		{"decision", newWorld(decision.Policy{})},
		{"round robin", newWorld(roundRobin)},
		{"least outstanding", newWorld(least)},
		{"always the best model", newWorld(decision.Policy{Cascade: decision.CascadeBest})},
		{"fixed cascade", newWorld(decision.Policy{Cascade: decision.CascadeFixed})},
		{"no affinity", newWorld(decision.Policy{NoAffinity: true})},
		{"no shift", newWorld(decision.Policy{NoVerdicts: true})},
	}
}

// world makes the real policy with some of its decisions replaced.
func newWorld(p decision.Policy) func(uint64) Policy {
	return func(seed uint64) Policy {
		cfg := decision.DefaultConfig()
		cfg.Seed = seed
		cfg.Policy = p
		return decision.NewWorld(cfg)
	}
}

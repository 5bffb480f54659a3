package policytest

import "masticplank.example/decision"

// Variant is a named policy to measure.
type Variant struct {
	Name string
	New  func(seed uint64) Policy
}

// baseline is a router without the decisions of this module: it serves requests
// in order of arrival, however long the wait, without prefix affinity or verdicts.
var baseline = decision.Policy{NoAffinity: true, NoVerdicts: true, FIFO: true, NoWaitLimit: true}

// Variants returns the policies to measure. The first is the one for production,
// the next two are baseline routers, and each of the others differs from the
// first in one decision ("no shift" uses no verdicts).
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

// newWorld returns a constructor of the real policy with some decisions replaced.
func newWorld(p decision.Policy) func(uint64) Policy {
	return func(seed uint64) Policy {
		cfg := decision.DefaultConfig()
		cfg.Seed = seed
		cfg.Policy = p
		return decision.NewWorld(cfg)
	}
}

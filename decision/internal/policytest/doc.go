// Package policytest measures decision policies under scripted loads.
//
// Callers, engines and the rating service are small models; the policy is the
// real one or a baseline on the same seam, decision's events and commands. It is
// no simulator of a cluster: it has no network and no failures but those that a
// Load names. Everything is drawn from the seed, and what a request is (its
// size, how hard it is) is drawn before any policy sees it, so that policies are
// compared on the same requests.
//
// The engine model: continuous batching with a bounded number of slots, a queue
// of its own behind them, prefill before decode, decode slowing with the batch,
// a bounded prefix cache. Load reports and cache events reach the instances
// late, and some cache events are lost.
//
//	go test ./internal/policytest -run TestMeasure -seeds 20 -timeout 20m -v
//
// prints the tables of docs/MEASUREMENTS.md.
package policytest

// Package policytest measures decision policies under scripted loads.
//
// Callers, engines and the rating service are simple models. The policy is the
// real one or a baseline with the same interface, the events and commands of
// package decision. The package does not simulate a cluster: there is no network,
// and no failures but those that a Load specifies. All random numbers are drawn
// from the seed, and the properties of a request (such as its size and difficulty)
// before any policy sees it, so that policies are compared on the same requests.
//
// The engine model: continuous batching with a bounded number of slots, a queue
// for requests beyond them, prefill (computing the prompt) before decode
// (generating tokens), decode slowing down with the batch size, a bounded prefix
// cache. Load reports and cache events reach the instances late, and some cache
// events are lost.
//
// In the folder of the module,
//
//	go test ./internal/policytest -run TestMeasure -seeds 20 -timeout 20m -v
//
// prints the tables of docs/MEASUREMENTS.md.
package policytest

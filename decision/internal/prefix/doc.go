// Package prefix indexes which backend servers have which prompt prefixes in
// their caches, so that a request can go to a server that need not compute most
// of its prompt again. Its results are hints: a wrong one costs a prefill (the
// computation of a prompt before the first token) and never an answer.
//
// A block hash is chained over the blocks before it, so one hash identifies a
// whole prefix, and the deepest known hash of a prompt is its longest match.
//
// The package is pure: no I/O, no clock, no goroutines. Nothing here is safe for
// concurrent use.
//
// # Wiring
//
// The events and commands named here are those of package decision.
//
// On CacheChanged of a listed server: Index.ApplyCacheEvent. Leave out servers
// that are not listed: the index keeps an entry for each server it is called with,
// until Index.Forget. On a Dispatch of a prompt: Index.RecordDispatch. When a
// server leaves the list or crashes: Index.Forget. When placing: Index.Match, then
// prefer a matched server as long as its load is below a bound; above that the queue
// there costs more than the prefill that it saves.
package prefix

// Package prefix remembers which backend servers hold which prompt prefixes in
// their caches, so that a request can go where most of its prompt need not be
// computed again. What it says is a hint: a wrong one costs a prefill and never
// an answer.
//
// A block hash is chained over the blocks before it, so one hash stands for a
// whole prefix and the deepest known hash of a prompt is its longest match.
//
// The package is pure: no I/O, no clock, no goroutine. Nothing here is safe for
// concurrent use.
//
// # Wiring
//
// On CacheChanged of a listed server: Index.Changed; one row is kept for each
// server that was named. On a Dispatch of a prompt: Index.Dispatched.
// When a server leaves the list or crashes: Index.Forget. When placing:
// Index.Match, then take a matched server into the choice while its load is
// within a bound of the others'; past that the queue there costs more than the
// prefill that it saves.
package prefix

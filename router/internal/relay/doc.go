// Package relay lets instances share their reads of the platform's store: in each failure
// domain one instance, the collector, reads the topics from the store, and the others, its
// followers, read them from it over JSON-RPC. Every answer states its age, so that the bounds
// on freshness are as strict as with reads from the store itself.
//
// There is no election. All instances of a failure domain rank each other in the same order, by
// their CPU cores and then by a hash of their names, and ask the first one that answers; the
// first-ranked instance reads the store itself. An instance that gets no answer, or one that is too
// old, asks the next in rank and at last reads the store, so that a collector that is dead, frozen
// or disconnected costs its followers one timeout.
package relay

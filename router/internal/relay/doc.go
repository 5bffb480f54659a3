// Package relay lets instances share their reads of the platform's store: in each failure
// domain one instance, the collector, reads the topics, and the others read them from it
// over JSON-RPC. Every answer says how old it is, so that what must be fresh stays as
// strict as with reads of one's own.
//
// There is no election. All rank the instances of their failure domain alike, by a hash of
// their names, and ask the first that answers; the first one itself reads the store. An
// instance that gets no answer, or too old a one, reads the store, so a collector that is
// dead, frozen or cut off costs its followers one time-out.
package relay

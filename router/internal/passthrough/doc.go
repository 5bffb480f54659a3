// Package passthrough serves pass-through routes: it accepts callers' requests, asks
// decision/passthrough where to send each, runs the attempts, and returns the responses
// unchanged. It follows the operator's records and the list of backend servers, and
// executes roll-outs. The interfaces in ports.go abstract from the names and formats of the
// platform.
//
// To limit the load on the platform's store, one instance of each failure domain, the collector,
// usually reads it for the others, its followers (see package relay).
package passthrough

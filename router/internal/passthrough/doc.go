// Package passthrough serves pass-through routes: it accepts callers' requests, asks
// decision/passthrough where to send each, runs the attempts, and returns the responses
// unchanged. It follows the operator's records and the list of backend servers, and
// executes roll-outs. The interfaces in ports.go abstract from the names and formats of the
// platform.
package passthrough

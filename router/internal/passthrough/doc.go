// Package passthrough serves pass-through routes: it takes callers' requests, asks
// decision/passthrough where each goes, runs the attempts, and hands the answers back
// unchanged. It follows the operator's records and the list of backend servers, and carries
// roll-outs out. What the platform calls things is behind the interfaces in ports.go.
package passthrough

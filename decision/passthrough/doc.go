// Package passthrough makes the decisions for pass-through routes: requests that are
// forwarded byte for byte to a backend server of a service, which a configuration
// selects by host and path.
//
// Index finds the route and the team of a request in a configuration. World holds tables
// of backend servers, requests, sessions and roll-outs. Each Tick applies events and
// returns commands. The package uses no sockets, clocks or goroutines; equal seeds and
// events give equal commands.
package passthrough

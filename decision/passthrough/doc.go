// Package passthrough makes the decisions for pass-through routes: requests that are
// forwarded byte for byte to a backend server, which a configuration selects by host
// and path.
//
// World holds tables of routes, teams, backend servers and requests. Each Tick applies
// events and returns commands. The package uses no sockets, clocks or goroutines; equal
// seeds and events give equal commands.
package passthrough

// Package passthrough decides for pass-through routes: requests whose bytes go on
// unchanged to a backend server that a configuration names by host and path.
//
// It holds tables of routes, teams, backend servers and requests, and runs its systems
// over them on each Tick: events go in, commands come out. It knows no sockets, clocks
// or goroutines, and equal seeds and events give equal commands.
package passthrough

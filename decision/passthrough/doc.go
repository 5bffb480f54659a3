// Package passthrough makes the decisions for pass-through routes: requests that are
// forwarded byte for byte to a backend server of a service, which a configuration
// selects by host and path.
//
// Index finds the route and the team of a request in a configuration. World holds tables
// of backend servers, requests, sessions and roll-outs. Each Tick applies events and
// returns commands. The package uses no sockets, clocks or goroutines; equal seeds and
// events give equal commands.
//
// The servers of a service are either plain or engines, which run language models. An engine first
// processes a request's prompt (the prefill), of which a prefix shared with earlier prompts may be
// cached, and then generates the response, usually as a stream of events.
package passthrough

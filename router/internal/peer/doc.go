// Package peer exchanges state between instances, by JSON-RPC 2.0 over TCP.
//
// It reaches no agreement: that is done by the platform's log. Peers compare
// digests, transfer state to an instance that cannot read the log, vouch for a
// head of the log, pass on health information about versions, backend servers
// and crashing requests, and keep a second copy of a bill while the log is
// unreachable. A message that is malformed, too large or out of bounds is
// answered with an error and changes nothing.
//
// In each interval an instance exchanges digests with three peers, so the cost
// per instance does not grow with the fleet; while it cannot read the log, it
// queries up to 16 more. The platform's list only gives addresses: an answer
// counts as a peer's only if it comes under the name that the list has for that
// address.
package peer

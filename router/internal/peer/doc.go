// Package peer is what instances tell each other, by JSON-RPC 2.0 over TCP.
//
// Nothing is agreed on here: the platform's log does that. Peers compare
// digests, hand state to one that cannot read the log, vouch for a head of the
// log, pass on what they learnt about versions and backend servers, and keep a
// second copy of a bill while the log is down. A message that is malformed,
// too large or out of bounds gets an error and changes nothing.
//
// Each interval an instance exchanges digests with three peers, so the cost
// for each does not grow with the fleet. A peer is what answers under the name
// that the platform's list gives it; the list only suggests.
package peer

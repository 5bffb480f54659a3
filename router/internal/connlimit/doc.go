// Package connlimit bounds what the connections of a process's clients use: descriptors, bytes that were received and not
// read, and bytes that were read and parsed.
//
// Load: clients that ignore the limits of the protocol, any number of them, at any listener. Harm prevented: the process
// exceeds its memory limit and is killed, or has no descriptor left for the store, its peers and backend servers.
//
// Each listener has Bounds, its share of what the process may use (Plan). A Listener counts a connection from the moment it is
// accepted until it is closed, and what has been read on it until its request has ended. When there is no room, connections
// give way in an order that favours ordinary clients (pool): never one with a request in progress, and the new connection
// itself only if no other one may be closed. A limit for one connection alone would not bound the sum, and turning away new
// connections alone would let clients that stay silent lock out all others.
//
// Conn enforces Limits, what a single client may send and how long it may take. HTTPServer returns the server of a Listener.
package connlimit

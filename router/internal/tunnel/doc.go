// Package tunnel lets an instance that has no path to the backend servers send its requests through peers.
//
// A tunnel is one HTTP request from an instance to a peer. The peer connects to the backend server first.
// Only then does it ask for the request's body (100 Continue), which it writes to the server as it is; the
// response's body is what the server sends back. So a tunnel that could not be opened has carried nothing,
// and the instance that opened it decides and accounts for everything but the connection. The response's
// trailer says how the server ended its connection, and how many bytes of the request were written to it: without it, the
// end is the peer's.
package tunnel

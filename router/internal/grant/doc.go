// Package grant asks the holders of rate-limited backend servers for grants, and answers the instances that ask this one.
//
// A question is one small HTTP request on a connection that is kept. Which instance is a server's holder, and whether it
// has a turn, is decided by decision/passthrough. An instance that is asked although others rank before it asks these
// first: the one that asks may only be cut off from them. Such a question is passed on once.
package grant

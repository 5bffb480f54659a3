// Package history records concurrent runs of nodes on a faulty log; its tests
// check the histories, cluster.go has the nodes and their callers. No program
// uses it.
package history

// Package history tests concurrent runs of nodes on a faulty log. cluster.go
// runs the nodes, their callers and the faults, models.go has the sequential
// models that the recorded histories are checked against. No program imports
// it.
package history

// Package faultmatrix injects faults at the steps of a request, of a
// publication and of an instance's life cycle. Each tested combination of step
// and fault is one named cell, defined in the tests. The other files are their
// testbed: complete instances (decision, node, gate, peers, API) over in-memory
// connections and a fake clock. The package is used by its tests only.
package faultmatrix

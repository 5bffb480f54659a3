// Package faultmatrix injects each fault at each step of a request, of a
// publication and of an instance's life cycle. Each combination is one named
// cell, defined in the tests. The other files are their testbed: complete
// instances (decision, node, gate, peers, API) over in-memory connections and a
// fake clock. The package is used by its tests only.
package faultmatrix

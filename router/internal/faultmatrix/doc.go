// Package faultmatrix puts each fault to each step of a request, of a publication
// and of an instance's life, one named cell each. The tests hold the cells; the
// rest is the bed that they run on: whole instances (decision, node, gate, peers,
// callers' edge) over in-memory connections and a fake clock. No program uses it.
package faultmatrix

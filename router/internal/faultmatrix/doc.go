// Package faultmatrix holds no code to import: its tests put each fault to each
// step of a request, of a publication and of an instance's life, one named cell
// each, with whole instances (decision, node, gate, peers, callers' edge) over
// in-memory connections and a fake clock.
package faultmatrix

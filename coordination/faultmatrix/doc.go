// Package faultmatrix puts each fault to each step of the paths through the log,
// one named cell each. The tests hold the cells, bed.go the instances that they
// run on. No program uses it.
package faultmatrix

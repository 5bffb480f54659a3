// Package faultmatrix tests each path through the log (such as claiming a request
// or publishing a manifest) under faults: the matrix has one named cell for each
// pair of a step of a path and a fault. The test files contain the cells,
// testbed.go the instances that they run on. No program imports it.
package faultmatrix

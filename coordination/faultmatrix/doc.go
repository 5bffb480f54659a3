// Package faultmatrix tests each step of the paths through the log under each
// fault, one named cell per pair. The test files contain the cells, testbed.go
// the instances that they run on. No program imports it.
package faultmatrix

// Package faultmatrix tests the steps of the paths through the log under faults,
// one named cell per pair of step and fault. The test files contain the cells,
// testbed.go the instances that they run on. No program imports it.
package faultmatrix

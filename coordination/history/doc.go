// Package history holds no code to import: its tests record concurrent runs of
// nodes on a faulty log and check the histories.
package history

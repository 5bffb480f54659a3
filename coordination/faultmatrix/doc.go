// Package faultmatrix holds no code to import: its tests put each fault to each
// step of the paths through the log, one named cell each.
package faultmatrix

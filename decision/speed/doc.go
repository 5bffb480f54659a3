// Package speed knows how long work takes at each backend server: usually, and at this moment.
//
// What is known is a table of servers' processes. Its evidence is what servers state about their machines and how long
// measured work took there; the evidence of all instances is pooled, as one instance meets one server too rarely. All of
// it is pure: evidence and the time go in, factors come out.
package speed

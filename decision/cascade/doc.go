// Package cascade decides which requests get the larger models' time when there is too little of it, for the sum of
// all instances.
//
// What is known is how much prefill the engines of a service have outstanding, by all instances, and how the work that
// the larger models are asked for divides into classes. All instances derive nearly the same level from it: the fraction
// of that work for which there is room. All of it is pure: requests, the pool and the time go in, shares and releases come out.
package cascade

// Package completion forecasts when the last token of a streamed response arrives.
//
// A forecast is made for one request at one backend server with one model: the wait for prefill, the prefill itself and
// the generation of the expected tokens. What it needs to know of engines is learned from responses, at unit speed; the
// speed factors of servers come from package speed. All of it is pure: durations and factors go in, forecasts come out.
package completion

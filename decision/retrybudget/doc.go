// Package retrybudget divides what the retry budget of a service allows among the instances that need it.
//
// Load: seventy instances with two to ten requests a second each, of which those near a fault have several times the
// failures of the others. Harm prevented: requests fail and weak responses are kept at the instances whose part of the
// budget is spent, while other instances have retries left that nobody uses.
package retrybudget

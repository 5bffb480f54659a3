// Package estimate estimates the quality and length of answers per team, task
// class and version, and plans the cascade of a request from these estimates:
// which version runs first, and the rating below which a second, more expensive
// version replaces its answer.
//
// A plan is the cheapest one whose expected quality, less a configured number of
// standard errors, meets the team's target. Plans are single versions and pairs.
// The expected cost of a pair is c1 + P(escalate)*c2, so a pair whose cheap step
// does not pay for itself costs more than the expensive version alone, and needs
// no special rule.
//
// The package is pure: no I/O, no clock, no goroutines; random numbers are drawn
// by the caller. Nothing here is safe for concurrent use.
//
// # Wiring
//
// The events named here are those of package decision.
//
// On a manifest: Table.Apply. For a request that leaves the model open:
// Table.Plan with one Option for each version that the roll-out, the verdicts
// and the pools allow now; dispatch Plan.First, and hold its answer if
// Plan.Cascade. On AttemptEnded: Table.ObserveLength. On AnswerRated:
// Table.ObserveRating, and if the attempt was a cascade's second step
// Table.ObserveEscalatedRating as well. When a held answer is rated:
// Plan.Escalate; if its rating is Late, deliver it. Ask for ratings of answers
// that are not held too: they improve the estimates, and they show when the
// rating service has recovered.
package estimate

// Package estimate learns, per team, task class and version, how good and how
// long answers are, and plans a request's cascade by it: which version runs
// first, and from which rating on a second, dearer one replaces its answer.
//
// A plan is the cheapest one whose expected quality, less one standard error,
// meets the team's target. Plans are single versions and pairs; a pair's cost
// is c1 + P(escalate)*c2, so one whose cheap step does not pay for itself loses
// to the dear version alone without a rule of its own.
//
// The package is pure: no I/O, no clock, no goroutine, and chance comes in as a
// number drawn by the caller. Nothing here is safe for concurrent use.
//
// # Wiring
//
// On a manifest: Table.Apply. For a request that leaves the model open:
// Table.Plan with one Option for each version that the roll-out, the verdicts
// and the pools allow it now; dispatch Plan.First, with Hold when Plan.Cascade.
// On AttemptEnded: Table.Ended. On AnswerRated: Table.Rated, and where the
// attempt was a cascade's second step Table.RatedSecond as well. When a held
// answer is rated: Plan.Escalate; when its rating is Late, deliver it. Ask for a
// rating of unheld answers too: they teach, and they show that the rating
// service is back.
package estimate

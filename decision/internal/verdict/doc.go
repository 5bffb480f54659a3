// Package verdict judges versions, backend servers and requests by the outcomes
// of their attempts, and decides what may still be sent to them:
//
//   - Versions compares each version with its predecessor and blocks one that
//     is statistically worse, except for a small share of probes;
//   - Outliers ejects backend servers that are slow or failing compared with
//     their peers, up to a configured share of them;
//   - Crashes counts the backend servers that a request has crashed and reports
//     at the second (by default) that the request must be quarantined.
//
// The package is pure: no I/O, no clock, no goroutines. Callers pass the time,
// which must not run backwards. Nothing here is safe for concurrent use.
//
// # Wiring
//
// The events named here are those of package decision.
//
// On a manifest: Versions.Apply. On a new list of servers: Outliers.Apply. For
// each request that the roll-out share gives to a version: Versions.Admit, which
// also limits the rate of probes; if it returns Blocked, use the predecessor or
// another model, and if nothing else is allowed, serve the version all the same,
// since a worse answer is better than none. Do not let a probe open a session: it
// would pin the session to the bad version. On AttemptEnded:
// Versions.ObserveAttempt, Outliers.ObserveAttempt, Crashes.AttemptEnded. On
// AnswerRated (not Late): Versions.ObserveRating. On VersionVerdict:
// Versions.ApplyPeerVerdict. On a quarantine from the log or a peer:
// Crashes.ApplyQuarantine. Once per tick: Outliers.Sweep, and
// Versions.VerdictsToShare for what to send to the peers (verdicts, and
// suspicions, which make the peers block a version for a short while). When
// placing: Outliers.Admit for each of the few candidates, Outliers.RecordDispatch
// for the one chosen, Crashes.Admit and Crashes.AttemptStarted for the request's
// fingerprint.
package verdict

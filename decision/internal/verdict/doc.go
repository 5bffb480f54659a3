// Package verdict judges versions, backend servers and requests by what came
// of their attempts, and says what may still be sent where:
//
//   - Versions compares each version with its predecessor and bars one that is
//     statistically worse, but for a trickle of probes;
//   - Outliers ejects backend servers that are slow or failing beside their
//     peers, never more than a share of them;
//   - Crashes counts the backend servers that a request has crashed and asks
//     for its quarantine at the second.
//
// The package is pure: no I/O, no clock, no goroutine. Callers pass the time
// in, and it must not run backwards. Nothing here is safe for concurrent use.
//
// # Wiring
//
// On a manifest: Versions.Apply. For each request that the roll-out share gives
// to a version: Versions.Admit, which also meters the probes; when it says
// Barred, take the predecessor or another model, and when nothing else is
// allowed, serve the version all the same, since a worse answer beats none. Do
// not let a probe open a session: it would hold the session to the bad version.
// On AttemptEnded: Versions.Ended, Outliers.Ended. On AnswerRated (not Late):
// Versions.Rated. On VersionVerdict: Versions.Peer. Once per tick:
// Versions.Share for the words to send (verdicts, and suspicions that make the
// peers hold back for a short while), Outliers.Sweep. When placing:
// Outliers.Admit for each of the few candidates, Outliers.Dispatched for the
// one taken, Crashes.Admit and Crashes.Started for its fingerprint.
package verdict

// Package decision decides, under load, what happens to each request: whether it
// is admitted, queued, refused, dispatched to a backend server or escalated to
// another model, and which versions and servers take traffic.
//
// The package is pure. Entities are rows in tables, systems process them each
// tick, and the only entry point is World.Tick: events in, commands out. There is
// no I/O, no clock and no goroutine; the same seed and the same events give the
// same commands. The router supplies the events and executes the commands.
//
// # Terms
//
// An instance is one process of the router, and the others are its peers; the
// limits here assume eight of them. The manifest is the operator's configuration
// of teams and versions. It is published through an append-only log. An instance is
// fresh if it was confirmed recently that it has read the whole log, and so knows
// the manifest in force. It stays fresh in an outage, when the log is down for all
// instances and no newer manifest can be accepted. A plain service is one that is
// not a model.
//
// A cascade runs a request that names no model on a cheap version first and holds
// the answer back until it is rated. If the rating is too low, the request is
// escalated: a second step on a more expensive version replaces the answer.
//
// # Layout
//
// events.go, commands.go and types.go are the contract with the router, config.go
// holds the limits and their reasons. World.Tick runs these systems in order:
//
//   - ingest applies events to the tables (ingest*.go, and beside what they change
//     in affinity.go, crash.go and shift.go);
//   - retry handles ended attempts: deliver, hold, retry elsewhere or fail;
//   - escalate handles the ratings of held answers;
//   - expire ends requests that have run out of time;
//   - openSessions answers new sessions with the versions that they are pinned to
//     (session.go);
//   - admit queues or refuses arrivals, using resolve (version), cascade (model)
//     and wait (estimated queueing time);
//   - recheckQueued re-evaluates queued requests after a change (recheck.go);
//   - place dispatches queued requests to free slots, using pick (server);
//   - shift shares verdicts on versions and ejects backend servers.
//
// Every request ends through end.go. The parts that need no state of the
// world are packages of their own: internal/fair (queues), internal/place (filters,
// scorers, picker), internal/estimate (learned quality), internal/verdict (bad
// versions, slow servers, crashing requests), internal/prefix (which server has
// which prompt prefix cached). docs/design/decision-core.md gives the trade-offs.
package decision

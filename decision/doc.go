// Package decision decides, under load, what happens to each request: whether it
// is admitted, queued, refused, dispatched to a backend server or escalated to
// another model, and which versions and servers take traffic.
//
// The package is pure. Entities are rows in tables, systems process them each
// tick, and the only entry point is World.Tick: events in, commands out. There is
// no I/O, no clock and no goroutine; the same seed and the same events give the
// same commands. The router supplies the events and executes the commands.
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

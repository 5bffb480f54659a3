// Package decision decides, under load, what happens to each request: admit,
// queue, refuse, place, escalate, shift.
//
// It is pure. Entities stand in tables, systems run over them each tick, and
// the only way in and out is World.Tick: events in, commands out. There is no
// I/O, no clock, no goroutine; with the same seed and the same events it gives
// the same commands. The router feeds it and carries out what it commands.
//
// # Where to look
//
// events.go, commands.go and types.go are the contract with the router, config.go
// the limits and their reasons. World.Tick runs the systems in this order, a file
// each:
//
//   - ingest applies events to the tables (ingest*.go by what they change);
//   - retry judges attempts that ended: deliver, hold, try elsewhere, end;
//   - escalate judges the ratings of held answers;
//   - expire ends what has run out of time;
//   - admit answers arrivals, with resolve (which version), cascade (which model)
//     and wait (how long);
//   - withdraw makes queued work follow what has changed;
//   - place fills free slots from the queues, with pick (which server);
//   - shift judges versions and backend servers.
//
// All ends of a request go through command.go. The parts without state of the
// world are packages of their own: internal/fair (queues), internal/place (filters,
// scorers, picker), internal/estimate (learnt quality), internal/verdict (bad
// versions, slow servers, crashing requests), internal/prefix (who has which prompt
// cached). docs/design/decision-core.md says what was weighed.
package decision

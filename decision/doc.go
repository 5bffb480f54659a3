// Package decision decides, under load, what happens to each request: admit,
// queue, refuse, place, escalate, shift.
//
// It is pure. Entities stand in tables, systems run over them each tick, and
// the only way in and out is World.Tick: events in, commands out. There is no
// I/O, no clock, no goroutine; with the same seed and the same events it gives
// the same commands. The router feeds it and carries out what it commands.
package decision

package decision

import "time"

// World holds the tables. It is not safe for concurrent use: one goroutine owns
// it and calls Tick.
type World struct {
	cfg  Config
	rows rows
}

// Config sets the limits of the decisions. DefaultConfig documents each.
type Config struct {
	// Seed makes every random choice repeatable.
	Seed uint64
	// DefaultDeadline is given to requests without one.
	DefaultDeadline time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{Seed: 1, DefaultDeadline: 30 * time.Second}
}

// NewWorld returns an empty world: it refuses everything until it has been told
// a manifest, servers and that the instance is fresh.
func NewWorld(cfg Config) *World {
	return &World{cfg: cfg}
}

type rows struct{}

// Tick applies the events in order, runs the systems once and returns what the
// router must do, in order. now must not run backwards.
func (w *World) Tick(now time.Time, in []Event) []Command {
	_ = w.rows
	return nil
}

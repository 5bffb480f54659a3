package node

import (
	"log/slog"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

// Config configures a Node. A zero field takes the default stated with it.
type Config struct {
	// Name identifies the instance and must be unique in the fleet. Required.
	Name string
	// Fold sets the time bounds of the fold. It must be the same at every
	// instance.
	Fold fold.Config
	// Linger is the shortest time between two appends. Default 20 ms.
	Linger time.Duration
	// AppendBudget is the number of appends per second that all instances
	// together may make. Default 200: the log takes several hundred per second,
	// and the rest is left to operators.
	AppendBudget int
	// PollWait is the longest wait of one long poll. Default 1 s: well under
	// the freshness bound, since a poll confirms the state as of its start.
	PollWait time.Duration
	// PageLimit is the most entries that one read returns. Default 512.
	PageLimit int
	// CallTimeout bounds one append, and one read in addition to its wait.
	// Default 2 s.
	CallTimeout time.Duration
	// MaxQueue is the most Puts that may wait for their append; beyond it a
	// Put is void at once. Default record.MaxRecords (10,000): one batch.
	MaxQueue int
	// MaxReleases is the most releases that may wait to be read back from the
	// log; beyond it a release is dropped. Default 100,000.
	MaxReleases int
}

const (
	defaultLinger       = 20 * time.Millisecond
	defaultAppendBudget = 200
	defaultPollWait     = time.Second
	defaultPageLimit    = 512
	defaultCallTimeout  = 2 * time.Second
	defaultMaxReleases  = 100_000
	// maxGroupBytes is the estimated size at which a group is closed before it
	// has record.MaxRecords records; a single larger record is sent alone.
	maxGroupBytes = 512 << 10
	// backoffInitial and backoffMax bound the wait after a failed call.
	// backoffMax and CallTimeout together are under the freshness bound, so
	// that the node's knowledge of the log being down or back is never older
	// than that.
	backoffInitial = 50 * time.Millisecond
	backoffMax     = time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.Linger, defaultLinger)
	setDefault(&c.AppendBudget, defaultAppendBudget)
	setDefault(&c.PollWait, defaultPollWait)
	setDefault(&c.PageLimit, defaultPageLimit)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.MaxQueue, record.MaxRecords)
	setDefault(&c.MaxReleases, defaultMaxReleases)
	return c
}

func setDefault[T ~int | ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Observer is notified of reads and folds as they happen; freshness.Tracker is
// one. Its methods must not block and must be safe for concurrent use.
type Observer interface {
	// HeadRead reports that a read returned head. at is when the read was sent,
	// not when it returned: every entry appended before at is before head.
	HeadRead(at time.Time, head uint64)
	// Folded reports that all entries before offset next are folded.
	Folded(next uint64)
	// ReadFailed reports that a read failed at the time at.
	ReadFailed(at time.Time)
}

type noObserver struct{}

func (noObserver) HeadRead(time.Time, uint64) {}
func (noObserver) Folded(uint64)              {}
func (noObserver) ReadFailed(time.Time)       {}

// Option sets an optional part of a Node in New.
type Option func(*Node)

// WithValidator sets the validator of a class's content, a pure function. All
// instances must set the same one.
func WithValidator(class record.Class, v fold.Validator) Option {
	return func(n *Node) { n.options.Validators[class] = v }
}

// WithObserver sets the observer of reads and folds.
func WithObserver(o Observer) Option {
	return func(n *Node) { n.observer = o }
}

// WithLogger sets the logger for faults of the log service. Default: discard.
func WithLogger(l *slog.Logger) Option {
	return func(n *Node) { n.logger = l }
}

// WithInstanceCount sets the function that returns how many instances share the
// append budget; f must be safe for concurrent use. Default: 8.
func WithInstanceCount(f func() int) Option {
	return func(n *Node) { n.instanceCount = f }
}

// WithSeed seeds the jitter of backoff and checkpoints.
func WithSeed(seed uint64) Option {
	return func(n *Node) { n.seed = seed }
}

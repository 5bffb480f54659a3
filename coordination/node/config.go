package node

import (
	"log/slog"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

// Config of a Node. Zero fields take the defaults named at each.
type Config struct {
	// Name of the instance, unique in the fleet. Required.
	Name string
	// Fold holds the bounds of the state; the same at every instance.
	Fold fold.Config
	// Linger is the shortest time between two appends. Default 20 ms.
	Linger time.Duration
	// AppendBudget is how many appends a second all instances together may
	// make. Default 200: the log takes several hundred, and the rest is for
	// operators' own use of it.
	AppendBudget int
	// PollWait bounds one long poll. Default 1 s: well under the freshness
	// bound, since a poll confirms the state as of its start.
	PollWait time.Duration
	// PageLimit is how many entries one read asks for. Default 512.
	PageLimit int
	// CallTimeout bounds one append, and one read beyond its poll. Default 2 s.
	CallTimeout time.Duration
	// MaxQueue bounds the Puts that wait for their append; beyond it a Put is
	// void at once. Default 10,000: one batch.
	MaxQueue int
	// MaxReleases bounds the releases that wait for the log. Default 100,000.
	MaxReleases int
}

const (
	defaultLinger       = 20 * time.Millisecond
	defaultAppendBudget = 200
	defaultPollWait     = time.Second
	defaultPageLimit    = 512
	defaultCallTimeout  = 2 * time.Second
	defaultMaxReleases  = 100_000
	// maxBatchBytes closes a group early; one record may pass it alone.
	maxBatchBytes = 512 << 10
	// backoffFirst and backoffMost bound the wait after a failed call. The
	// most and a call's timeout together are under the freshness bound, so that
	// what is known of the log's being down or back is never older than that.
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

// Observer hears of reads and folds as they happen; freshness.Tracker is one.
// Its methods must not block and must be safe for concurrent use.
type Observer interface {
	// HeadRead: the log's head was at least head at the time at, which is when
	// the read was sent, not when its answer came.
	HeadRead(at time.Time, head uint64)
	// Folded: everything before next is folded.
	Folded(next uint64)
	// ReadFailed: a read was given up at the time at.
	ReadFailed(at time.Time)
}

type noObserver struct{}

func (noObserver) HeadRead(time.Time, uint64) {}
func (noObserver) Folded(uint64)              {}
func (noObserver) ReadFailed(time.Time)       {}

// Option changes a Node at New.
type Option func(*Node)

// WithValidator sets the pure check of a class's content. All instances must
// set the same.
func WithValidator(class record.Class, v fold.Validator) Option {
	return func(n *Node) { n.options.Validators[class] = v }
}

// WithObserver sets who hears of reads and folds.
func WithObserver(o Observer) Option {
	return func(n *Node) { n.observer = o }
}

// WithLogger sets where faults of the log are told. Default: nowhere.
func WithLogger(l *slog.Logger) Option {
	return func(n *Node) { n.logger = l }
}

// WithLive sets how the node learns how many instances share the append
// budget; f must be safe for concurrent use. Default: 8, today's fleet.
func WithInstanceCount(f func() int) Option {
	return func(n *Node) { n.instanceCount = f }
}

// WithSeed seeds the jitter of backoff and checkpoints.
func WithSeed(seed uint64) Option {
	return func(n *Node) { n.seed = seed }
}

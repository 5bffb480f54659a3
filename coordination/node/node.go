package node

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/platformlog"
	"masticplank.example/coordination/record"
)

// Errors returned by a Node.
var (
	// ErrNotAhead means that a snapshot passed to Restore is not ahead of the
	// node's own state.
	ErrNotAhead = errors.New("node: snapshot is not ahead of the own state")
	// ErrNoCheckpoint means that the log no longer keeps the records that the
	// node lacks, nor a checkpoint that covers them.
	ErrNoCheckpoint = errors.New("node: records trimmed and no checkpoint covers them")
	// ErrHeadRegressed means that the log's head is below an offset already
	// read from it. The node keeps its state and treats the log as unreachable.
	ErrHeadRegressed = errors.New("node: head of the log regressed")
	// ErrConfig means that New was given an invalid Config.
	ErrConfig         = errors.New("node: invalid configuration")
	errAlreadyStarted = errors.New("node: already started")
)

// Node implements Store over a platformlog.Log. Create it with New and call
// Start; Stop ends its goroutines. Safe for concurrent use.
type Node struct {
	cfg           Config
	log           platformlog.Log
	options       fold.Options
	observer      Observer
	logger        *slog.Logger
	instanceCount func() int
	seed          uint64

	proposals   *proposals
	watchers    watchers
	checkpoints *checkpointPolicy

	// folding serialises changes of the state and the notification of the
	// watchers, so that these see changes in log order. It is locked before
	// mu.
	folding sync.Mutex
	// mu guards the fields below; it is never held while a watcher runs.
	mu     sync.RWMutex
	state  *fold.State
	status status

	ready     chan struct{}
	readyOnce sync.Once
	stopping  chan struct{}
	stopOnce  sync.Once
	started   bool
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// status holds what reads of the log have shown.
type status struct {
	head       uint64
	first      uint64
	headReadAt time.Time
	reachable  bool
	// target is the head returned by the first read, or the next offset of a
	// snapshot restored before that; the node is ready once it has folded up
	// to it.
	target    uint64
	hasTarget bool
}

var _ Store = (*Node)(nil)

// New returns a Node at the beginning of the log. Errors wrap ErrConfig.
func New(log platformlog.Log, cfg Config, opts ...Option) (*Node, error) {
	if cfg.Name == "" || len(cfg.Name) > record.MaxWriterBytes {
		return nil, trace.Wrap(ErrConfig, "name of %d bytes is empty or too long", len(cfg.Name))
	}
	cfg = cfg.withDefaults()
	n := &Node{
		cfg:           cfg,
		log:           log,
		options:       fold.Options{Validators: map[record.Class]fold.Validator{}},
		observer:      noObserver{},
		logger:        slog.New(slog.DiscardHandler),
		instanceCount: func() int { return defaultInstanceCount },
		seed:          rand.Uint64(),
		proposals:     newProposals(cfg.MaxQueue, cfg.MaxReleases),
		ready:         make(chan struct{}),
		stopping:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(n)
	}
	n.state = fold.New(cfg.Fold, n.options)
	n.checkpoints = newCheckpointPolicy(n.state.Config().Retention, n.seed)
	return n, nil
}

// defaultInstanceCount is the usual size of the fleet.
const defaultInstanceCount = 8

// Start starts tailing the log and appending to it. It returns at once; see
// Ready. The node keeps ctx's values but not its cancellation: only Stop ends it.
func (n *Node) Start(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.started {
		return trace.Wrap(errAlreadyStarted)
	}
	n.started = true
	ctx, n.cancel = context.WithCancel(context.WithoutCancel(ctx))
	n.done.Add(2)
	go func() {
		defer n.done.Done()
		n.tail(ctx)
	}()
	go func() {
		defer n.done.Done()
		n.appendLoop(ctx)
	}()
	return nil
}

// Stop appends what is queued, as far as ctx and the log allow, and ends the
// node. Puts that still wait return OutcomeVoid or OutcomeUnknown.
func (n *Node) Stop(ctx context.Context) error {
	n.stopOnce.Do(func() { close(n.stopping) })
	n.mu.Lock()
	cancel := n.cancel
	n.mu.Unlock()
	if cancel == nil {
		return nil
	}
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	n.done.Wait()
	cancel()
	return nil
}

// Ready returns a channel that is closed once the node has folded the log up to
// the head that its first read returned, or has restored a peer's state while the
// log was down.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// Put implements Store.
func (n *Node) Put(ctx context.Context, r record.Record) Result {
	r.Kind = record.KindPut
	if r.Validate() != nil || ctx.Err() != nil || n.isStopping() {
		return Result{Outcome: OutcomeVoid}
	}
	p, ok := n.proposals.add(r)
	if !ok {
		return Result{Outcome: OutcomeVoid}
	}
	select {
	case res := <-p.done:
		return res
	case <-ctx.Done():
	case <-n.stopping:
		// The queue is flushed during a stop; wait for that or for ctx.
		n.awaitStop(ctx, p)
	}
	return n.proposals.abandon(p)
}

// awaitStop waits for p during a stop, until ctx or the node's goroutines end.
func (n *Node) awaitStop(ctx context.Context, p *proposal) {
	ended := make(chan struct{})
	go func() {
		n.done.Wait()
		close(ended)
	}()
	select {
	case res := <-p.done:
		p.done <- res // for abandon, which returns it
	case <-ctx.Done():
	case <-ended:
	}
}

func (n *Node) isStopping() bool {
	select {
	case <-n.stopping:
		return true
	default:
		return false
	}
}

// Release implements Store.
func (n *Node) Release(key record.Key, nonce record.Nonce) {
	if !n.proposals.release(key, nonce) {
		n.logger.Warn("release dropped: too many releases are pending", "key", key)
	}
}

// Lookup implements Store. It omits a register whose nonce this process has
// released, even before the Release is in the log.
func (n *Node) Lookup(key record.Key) (fold.Register, bool) {
	n.mu.RLock()
	reg, ok := n.state.Lookup(key)
	n.mu.RUnlock()
	if ok && n.proposals.isReleased(key, reg.Nonce) {
		return fold.Register{}, false
	}
	return reg, ok
}

// Manifest returns the manifest in force, or false if there is none yet.
func (n *Node) Manifest() (fold.Register, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.Manifest()
}

// Registers returns the live registers of class in the order of their offsets.
func (n *Node) Registers(class record.Class) []fold.Register {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.Registers(class)
}

// LogTime returns the log's time as of the last folded entry.
func (n *Node) LogTime() time.Time {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.LogTime()
}

// Digest implements Store.
func (n *Node) Digest() fold.Digest {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.Digest()
}

// Status implements Store.
func (n *Node) Status() Status {
	n.mu.RLock()
	defer n.mu.RUnlock()
	d := n.state.Digest()
	return Status{
		NextOffset:   d.NextOffset,
		Head:         max(n.status.head, d.NextOffset),
		Generation:   d.Generation,
		Hash:         d.Hash,
		LastHeadRead: n.status.headReadAt,
		LogReachable: n.status.reachable,
	}
}

// Watch implements Store. f is called from one goroutine at a time and must not
// call Restore. After Restore, f is called for the registers that it added.
func (n *Node) Watch(class record.Class, f func(fold.Change)) (stop func()) {
	return n.watchers.add(class, f)
}

package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/time/rate"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/freshness"
	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
	"masticplank.example/decision"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/wire"
)

// Vouches takes what peers say of the log's head, as it comes; *gate.Gate is
// it. Safe for concurrent use.
type Vouches interface {
	Vouched(v freshness.Vouch)
}

// Events takes what peers say of health; *driver.Driver is it.
type Events interface{ Send(decision.Event) }

// DialFunc connects to a peer; (*net.Dialer).DialContext is one.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Config of a Node.
type Config struct {
	// Self is this instance as the list has it.
	Self wire.ListedInstance
	// TLS is from TLSConfig; nil for plaintext.
	TLS *tls.Config
	// Dial connects to a peer; nil for TCP.
	Dial DialFunc
	// Times bound the waits for peers.
	Times Times
	// Interval between exchanges.
	Interval time.Duration
	// Seed makes the choice of peers repeatable; it should differ between
	// instances.
	Seed uint64
}

// Deps are what a Node works with.
type Deps struct {
	Store node.Store
	// Bills takes the bills that were held; nil for the Store's log.
	Bills ledger.BillLog
	// Instances gives the platform's list; it may hold the own instance.
	Instances func() []wire.ListedInstance
	Vouches   Vouches
	Events    Events
	// Chooser picks the peers; nil for NewChooser.
	Chooser Chooser
	// Log may be nil. Registry may be nil.
	Log      *logging.Logger
	Registry gometrics.Registry
	// Now is the clock; nil for time.Now.
	Now func() time.Time
}

// Node is this instance among its peers. Its methods are safe for concurrent
// use, but for Round, which Run calls.
type Node struct {
	Deps
	self     wire.ListedInstance
	store    node.Store
	interval time.Duration
	times    Times
	pool     *pool
	server   *server
	board    *board
	held     *ledger.Buffer
	snaps    *snapshots
	// warnings and alarms limit log lines that others can cause, or that a
	// lasting state would repeat in each round.
	warnings *rate.Limiter
	alarms   *rate.Limiter
	// push wakes Run to pass on what is new at once, early to make a round
	// before the interval has passed; earlyRounds limits what others can cause.
	push, early chan struct{}
	earlyRounds *rate.Limiter
	// transferring and flushing guard work that outlasts a round.
	transferring, flushing atomic.Bool
	background             sync.WaitGroup
	// noTransferBefore is used by the one transfer that runs.
	noTransferBefore time.Time

	mu sync.Mutex
	// unsent are news for the peers of the next push.
	unsent []HealthItem
	// tell says that a manifest won which peers were not told of.
	tell bool
	// chosen are the peers of the last round; answered says which answered.
	chosen   []wire.ListedInstance
	answered map[string]bool
	// asked counts on through the list for the wide question of an outage.
	asked int
}

// New returns a Node; Run starts it.
func New(cfg Config, deps Deps) *Node {
	cfg.Times = cfg.Times.withDefaults()
	if deps.Now == nil {
		deps.Now = time.Now
	}
	if deps.Registry == nil {
		deps.Registry = gometrics.NewRegistry()
	}
	if deps.Bills == nil {
		deps.Bills = ledger.StoreLog{Store: deps.Store}
	}
	if deps.Chooser == nil {
		deps.Chooser = NewChooser(cfg.Self.Domain, cfg.Seed)
	}
	in := gometrics.GetOrRegisterCounter("peer.bytes_in", deps.Registry)
	out := gometrics.GetOrRegisterCounter("peer.bytes_out", deps.Registry)
	n := &Node{
		Deps:        deps,
		self:        cfg.Self,
		store:       deps.Store,
		interval:    cfg.Interval,
		times:       cfg.Times,
		pool:        newPool(cfg, in, out),
		board:       newBoard(),
		snaps:       &snapshots{store: deps.Store},
		warnings:    rate.NewLimiter(rate.Every(time.Second), 1),
		alarms:      rate.NewLimiter(rate.Every(time.Minute), 1),
		push:        make(chan struct{}, 1),
		early:       make(chan struct{}, 1),
		earlyRounds: rate.NewLimiter(rate.Every(time.Second), 1),
		answered:    map[string]bool{},
	}
	n.held = newHeld(deps.Bills.Put, n.copyOut)
	n.server = &server{
		tls:      cfg.TLS,
		handler:  jsonrpc2.HandlerWithError(n.handle).SuppressErrClosed(),
		in:       in,
		out:      out,
		rejected: n.reject,
	}
	return n
}

// Run serves peers on ln and exchanges with them until ctx ends, or ln fails.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	stop := n.store.Watch(record.ClassManifest, n.manifestWon)
	defer stop()
	defer n.pool.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer n.background.Wait()
	defer wg.Wait()
	wg.Go(func() { n.rounds(ctx) })
	wg.Go(func() { n.pushes(ctx) })
	err := n.server.serve(ctx, ln)
	cancel()
	return trace.Wrap(err)
}

func (n *Node) rounds(ctx context.Context) {
	ticker := time.NewTicker(n.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.early:
		}
		n.Round(ctx)
	}
}

func (n *Node) pushes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.push:
			n.Push(ctx)
		}
	}
}

// unlessBusy runs f beside the rounds, so that a slow transfer does not keep
// the instance from hearing that it is fresh, and only once at a time.
func (n *Node) unlessBusy(busy *atomic.Bool, f func()) {
	if !busy.CompareAndSwap(false, true) {
		return
	}
	n.background.Go(func() {
		defer busy.Store(false)
		f()
	})
}

// wake makes Run push soon.
func (n *Node) wake() { signal(n.push) }

// roundEarly makes Run do a round soon.
func (n *Node) roundEarly() {
	if n.earlyRounds.Allow() {
		signal(n.early)
	}
}

func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// manifestWon runs in the fold's goroutine, so it only leaves a note.
func (n *Node) manifestWon(c fold.Change) {
	if c.Verdict != fold.VerdictWon {
		return
	}
	n.mu.Lock()
	n.tell = true
	n.mu.Unlock()
	n.wake()
}

// state is what this instance says of itself.
func (n *Node) state() State {
	d := n.store.Digest()
	return State{
		From:       n.self.ID,
		Next:       d.NextOffset,
		Generation: d.Generation,
		Hash:       d.Hash,
		Board:      n.board.hash(n.Now()),
	}
}

// reject notes what came from outside and was not accepted. Log lines are
// limited, since whoever can connect could cause them.
func (n *Node) reject(err error) {
	gometrics.GetOrRegisterCounter("peer.rejected", n.Registry).Inc(1)
	if n.warnings.Allow() {
		n.Log.Emit(context.Background(), logging.EventPeerRejected, logging.Err(err))
	}
}

// Held is how many bills wait here for the log, own and other instances'.
func (n *Node) Held() int { return n.held.Len() }

// Full says that no more bills can be held, so that new work must be refused.
// open requests are under way here, and each may yet have to hold its bill.
func (n *Node) Full(open int) bool { return n.held.FullWithOpen(open) }

func peerAttr(id string) slog.Attr { return slog.String("peer", id) }

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

// Vouches receives what peers report about the log's head; *gate.Gate
// implements it. Safe for concurrent use.
type Vouches interface {
	Vouched(v freshness.Vouch)
}

// Events receives health events from peers; *driver.Driver implements it.
type Events interface{ Send(decision.Event) }

// DialFunc connects to a peer, as (*net.Dialer).DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Config of a Node.
type Config struct {
	// Self is this instance's entry in the list.
	Self wire.ListedInstance
	// TLS comes from TLSConfig; nil for plaintext.
	TLS *tls.Config
	// Dial connects to a peer; nil for TCP.
	Dial DialFunc
	// Timeouts bound the waits for peers.
	Timeouts Timeouts
	// Interval between exchanges.
	Interval time.Duration
	// Seed makes the choice of peers reproducible; it should differ between
	// instances.
	Seed uint64
}

// Deps are the dependencies of a Node.
type Deps struct {
	Store node.Store
	// Bills is the log that held bills are written to; nil for the Store's log.
	Bills ledger.BillLog
	// Instances returns the platform's list; it may include this instance.
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

// Node connects this instance with its peers. Its methods are safe for
// concurrent use, except for Round, which Run calls.
type Node struct {
	Deps
	self        wire.ListedInstance
	store       node.Store
	interval    time.Duration
	timeouts    Timeouts
	pool        *connPool
	server      *server
	healthItems *healthSet
	heldBills   *ledger.Buffer
	snapshots   *snapshotCache
	// rejectionLogLimit and divergenceLogLimit limit log lines that others can
	// cause, or that a lasting condition would repeat in each round.
	rejectionLogLimit  *rate.Limiter
	divergenceLogLimit *rate.Limiter
	// pushRequested wakes Run to send new items at once, roundRequested to
	// start a round before the interval has passed; earlyRoundLimit limits the
	// rounds that others can cause.
	pushRequested, roundRequested chan struct{}
	earlyRoundLimit               *rate.Limiter
	// transferring and flushing are true while that work runs; it may outlast a
	// round.
	transferring, flushing atomic.Bool
	background             sync.WaitGroup
	// nextTransferAt is used only by the one transfer that runs at a time.
	nextTransferAt time.Time

	mu sync.Mutex
	// pendingItems are the health items for the next push.
	pendingItems []HealthItem
	// manifestPending is true if a manifest won and the next push must announce
	// it.
	manifestPending bool
	// roundPeers are the peers of the last round. answered holds, by ID,
	// whether a listed peer answered the last query to it, in whichever round.
	roundPeers []wire.ListedInstance
	answered   map[string]bool
	// outageCursor counts the peers that outagePeers has gone through; modulo
	// the length of the list it is the position of the next one.
	outageCursor int
}

// New returns a Node; Run starts it.
func New(cfg Config, deps Deps) *Node {
	cfg.Timeouts = cfg.Timeouts.withDefaults()
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
		Deps:               deps,
		self:               cfg.Self,
		store:              deps.Store,
		interval:           cfg.Interval,
		timeouts:           cfg.Timeouts,
		pool:               newConnPool(cfg, in, out),
		healthItems:        newHealthSet(),
		snapshots:          &snapshotCache{store: deps.Store},
		rejectionLogLimit:  rate.NewLimiter(rate.Every(time.Second), 1),
		divergenceLogLimit: rate.NewLimiter(rate.Every(time.Minute), 1),
		pushRequested:      make(chan struct{}, 1),
		roundRequested:     make(chan struct{}, 1),
		earlyRoundLimit:    rate.NewLimiter(rate.Every(time.Second), 1),
		answered:           map[string]bool{},
	}
	n.heldBills = newBillBuffer(deps.Bills.Put, n.sendCopy)
	n.server = &server{
		tls:      cfg.TLS,
		handler:  jsonrpc2.HandlerWithError(n.handle).SuppressErrClosed(),
		in:       in,
		out:      out,
		onReject: n.recordRejection,
	}
	return n
}

// Run serves peers on ln and runs rounds until ctx ends or ln fails.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	stop := n.store.Watch(record.ClassManifest, n.onManifestChange)
	defer stop()
	defer n.pool.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer n.background.Wait()
	defer wg.Wait()
	wg.Go(func() { n.runRounds(ctx) })
	wg.Go(func() { n.runPushes(ctx) })
	err := n.server.serve(ctx, ln)
	cancel()
	return trace.Wrap(err)
}

func (n *Node) runRounds(ctx context.Context) {
	ticker := time.NewTicker(n.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.roundRequested:
		}
		n.Round(ctx)
	}
}

func (n *Node) runPushes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.pushRequested:
			n.Push(ctx)
		}
	}
}

// runIfIdle runs f concurrently with the rounds, unless busy is set because an
// earlier call still runs. A slow transfer must not delay the rounds, which
// keep the instance fresh.
func (n *Node) runIfIdle(busy *atomic.Bool, f func()) {
	if !busy.CompareAndSwap(false, true) {
		return
	}
	n.background.Go(func() {
		defer busy.Store(false)
		f()
	})
}

// requestPush makes Run push soon.
func (n *Node) requestPush() { notify(n.pushRequested) }

// requestRound makes Run start a round soon, within earlyRoundLimit.
func (n *Node) requestRound() {
	if n.earlyRoundLimit.Allow() {
		notify(n.roundRequested)
	}
}

func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// onManifestChange runs in the fold's goroutine and must not block: it only
// requests a push.
func (n *Node) onManifestChange(c fold.Change) {
	if c.Verdict != fold.VerdictWon {
		return
	}
	n.mu.Lock()
	n.manifestPending = true
	n.mu.Unlock()
	n.requestPush()
}

// ownState returns this instance's state for its peers.
func (n *Node) ownState() State {
	d := n.store.Digest()
	return State{
		From:       n.self.ID,
		NextOffset: d.NextOffset,
		Generation: d.Generation,
		Hash:       d.Hash,
		HealthHash: n.healthItems.hash(n.Now()),
	}
}

// recordRejection counts and logs a rejected message, connection, item or
// state. Log lines are rate limited, since anyone who can connect could cause
// them.
func (n *Node) recordRejection(err error) {
	gometrics.GetOrRegisterCounter("peer.rejected", n.Registry).Inc(1)
	if n.rejectionLogLimit.Allow() {
		n.Log.Emit(context.Background(), logging.EventPeerRejected, logging.Err(err))
	}
}

// HeldBills returns the number of bills that wait here for the log, including
// copies of other instances' bills.
func (n *Node) HeldBills() int { return n.heldBills.Len() }

// HeldBillsFull reports whether no more bills can be held, so that new work
// must be refused. open is the number of requests in progress, each of which
// may still have to hold its bill.
func (n *Node) HeldBillsFull(open int) bool { return n.heldBills.FullWithOpen(open) }

func peerAttr(id string) slog.Attr { return slog.String("peer", id) }

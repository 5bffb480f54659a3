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
	Timeouts Timeouts
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
	self        wire.ListedInstance
	store       node.Store
	interval    time.Duration
	timeouts    Timeouts
	pool        *connPool
	server      *server
	healthItems *healthSet
	bills       *ledger.Buffer
	snapshots   *snapshotCache
	// warnings and alarms limit log lines that others can cause, or that a
	// lasting state would repeat in each round.
	rejectionLogs  *rate.Limiter
	divergenceLogs *rate.Limiter
	// push wakes Run to pass on what is new at once, early to make a round
	// before the interval has passed; earlyRounds limits what others can cause.
	pushRequested, roundRequested chan struct{}
	earlyRoundLimit               *rate.Limiter
	// transferring and flushing guard work that outlasts a round.
	transferring, flushing atomic.Bool
	background             sync.WaitGroup
	// noTransferBefore is used by the one transfer that runs.
	nextTransferAt time.Time

	mu sync.Mutex
	// unsent are news for the peers of the next push.
	pendingItems []HealthItem
	// tell says that a manifest won which peers were not told of.
	manifestPending bool
	// chosen are the peers of the last round; answered says which answered.
	roundPeers []wire.ListedInstance
	answered   map[string]bool
	// asked counts on through the list for the wide question of an outage.
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
		Deps:            deps,
		self:            cfg.Self,
		store:           deps.Store,
		interval:        cfg.Interval,
		timeouts:        cfg.Timeouts,
		pool:            newConnPool(cfg, in, out),
		healthItems:     newHealthSet(),
		snapshots:       &snapshotCache{store: deps.Store},
		rejectionLogs:   rate.NewLimiter(rate.Every(time.Second), 1),
		divergenceLogs:  rate.NewLimiter(rate.Every(time.Minute), 1),
		pushRequested:   make(chan struct{}, 1),
		roundRequested:  make(chan struct{}, 1),
		earlyRoundLimit: rate.NewLimiter(rate.Every(time.Second), 1),
		answered:        map[string]bool{},
	}
	n.bills = newBillBuffer(deps.Bills.Put, n.sendCopy)
	n.server = &server{
		tls:      cfg.TLS,
		handler:  jsonrpc2.HandlerWithError(n.handle).SuppressErrClosed(),
		in:       in,
		out:      out,
		onReject: n.recordRejection,
	}
	return n
}

// Run serves peers on ln and exchanges with them until ctx ends, or ln fails.
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

// unlessBusy runs f beside the rounds, so that a slow transfer does not keep
// the instance from hearing that it is fresh, and only once at a time.
func (n *Node) runIfIdle(busy *atomic.Bool, f func()) {
	if !busy.CompareAndSwap(false, true) {
		return
	}
	n.background.Go(func() {
		defer busy.Store(false)
		f()
	})
}

// wake makes Run push soon.
func (n *Node) requestPush() { notify(n.pushRequested) }

// roundEarly makes Run do a round soon.
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

// manifestWon runs in the fold's goroutine, so it only leaves a note.
func (n *Node) onManifestChange(c fold.Change) {
	if c.Verdict != fold.VerdictWon {
		return
	}
	n.mu.Lock()
	n.manifestPending = true
	n.mu.Unlock()
	n.requestPush()
}

// state is what this instance says of itself.
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

// reject notes what came from outside and was not accepted. Log lines are
// limited, since whoever can connect could cause them.
func (n *Node) recordRejection(err error) {
	gometrics.GetOrRegisterCounter("peer.rejected", n.Registry).Inc(1)
	if n.rejectionLogs.Allow() {
		n.Log.Emit(context.Background(), logging.EventPeerRejected, logging.Err(err))
	}
}

// Held is how many bills wait here for the log, own and other instances'.
func (n *Node) HeldBills() int { return n.bills.Len() }

// Full says that no more bills can be held, so that new work must be refused.
// open requests are under way here, and each may yet have to hold its bill.
func (n *Node) HeldBillsFull(open int) bool { return n.bills.FullWithOpen(open) }

func peerAttr(id string) slog.Attr { return slog.String("peer", id) }

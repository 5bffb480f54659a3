package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"masticplank.example/coordination/lease"
	"masticplank.example/router/internal/httpanswer"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/wire"
)

const (
	// reconcileInterval is the time between two reconciliations.
	reconcileInterval = time.Second
	// orderTimeout bounds one order. It is shorter than lease.Config.MaxPause, so
	// that an order ends within the lease that it was checked under.
	orderTimeout = time.Second
	// loadsPerSecond and loadBurst bound how many versions the engines of one
	// failure domain are ordered to load, as the domain's part of the rate limit
	// of the store of weights. Only the lease's holder sends orders, and a domain
	// has one holder.
	loadsPerSecond = 2
	loadBurst      = 4
)

// Lease is the right to send orders; *lease.Manager implements it.
type Lease interface {
	Acquire(ctx context.Context) bool
	Check(support lease.FencingSupport) (fence uint64, r lease.CheckResult)
	HandOver(ctx context.Context) bool
}

// EngineReports returns the known engines of a failure domain with their loaded
// versions; *directory.Directory implements it.
type EngineReports interface {
	Engines(domain string) []wire.ListedServer
}

// Manifests returns the manifest in force, or nil before the first one.
type Manifests interface{ Current() *manifest.Index }

// Sender reconciles the engines of one failure domain. Run must be called once.
type Sender struct {
	domain      string
	lease       Lease
	reports     EngineReports
	manifests   Manifests
	log         *logging.Logger
	client      *http.Client
	loadLimiter *rate.Limiter

	mu sync.Mutex
	// lastSent holds the time of the last accepted order to each engine, so that no
	// order is repeated before the engine could have reported its effect.
	lastSent map[string]time.Time
}

// NewSender returns a sender for the engines of domain.
func NewSender(domain string, l Lease, r EngineReports, m Manifests, log *logging.Logger) *Sender {
	return &Sender{
		domain:      domain,
		lease:       l,
		reports:     r,
		manifests:   m,
		log:         log,
		client:      httpanswer.NewClient(orderTimeout),
		loadLimiter: rate.NewLimiter(loadsPerSecond, loadBurst),
		lastSent:    map[string]time.Time{},
	}
}

// Run reconciles until ctx ends, then hands the lease over.
func (s *Sender) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.handOver(ctx)
			return
		case <-ticker.C:
			s.Reconcile(ctx)
		}
	}
}

func (s *Sender) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	s.lease.HandOver(ctx)
}

// Reconcile acquires or renews the lease and sends the orders that are due. It does
// nothing while the manifest has no orders.
func (s *Sender) Reconcile(ctx context.Context) {
	index := s.manifests.Current()
	if index == nil || index.Manifest.Orders == nil {
		return
	}
	if !s.lease.Acquire(ctx) {
		return
	}
	fencing := fencingSupport(index.Manifest.Orders, s.domain)
	servers := s.reports.Engines(s.domain)
	for _, o := range Plan(engines(servers), placements(index), int(s.loadLimiter.Tokens())) {
		s.send(ctx, fencing, o, servers)
	}
}

func fencingSupport(o *manifest.Orders, domain string) lease.FencingSupport {
	if slices.Contains(o.FencedDomains, domain) {
		return lease.FencingEnforced
	}
	return lease.FencingIgnored
}

func engines(servers []wire.ListedServer) []Engine {
	var out []Engine
	for _, s := range servers {
		out = append(out, Engine{ID: s.ID, Versions: s.Versions, Leaving: s.Leaving})
	}
	return out
}

// placements returns the placements of the manifest. The manifest's validation
// ensures that they name no withdrawn version.
func placements(index *manifest.Index) []Placement {
	var out []Placement
	for _, p := range index.Manifest.Orders.Placements {
		out = append(out, Placement{Version: p.Version, Servers: p.Servers})
	}
	return out
}

// send sends an order if the lease, checked right before, still allows it and the
// engine has accepted no order within reportDelay.
func (s *Sender) send(ctx context.Context, fencing lease.FencingSupport, o Order, servers []wire.ListedServer) {
	if s.recentlyOrdered(o.Engine) {
		return
	}
	fence, result := s.lease.Check(fencing)
	if result != lease.Allowed {
		return
	}
	err := s.putOrder(ctx, addrOf(o.Engine, servers), fence, o)
	attrs := []slog.Attr{slog.String("server", o.Engine), slog.Any("versions", o.Versions), slog.Uint64("fencing", fence)}
	if err != nil {
		s.log.Emit(ctx, logging.EventOrderFailed, append(attrs, logging.Err(err))...)
		return
	}
	s.loadLimiter.AllowN(time.Now(), o.LoadCount)
	s.recordSent(o.Engine)
	s.log.Emit(ctx, logging.EventOrderSent, attrs...)
}

// reportDelay is how long an engine may take to report the effect of an order.
const reportDelay = 3 * reconcileInterval

// recentlyOrdered reports whether the engine accepted an order within reportDelay.
func (s *Sender) recentlyOrdered(engine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastSent[engine]) < reportDelay
}

func (s *Sender) recordSent(engine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSent[engine] = time.Now()
}

// addrOf returns the address of an engine; empty if it is not among the servers.
func addrOf(id string, servers []wire.ListedServer) string {
	for _, s := range servers {
		if s.ID == id {
			return s.Addr
		}
	}
	return ""
}

func (s *Sender) putOrder(ctx context.Context, addr string, fence uint64, o Order) error {
	body, err := json.Marshal(wire.Order{Versions: o.Versions})
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr+"/orders", bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set(wire.HeaderFencing, strconv.FormatUint(fence, 10))
	resp, err := s.client.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("the engine answered %s", resp.Status)
	}
	return nil
}

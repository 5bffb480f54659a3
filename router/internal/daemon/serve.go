package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"masticplank.example/coordination/node"
	"masticplank.example/router/internal/admin"
	"masticplank.example/router/internal/api"
	"masticplank.example/router/internal/billing"
	"masticplank.example/router/internal/connlimit"
	"masticplank.example/router/internal/directory"
	"masticplank.example/router/internal/driver"
	"masticplank.example/router/internal/gate"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/peer"
	"masticplank.example/router/internal/platform"
	"masticplank.example/router/internal/publish"
	"masticplank.example/router/internal/session"
	"masticplank.example/router/internal/settings"
	"masticplank.example/router/internal/upstream"
)

const (
	// maxDeadline bounds the time to the deadline that a caller may set. A request
	// may hold its slot until its deadline. With this bound, a shutdown.drain_ms of
	// 10 minutes is long enough for every deadline that a caller sets; without it,
	// requests could outlast any drain.
	maxDeadline = 10 * time.Minute
	// drainPollInterval is how often a drain checks whether all requests have ended.
	drainPollInterval = 10 * time.Millisecond
)

func newSessionTokens(cfg settings.Settings) (*session.Tokens, error) {
	return session.NewTokens(cfg.Session, time.Now)
}

func newNamedSessions(cfg settings.Settings, store node.Store) *session.NamedSessions {
	return session.NewNamedSessions(store, time.Duration(cfg.Session.TTLSeconds)*time.Second)
}

func newPublisher(store node.Store, h *manifest.Holder, g *gate.Gate) *publish.Publisher {
	return publish.New(store, h, g)
}

// apiParams are the dependencies of the server for callers.
type apiParams struct {
	fx.In

	Settings      settings.Settings
	Driver        *driver.Driver
	Manifests     *manifest.Holder
	Gate          *gate.Gate
	Directory     *directory.Directory
	Upstream      *upstream.Client
	Store         node.Store
	Biller        *billing.Biller
	SessionTokens *session.Tokens
	SessionNames  *session.NamedSessions
	Rater         platform.Rater
	Recorder      api.Recorder
	Log           *logging.Logger
}

func newAPI(p apiParams) *api.Server {
	return api.New(api.Deps{
		Driver:        p.Driver,
		Manifests:     p.Manifests,
		Gate:          p.Gate,
		Servers:       p.Directory,
		Upstream:      p.Upstream,
		Store:         p.Store,
		Biller:        p.Biller,
		SessionTokens: p.SessionTokens,
		SessionNames:  p.SessionNames,
		Rater:         p.Rater,
		Recorder:      p.Recorder,
		Log:           p.Log,
		Limits: api.Limits{
			MaxBodyBytes:    p.Settings.Limits.MaxBodyBytes,
			ReadTimeout:     ms(p.Settings.Limits.ReadTimeoutMS),
			WriteTimeout:    ms(p.Settings.Limits.WriteTimeoutMS),
			DefaultDeadline: ms(p.Settings.Limits.DefaultDeadlineMS),
			MaxDeadline:     maxDeadline,
		},
	})
}

// newAdmin returns the handler of the admin listener, for operators.
func newAdmin(cfg settings.Settings, r gometrics.Registry, d *drain, h *manifest.Holder, p *publish.Publisher, s *status) http.Handler {
	return admin.New(admin.Deps{
		Registry:          r,
		Readiness:         d,
		Manifests:         h,
		Publisher:         p,
		Status:            func() any { return s.report() },
		Burn:              func() any { return s.burn() },
		OperatorKeyHashes: cfg.OperatorKeyHashes,
	})
}

func startAdmin(lc fx.Lifecycle, cfg settings.Settings, h http.Handler, addrs *Addresses, log *logging.Logger) {
	addListener(lc, connlimit.HTTPServer(h, nil), cfg, connPlan(cfg).Aux, cfg.Listen.Admin, "admin", &addrs.Admin, log)
}

// connPlan returns what the listeners may use by the settings.
func connPlan(cfg settings.Settings) connlimit.Plan {
	return connlimit.NewPlan(cfg.Limits.MemoryBytes, cfg.Limits.MaxFiles)
}

// clientLimits returns what a client may do by the settings.
func clientLimits(cfg settings.Settings) connlimit.Limits {
	return connlimit.Limits{HeadBytes: cfg.Limits.MaxHeaderBytes, HeadTimeout: ms(cfg.Limits.ReadTimeoutMS), IdleTimeout: ms(cfg.Limits.IdleTimeoutMS)}
}

func startAPI(lc fx.Lifecycle, cfg settings.Settings, a *api.Server, d *drain, addrs *Addresses, log *logging.Logger) {
	d.server = connlimit.HTTPServer(a, nil)
	addListener(lc, d.server, cfg, connPlan(cfg).Callers, cfg.Listen.API, "api", &addrs.API, log)
}

// addListener adds a hook that opens a listener on addr at the start, serves it until
// the stop, and writes its actual address, with the port that was picked, to boundAddr.
func addListener(lc fx.Lifecycle, srv *http.Server, cfg settings.Settings, bounds connlimit.Bounds, addr, name string, boundAddr *string, log *logging.Logger) {
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			l, err := connlimit.Listen(addr, bounds, func() connlimit.Limits { return clientLimits(cfg) })
			if err != nil {
				return trace.Wrap(err, "opening the %s listener", name)
			}
			*boundAddr = l.Addr().String()
			log.Emit(ctx, logging.EventListening, slog.String("listener", name), slog.String("addr", *boundAddr))
			go serve(srv, l, name, log)
			return nil
		},
		OnStop: func(ctx context.Context) error { return trace.Wrap(srv.Shutdown(ctx)) },
	})
}

func serve(srv *http.Server, l net.Listener, name string, log *logging.Logger) {
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		log.Emit(context.Background(), logging.EventNotReady, slog.String("reason", name+" listener failed"), logging.Err(err))
	}
}

// drain does the graceful shutdown: readiness fails first, and the balancer gets a grace
// period to stop sending; then no new connections are accepted, and the requests in
// progress finish, streams too.
type drain struct {
	cfg       settings.Settings
	gate      *gate.Gate
	holder    *manifest.Holder
	directory *directory.Directory
	driver    *driver.Driver
	peers     *peer.Node
	log       *logging.Logger
	server    *http.Server
	draining  atomic.Bool
}

func newDrain(cfg settings.Settings, g *gate.Gate, h *manifest.Holder, dir *directory.Directory, d *driver.Driver, p *peer.Node, log *logging.Logger) *drain {
	return &drain{cfg: cfg, gate: g, holder: h, directory: dir, driver: d, peers: p, log: log}
}

// NotReadyReason implements admin.Readiness.
func (d *drain) NotReadyReason() string {
	switch {
	case d.draining.Load():
		return "draining"
	case d.holder.Current() == nil:
		return "no manifest yet"
	case !d.directory.HasList():
		return "no list of backend servers yet"
	default:
		return string(d.gate.MayRun(true))
	}
}

// startDrain must be invoked last: stop hooks run in reverse order, so the drain
// comes before anything that it needs has stopped.
func startDrain(lc fx.Lifecycle, d *drain, a *api.Server) {
	lc.Append(fx.StopHook(func(ctx context.Context) {
		d.draining.Store(true)
		d.log.Emit(ctx, logging.EventDrainBegin, slog.Int("open", d.driver.OpenRequests()))
		d.server.SetKeepAlivesEnabled(false)
		sleep(ctx, ms(d.cfg.Shutdown.GraceMS))
		d.finishRequests(ctx, a)
	}))
}

// finishRequests waits for the requests in progress and for running ratings, and then
// writes the held bills to the log or hands them over to peers, all within the drain
// time.
func (d *drain) finishRequests(ctx context.Context, a *api.Server) {
	ctx, cancel := context.WithTimeout(ctx, ms(d.cfg.Shutdown.DrainMS))
	defer cancel()
	err := d.server.Shutdown(ctx)
	for err == nil && d.driver.OpenRequests() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
	a.Wait(ctx)
	open, held := d.driver.OpenRequests(), d.peers.Drain(ctx)
	if open > 0 || held > 0 {
		d.log.Emit(ctx, logging.EventDrainCut, slog.Int("open", open), slog.Int("held_bills", held))
		return
	}
	d.log.Emit(ctx, logging.EventDrainEnd)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

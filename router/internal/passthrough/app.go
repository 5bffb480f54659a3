package passthrough

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
	"masticplank.example/decision/reach"
	"masticplank.example/router/internal/connlimit"
	"masticplank.example/router/internal/grant"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/relay"
	"masticplank.example/router/internal/settings"
	"masticplank.example/router/internal/tunnel"
)

// Platform is the adapter of one platform: its headers, records, store and settings.
type Platform struct {
	Headers Headers
	Records Records
	Store   Store
	// ReadyPath is the path that the load balancer requests to check readiness.
	ReadyPath string
	// Settings reads the settings file. It is called again on SIGHUP and every
	// settingsPollInterval.
	Settings func() (seam.Settings, error)
}

const (
	// memoryLimitFraction times Settings.MemoryBytes is the soft memory limit of the Go
	// runtime, near which the garbage collector runs more often.
	memoryLimitFraction = 0.6
	// retryRatioFraction times the platform's retry ratio is the ratio applied here. The
	// margin is needed because the platform may count a request in another window than this
	// instance does.
	retryRatioFraction = 0.85
	// settingsPollInterval is the time between two checks of the settings file.
	settingsPollInterval = 5 * time.Second
)

// Run serves until SIGTERM or an interrupt. metrics is the address to serve metrics on, or
// "" for none. Run returns an error if the settings cannot be read, or if starting or
// stopping fails.
func Run(p Platform, metrics string, out io.Writer) error {
	cfg, err := p.Settings()
	if err != nil {
		return trace.Wrap(err)
	}
	runtime.GOMAXPROCS(max(1, int(cfg.Cores+0.5)))
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.MemoryBytes)))
	}
	app := fx.New(options(p, cfg, metrics, out))
	if err := app.Err(); err != nil {
		return trace.Wrap(err)
	}
	if err := app.Start(context.Background()); err != nil {
		return trace.Wrap(err)
	}
	<-app.Wait()
	return trace.Wrap(app.Stop(context.Background()))
}

func options(p Platform, cfg seam.Settings, metrics string, out io.Writer) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.StopTimeout(cfg.Bounds.Grace),
		fx.Supply(p, cfg),
		fx.Provide(
			func() *logging.AsyncWriter { return logging.NewAsyncWriter(out) },
			NewClock, gometrics.NewRegistry, provideLogger,
			func(c Clock) *ConfigState { return NewConfigState(c, cfg.Bounds.RevocationDelay) },
			func(l *logging.Logger, c Clock, config *ConfigState, reg gometrics.Registry) *telemetry {
				return &telemetry{log: l, clock: c, config: config, registry: reg}
			},
			func(c Clock, config *ConfigState) *restoreGuard { return &restoreGuard{clock: c, config: config} },
			provideDialer, provideGrants, provideTunnelServer, newStartGate, provideSharing, provideDriver, provideObservationStore, provideServerList, provideRollouts, provideHandler, provideServer,
		),
		// Hooks stop in reverse order: the readers outlive the server, because the
		// configuration must stay fresh until the last request has been answered.
		fx.Invoke(watchSettings, startReaders,
			func(lc fx.Lifecycle, s *server, sd fx.Shutdowner) { startServer(lc, s, sd, p.ReadyPath, metrics) }),
	)
}

func provideLogger(out *logging.AsyncWriter, cfg seam.Settings) *logging.Logger {
	l := logging.New(out, settings.Log{Level: "info", Format: settings.FormatJSON})
	return l.With(slog.String(logging.KeyInstance, cfg.Instance))
}

func provideDriver(c Clock, cfg seam.Settings) *Driver {
	const seedShift = 20
	return NewDriver(c, passthrough.Settings{
		Seed: hashOf(cfg.Instance) ^ uint64(c.Now().UnixNano()>>seedShift), Domain: cfg.Domain,
		RetryRatio: retryRatioFraction * cfg.Bounds.RetryRatio, RetrySlack: cfg.Bounds.RetrySlack,
		RetryWindow: cfg.Bounds.RetryWindow, SessionTTL: cfg.Bounds.SessionTTL,
		Domains: cfg.Domains, SlowStartBurst: cfg.Bounds.SlowStartBurst, SlowStartSlack: cfg.Bounds.SlowStartSlack,
		SharedAdmission: cfg.SharedAdmission,
	})
}

func provideSharing(p Platform, cfg seam.Settings, tel *telemetry, c Clock) *sharing {
	return newSharing(cfg, p.Store, p.Records, tel, c)
}

func provideObservationStore(cfg seam.Settings, sh *sharing, d *Driver, config *ConfigState, guard *restoreGuard, tel *telemetry, c Clock, gate *startGate) *observationStore {
	observations := newObservationStore(cfg.Instance, sh.observations, d, tel, c)
	observations.followerRecords = func() []keyedlog.Record { return sh.takeHeldRecords(topicObservations) }
	observations.fleetSize = sh.members.FleetSize
	sh.onHeldRecords = observations.wakeUp
	sh.onFleetCount = func(n int) { d.Handle(passthrough.FleetSize{Instances: n}) }
	sh.onRemotePeers = func(domain string, names []string) {
		d.Handle(passthrough.RemoteNeighbours{Domain: domain, Names: names})
	}
	sh.lacksRemotePeers = d.lacksHolders
	sh.onPeers = func(names []string) { d.Handle(passthrough.Neighbours{Self: cfg.Instance, Names: names}) }
	own := func() relay.Report {
		out := d.ownReport()
		out.LostConfigVersion = guard.lostVersion()
		out.FoundBad = observations.ownFoundBad()
		return out
	}
	take := func(others relay.Report) {
		d.applyPeerReport(others)
		observations.applyPeersFoundBad(others.FoundBad)
		config.ReportLostVersion(others.LostConfigVersion)
	}
	sh.server.LoadExchange = relay.NewLoadExchange(sh.client, own, take)
	sh.server.LoadExchange.OnUnreadable = tel.logUnreadableLoads
	d.onObservation, d.onCrash, d.onSlowStart, d.onLimitChanged = observations.recordResponse, observations.recordCrash, tel.logSlowStart, tel.logRateLimitChanged
	observations.onRead = func() { gate.loaded(prerequisiteObservations) }
	d.onAdmission = tel.showAdmission
	d.onPartsQuarantined = func(c passthrough.PartsQuarantined) {
		tel.logPartsQuarantined(c)
		observations.recordQuarantine(c)
	}
	d.onSpeed, d.onSpeedClasses = tel.logServerSpeed, tel.gaugeSpeeds
	d.onEjected, d.onEjectedCount = tel.logServerOutlier, tel.gaugeEjected
	d.onServerLeaving, d.onBackoff, d.onPathChanged, d.onBrittle = tel.logServerLeaving, tel.logBackoffStated, tel.logPathChanged, tel.logBrittle
	return observations
}

func provideServerList(p Platform, cfg seam.Settings, sh *sharing, d *Driver, dial *dialer, tel *telemetry, c Clock, gate *startGate) *serverList {
	l := newServerList(p.Records, d, dial, tel, c, cfg.Bounds.Drain, gate)
	l.heartbeat = cfg.Heartbeat
	d.requestServerRead = l.requestRead
	l.readsFromPeer = func() bool { return !sh.servers.ReadsStore() }
	l.readsAlone = func() bool { return sh.servers.ReadsStore() && !sh.server.IsCollector() }
	return l
}

func provideRollouts(p Platform, cfg seam.Settings, sh *sharing, d *Driver, l *serverList, observations *observationStore, tel *telemetry, c Clock) *rollouts {
	m := newRollouts(p.Records, p.Store.Status(), d, l, observations, tel, c, passthrough.ExposureLimit{Share: cfg.Bounds.CanaryShare, Tolerance: cfg.Bounds.CanaryTolerance})
	m.writesRegister = sh.status.ReadsStore
	return m
}

func provideHandler(p Platform, cfg seam.Settings, config *ConfigState, d *Driver, dial *dialer, grants *grant.Client, c Clock, tel *telemetry, gate *startGate) *Handler {
	return &Handler{headers: p.Headers, config: config, driver: d, dialer: dial, grants: grants, clock: c, telemetry: tel, startGate: gate, shutdown: &shutdown{}, conns: newCallerConns(cfg.MaxFiles), held: newHeldBytes(cfg.MemoryBytes), recent: newRecentIDs()}
}

func provideDialer(c Clock, cfg seam.Settings, d *Driver, sh *sharing, tel *telemetry) *dialer {
	tunnels := tunnel.NewDialer(sh.tunnelPeers)
	tunnels.FindPeers, tunnels.OnNoPath = sh.findTunnelPeers, tel.logNoPath
	dial := newDialer(c, d, tunnels)
	dial.idle.limit = min(connPlan(cfg).IdleServers, maxIdleConns)
	dial.net.Control = connlimit.BoundDialed(connPlan(cfg).ServerUnread)
	tunnels.BoundUnread(connPlan(cfg).ServerUnread)
	dial.idle.onReset = func(s passthrough.Server) {
		tel.logIdleReset(s)
		d.reportReset(s)
	}
	d.onProbe = func(to passthrough.Server) { go dial.probe(to) }
	return dial
}

func provideGrants(lc fx.Lifecycle, c Clock, cfg seam.Settings, d *Driver, sh *sharing, tel *telemetry) *grant.Client {
	out := grant.NewClient(cfg.Instance, grantDecider{d}, sh.tunnelPeers.Address, c.Now, tel.logSilentHolder)
	lc.Append(fx.StopHook(out.Close))
	return out
}

func provideTunnelServer(cfg seam.Settings, dial *dialer, grants *grant.Client, d *Driver, sh *sharing) *tunnel.Server {
	tell := func(domain string) reach.Answer { return sh.tunnelPeers.Tell(d.pathStanding(), domain) }
	return &tunnel.Server{Connect: dial.connectForPeer, Limit: connPlan(cfg).TunnelServers, Tell: tell, PathUp: dial.reachesOthers, Grants: grants}
}

// connPlan returns what the listeners may use by the settings.
func connPlan(cfg seam.Settings) connlimit.Plan {
	return connlimit.NewPlan(cfg.MemoryBytes, cfg.MaxFiles)
}

func provideServer(cfg seam.Settings, handler *Handler, config *ConfigState, d *Driver, sh *sharing, tunnels *tunnel.Server, tel *telemetry, reg gometrics.Registry, out *logging.AsyncWriter) *server {
	s := &server{plan: connPlan(cfg), listeners: map[string]*connlimit.Listener{}, tunnels: tunnels, settings: cfg, handler: handler, config: config, driver: d, telemetry: tel, registry: reg, log: out, onServeError: func(error) {}}
	tunnels.Busy = s.overload.lacksTime
	return s
}

// startServer opens the listeners on start and drains them on stop.
func startServer(lc fx.Lifecycle, s *server, sd fx.Shutdowner, readyPath, metrics string) {
	s.onServeError = func(error) { _ = sd.Shutdown(fx.ExitCode(1)) } // fails only if the stop has already begun
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			s.telemetry.emit(logging.EventStart, slog.String("zone", s.settings.Domain))
			go s.overload.run(ctx)
			return s.start(readyPath, metrics)
		},
		OnStop: func(context.Context) error {
			s.stop(s.handler.clock.Now())
			cancel()
			s.telemetry.emit(logging.EventStop)
			s.log.Flush()
			return nil
		},
	})
}

// startReaders listens for followers and starts the background loops: the readers of the store's
// topics, the writers of observations and announcements, the roll-out loop and the load exchange.
func startReaders(lc fx.Lifecycle, p Platform, cfg seam.Settings, sh *sharing, config *ConfigState, d *Driver, l *serverList, m *rollouts, observations *observationStore, guard *restoreGuard, tel *telemetry, c Clock, gate *startGate) {
	op := &operator{
		records: p.Records, config: config, driver: d, rollouts: m, telemetry: tel, startGate: gate,
		clock: c, restoreGuard: guard,
		drained: map[string]bool{}, drainOrders: map[string]bool{}, keptLogged: map[string]bool{}, domains: cfg.Domains,
		isCollector: sh.server.IsCollector, readsStore: sh.operator.ReadsStore,
	}
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			runs := []func(context.Context){
				op.reader(sh.operator, c).run, l.reader(sh.servers, c).run,
				observations.reader(c, m.active).run, m.reader(sh.status).run, sh.reader(ctx).run, sh.runCollector, sh.runRegion, observations.run, m.run, sh.server.LoadExchange.Run,
			}
			go joinAndRun(ctx, sh, cfg.FirstStart, runs)
			return sh.listen(ctx)
		},
		OnStop: func(context.Context) error {
			cancel()
			sh.client.Close()
			return nil
		},
	})
}

// joinAndRun joins the other instances before it starts the readers, so that they read from
// this instance's collector, if it has one, instead of from the store.
func joinAndRun(ctx context.Context, sh *sharing, firstStart bool, runs []func(context.Context)) {
	sh.join(ctx, firstStart)
	for _, run := range runs {
		go run(ctx)
	}
}

// watchSettings reads the settings file again on SIGHUP and every settingsPollInterval. Only a
// changed revocation bound takes effect; other changes need a restart.
func watchSettings(lc fx.Lifecycle, p Platform, cfg seam.Settings, config *ConfigState, tel *telemetry) {
	hup := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(context.Background())
	reload := func() {
		updated, err := p.Settings()
		if err != nil {
			tel.emit(logging.EventSettingsFaults, slog.String(logging.KeyError, err.Error()))
			return
		}
		if reflect.DeepEqual(updated, cfg) {
			return
		}
		cfg = updated
		config.SetBound(updated.Bounds.RevocationDelay)
		tel.emit(logging.EventSettingsReloaded, slog.Int64("revoke_ms", updated.Bounds.RevocationDelay.Milliseconds()))
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			signal.Notify(hup, syscall.SIGHUP)
			go func() {
				tick := time.NewTicker(settingsPollInterval)
				defer tick.Stop()
				for {
					select {
					case <-hup:
					case <-tick.C:
					case <-ctx.Done():
						return
					}
					reload()
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error { cancel(); return nil },
	})
}

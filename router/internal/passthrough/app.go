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
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/relay"
	"masticplank.example/router/internal/settings"
)

// Platform is what an adapter gives.
type Platform struct {
	Headers Headers
	Records Records
	Store   Store
	// ReadyPath is what the balancer asks for readiness.
	ReadyPath string
	// Settings reads the settings file; it is read again on SIGHUP and when it changed.
	Settings func() (seam.Settings, error)
}

const (
	// memoryPart is the part of the memory at which the collector works harder.
	memoryLimitFraction = 0.6
	// ratioPart is the part of the budget's ratio that is used: requests that are counted
	// here may be counted in another window there.
	retryRatioFraction = 0.85
	// settingsEvery is how often the settings file is looked at for a change.
	settingsPollInterval = 5 * time.Second
)

// Run serves until SIGTERM or an interrupt. metrics is the port of the metrics, or "".
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
			func(l *logging.Logger, c Clock, k *ConfigState, reg gometrics.Registry) *telemetry {
				return &telemetry{log: l, clock: c, config: k, registry: reg}
			},
			func(c Clock, k *ConfigState) *restoreGuard { return &restoreGuard{clock: c, config: k} },
			newDialer, newStartGate, provideSharing, provideDriver, provideObservationStore, provideServerList, provideRollouts, provideEdge, provideServer,
		),
		// The stop runs through these in reverse: the configuration must stay fresh until
		// the last request has been answered.
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
	})
}

func provideSharing(p Platform, cfg seam.Settings, j *telemetry, c Clock) *sharing {
	return newSharing(cfg, p.Store, p.Records, j, c)
}

func provideObservationStore(cfg seam.Settings, sh *sharing, d *Driver, k *ConfigState, trust *restoreGuard, j *telemetry, c Clock) *observationStore {
	b := newObservationStore(cfg.Instance, sh.observations, d, j, c)
	b.followerRecords = func() []keyedlog.Record { return sh.takeHeld(topicObservations) }
	b.fleetSize = sh.members.Count
	sh.onHeld = b.wakeUp
	sh.onFleetCount = func(n int) { d.Handle(passthrough.FleetSize{Instances: n}) }
	sh.onPeers = func(names []string) { d.Handle(passthrough.Neighbours{Self: cfg.Instance, Names: names}) }
	own := func() relay.Report {
		out := d.ownReport()
		out.LostConfig = trust.lostVersion()
		return out
	}
	take := func(others relay.Report) {
		d.applyPeerReport(others)
		k.ReportLostVersion(others.LostConfig)
	}
	sh.server.Loads = relay.NewLoads(sh.client, own, take)
	sh.server.Loads.Unreadable = j.logUnreadableLoads
	d.onObserved, d.onCrash, d.onSlowStart, d.onLimitChanged = b.recordAnswer, b.recordCrash, j.slowStart, j.rateLimitChanged
	return b
}

func provideServerList(p Platform, cfg seam.Settings, sh *sharing, d *Driver, dial *dialer, j *telemetry, c Clock, st *startGate) *serverList {
	l := newServerList(p.Records, d, dial, j, c, cfg.Bounds.Drain, st)
	d.requestServerRead = l.requestRead
	l.readsFromPeer = func() bool { return !sh.servers.Direct() }
	l.readsAlone = func() bool { return sh.servers.Direct() && !sh.server.Collects() }
	return l
}

func provideRollouts(p Platform, cfg seam.Settings, sh *sharing, d *Driver, l *serverList, b *observationStore, j *telemetry, c Clock) *rollouts {
	m := newRollouts(p.Records, p.Store.Status(), d, l, b, j, c, passthrough.ExposureLimit{Share: cfg.Bounds.CanaryShare, Tolerance: cfg.Bounds.CanaryTolerance})
	m.writesRegister = sh.status.Direct
	return m
}

func provideEdge(p Platform, cfg seam.Settings, k *ConfigState, d *Driver, dial *dialer, c Clock, j *telemetry, st *startGate) *Handler {
	return &Handler{headers: p.Headers, config: k, driver: d, dialer: dial, clock: c, telemetry: j, startGate: st, shutdown: &shutdown{}, conns: newCallerConns(cfg.MaxFiles)}
}

func provideServer(cfg seam.Settings, e *Handler, k *ConfigState, d *Driver, j *telemetry, reg gometrics.Registry, out *logging.AsyncWriter) *server {
	s := &server{settings: cfg, edge: e, config: k, driver: d, telemetry: j, registry: reg, log: out, onServeError: func(error) {}}
	return s
}

// startServer opens the listeners, and stops when asked to.
func startServer(lc fx.Lifecycle, s *server, sd fx.Shutdowner, readyPath, metrics string) {
	s.onServeError = func(error) { _ = sd.Shutdown(fx.ExitCode(1)) } // it fails only where the stop has begun
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			s.telemetry.emit(logging.EventStart, slog.String("zone", s.settings.Domain))
			return s.start(readyPath, metrics)
		},
		OnStop: func(context.Context) error {
			s.stop(s.edge.clock.Now())
			s.telemetry.emit(logging.EventStop)
			s.log.Flush()
			return nil
		},
	})
}

// startReaders follows the store's topics, and carries roll-outs out.
func startReaders(lc fx.Lifecycle, p Platform, cfg seam.Settings, sh *sharing, k *ConfigState, d *Driver, l *serverList, m *rollouts, b *observationStore, trust *restoreGuard, j *telemetry, c Clock, st *startGate) {
	op := &operator{
		records: p.Records, config: k, driver: d, rollouts: m, telemetry: j, startGate: st,
		clock: c, restoreGuard: trust,
		drained: map[string]bool{}, drainOrders: map[string]bool{}, keptLogged: map[string]bool{}, domains: cfg.Domains,
		isCollector: sh.server.Collects, readsStore: sh.operator.Direct,
	}
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			runs := []func(context.Context){
				op.reader(sh.operator, c).run, l.reader(sh.servers, c).run,
				b.reader(c, m.active).run, m.reader(sh.status).run, sh.reader(ctx).run, sh.runCollector, b.run, m.run, sh.server.Loads.Run,
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

// startTogether joins the others and starts the readers: an instance that knows its collector
// saves its own reads.
func joinAndRun(ctx context.Context, sh *sharing, first bool, runs []func(context.Context)) {
	sh.join(ctx, first)
	for _, run := range runs {
		go run(ctx)
	}
}

// watchSettings reads the settings file again on SIGHUP and when it has changed. Only the
// bounds are taken over; addresses hold until the next start.
func watchSettings(lc fx.Lifecycle, p Platform, cfg seam.Settings, k *ConfigState, j *telemetry) {
	hup := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(context.Background())
	reload := func() {
		now, err := p.Settings()
		if err != nil {
			j.emit(logging.EventSettingsFaults, slog.String(logging.KeyError, err.Error()))
			return
		}
		if reflect.DeepEqual(now, cfg) {
			return
		}
		cfg = now
		k.SetBound(now.Bounds.RevocationDelay)
		j.emit(logging.EventSettingsReloaded, slog.Int64("revoke_ms", now.Bounds.RevocationDelay.Milliseconds()))
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

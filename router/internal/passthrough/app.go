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
	memoryPart = 0.6
	// ratioPart is the part of the budget's ratio that is used: requests that are counted
	// here may be counted in another window there.
	ratioPart = 0.85
	// settingsEvery is how often the settings file is looked at for a change.
	settingsEvery = 5 * time.Second
)

// Run serves until SIGTERM or an interrupt. metrics is the port of the metrics, or "".
func Run(p Platform, metrics string, out io.Writer) error {
	cfg, err := p.Settings()
	if err != nil {
		return trace.Wrap(err)
	}
	runtime.GOMAXPROCS(max(1, int(cfg.Cores+0.5)))
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.MemoryBytes)))
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
			func() *logging.Async { return logging.NewAsync(out) },
			NewClock, gometrics.NewRegistry, provideLogger,
			func(c Clock) *Knowledge { return NewKnowledge(c, cfg.Bounds.RevocationDelay) },
			func(l *logging.Logger, c Clock, k *Knowledge, reg gometrics.Registry) *journal {
				return &journal{log: l, clock: c, known: k, reg: reg}
			},
			func(c Clock, k *Knowledge) *configTrust { return &configTrust{clock: c, known: k} },
			newDialer, newStarting, provideSharing, provideDriver, provideObservationStore, provideList, provideRollouts, provideEdge, provideServer,
		),
		// The stop runs through these in reverse: the configuration must stay fresh until
		// the last request has been answered.
		fx.Invoke(watchSettings, startReaders,
			func(lc fx.Lifecycle, s *server, sd fx.Shutdowner) { startServer(lc, s, sd, p.ReadyPath, metrics) }),
	)
}

func provideLogger(out *logging.Async, cfg seam.Settings) *logging.Logger {
	l := logging.New(out, settings.Log{Level: "info", Format: settings.FormatJSON})
	return l.With(slog.String(logging.KeyInstance, cfg.Instance))
}

func provideDriver(c Clock, cfg seam.Settings) *Driver {
	const seedShift = 20
	return NewDriver(c, passthrough.Settings{
		Seed: hashOf(cfg.Instance) ^ uint64(c.Now().UnixNano()>>seedShift), Domain: cfg.Domain,
		RetryRatio: ratioPart * cfg.Bounds.RetryRatio, RetrySlack: cfg.Bounds.RetrySlack,
		RetryWindow: cfg.Bounds.RetryWindow, SessionTTL: cfg.Bounds.SessionTTL,
		Domains: cfg.Domains, SlowStartBurst: cfg.Bounds.SlowStartBurst, SlowStartSlack: cfg.Bounds.SlowStartSlack,
	})
}

func provideSharing(p Platform, cfg seam.Settings, j *journal, c Clock) *sharing {
	return newSharing(cfg, p.Store, p.Records, j, c)
}

func provideObservationStore(cfg seam.Settings, sh *sharing, d *Driver, k *Knowledge, trust *configTrust, j *journal, c Clock) *observationStore {
	b := newObservationStore(cfg.Instance, sh.observations, d, j, c)
	b.held = func() []keyedlog.Record { return sh.take(topicObservations) }
	b.fleet = sh.members.Count
	sh.wake = b.nudge
	sh.counted = func(n int) { d.Tell(passthrough.FleetSize{Instances: n}) }
	sh.neighbours = func(names []string) { d.Tell(passthrough.Neighbours{Self: cfg.Instance, Names: names}) }
	own := func() relay.Report {
		out := d.ownReport()
		out.LostConfig = trust.lost()
		return out
	}
	take := func(others relay.Report) {
		d.takeReport(others)
		k.NoteLostVersion(others.LostConfig)
	}
	sh.server.Loads = relay.NewLoads(sh.client, own, take)
	sh.server.Loads.Unreadable = j.unreadableLoads
	d.observe, d.crash, d.cooled, d.limited = b.observed, b.crashed, j.cooled, j.limitChanged
	return b
}

func provideList(p Platform, cfg seam.Settings, sh *sharing, d *Driver, dial *dialer, j *journal, c Clock, st *starting) *list {
	l := newList(p.Records, d, dial, j, c, cfg.Bounds.Drain, st)
	d.hurry = l.hurry
	l.follows = func() bool { return !sh.servers.Direct() }
	l.alone = func() bool { return sh.servers.Direct() && !sh.server.Collects() }
	return l
}

func provideRollouts(p Platform, cfg seam.Settings, sh *sharing, d *Driver, l *list, b *observationStore, j *journal, c Clock) *rollouts {
	m := newRollouts(p.Records, p.Store.Status(), d, l, b, j, c, passthrough.ExposureLimit{Share: cfg.Bounds.CanaryShare, Tolerance: cfg.Bounds.CanaryTolerance})
	m.writes = sh.status.Direct
	return m
}

func provideEdge(p Platform, cfg seam.Settings, k *Knowledge, d *Driver, dial *dialer, c Clock, j *journal, st *starting) *Edge {
	return &Edge{headers: p.Headers, known: k, driver: d, dialer: dial, clock: c, journal: j, starting: st, stopping: &stopping{}, conns: newCallerConns(cfg.MaxFiles)}
}

func provideServer(cfg seam.Settings, e *Edge, k *Knowledge, d *Driver, j *journal, reg gometrics.Registry, out *logging.Async) *server {
	s := &server{settings: cfg, edge: e, known: k, driver: d, journal: j, reg: reg, log: out, failed: func(error) {}}
	return s
}

// startServer opens the listeners, and stops when asked to.
func startServer(lc fx.Lifecycle, s *server, sd fx.Shutdowner, readyPath, metrics string) {
	s.failed = func(error) { _ = sd.Shutdown(fx.ExitCode(1)) } // it fails only where the stop has begun
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			s.journal.emit(logging.EventStart, slog.String("zone", s.settings.Domain))
			return s.start(readyPath, metrics)
		},
		OnStop: func(context.Context) error {
			s.stop(s.edge.clock.Now())
			s.journal.emit(logging.EventStop)
			s.log.Flush()
			return nil
		},
	})
}

// startReaders follows the store's topics, and carries roll-outs out.
func startReaders(lc fx.Lifecycle, p Platform, cfg seam.Settings, sh *sharing, k *Knowledge, d *Driver, l *list, m *rollouts, b *observationStore, trust *configTrust, j *journal, c Clock, st *starting) {
	op := &operator{
		records: p.Records, known: k, driver: d, rollouts: m, journal: j, starting: st,
		clock: c, trust: trust,
		drained: map[string]bool{}, ordered: map[string]bool{}, kept: map[string]bool{}, domains: cfg.Domains,
		collects: sh.server.Collects, direct: sh.operator.Direct,
	}
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			runs := []func(context.Context){
				op.reader(sh.operator, c).run, l.reader(sh.servers, c).run,
				b.reader(c, m.active).run, m.reader(sh.status).run, sh.reader(ctx).run, sh.collect, b.run, m.run, sh.server.Loads.Run,
			}
			go startTogether(ctx, sh, cfg.FirstStart, runs)
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
func startTogether(ctx context.Context, sh *sharing, first bool, runs []func(context.Context)) {
	sh.join(ctx, first)
	for _, run := range runs {
		go run(ctx)
	}
}

// watchSettings reads the settings file again on SIGHUP and when it has changed. Only the
// bounds are taken over; addresses hold until the next start.
func watchSettings(lc fx.Lifecycle, p Platform, cfg seam.Settings, k *Knowledge, j *journal) {
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
				tick := time.NewTicker(settingsEvery)
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

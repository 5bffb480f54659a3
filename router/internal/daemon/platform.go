package daemon

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/fx"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/freshness"
	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog"
	"masticplank.example/coordination/record"
	"masticplank.example/router/internal/directory"
	"masticplank.example/router/internal/driver"
	"masticplank.example/router/internal/gate"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/platform"
	"masticplank.example/router/internal/report"
	"masticplank.example/router/internal/settings"
	"masticplank.example/router/internal/upstream"
)

// freshnessCheckInterval is the time between two checks of the freshness mode, which
// is also checked at each read of the log. It is short, so that package decision learns
// of a lapse soon after it happened.
const freshnessCheckInterval = 100 * time.Millisecond

// pollsPerBound is the freshness bound divided by the longest wait of a long poll of
// the log. A poll confirms the state as of its start; with 5 polls in a bound, one or
// two may fail without a lapse of freshness.
const pollsPerBound = 5

func newLogger(w io.Writer, cfg settings.Settings) *logging.Logger {
	return logging.New(w, cfg.Log).With(slog.String(logging.KeyInstance, cfg.Instance))
}

func newLogClient(cfg settings.Settings) platformlog.Log {
	return platform.NewLogClient(cfg.Platform.LogURL)
}

func newInstanceLister(cfg settings.Settings) platform.InstanceLister {
	return platform.NewListClient(cfg.Platform.ListURL)
}

func newRater(cfg settings.Settings) platform.Rater {
	return platform.NewRatingClient(cfg.Platform.RatingURL)
}

func newUpstream(lc fx.Lifecycle, cfg settings.Settings) *upstream.Client {
	c := upstream.NewClient(connPlan(cfg).ServerUnread)
	lc.Append(fx.StopHook(c.Close))
	return c
}

func newGate(cfg settings.Settings) *gate.Gate {
	tracker := freshness.New(freshness.Config{Self: cfg.Instance, Bound: ms(cfg.Freshness.BoundMS)})
	return gate.New(tracker, time.Now)
}

// newNode returns the reader and writer of the log. The gate observes its reads, and the
// directory gives the number of instances that share the append budget.
func newNode(cfg settings.Settings, log platformlog.Log, g *gate.Gate, dir *directory.Directory) (*node.Node, error) {
	n, err := node.New(log,
		node.Config{
			Name:         cfg.Instance,
			Linger:       ms(cfg.Platform.LingerMS),
			AppendBudget: cfg.Platform.AppendBudget,
			PollWait:     ms(cfg.Freshness.BoundMS) / pollsPerBound,
		},
		node.WithObserver(g),
		node.WithInstanceCount(func() int { return max(1, len(dir.Instances())) }),
		node.WithSeed(randomSeed()),
		node.WithValidator(record.ClassManifest, func(r record.Record, _ *fold.State) error {
			return manifest.CheckRecord(r)
		}),
	)
	return n, trace.Wrap(err)
}

func newStore(n *node.Node) node.Store { return n }

// newBillLog returns the log to which bills are written: a separate one if the settings
// name it, so that instances do not have to read the bills of the whole fleet.
func newBillLog(lc fx.Lifecycle, cfg settings.Settings, store node.Store, dir *directory.Directory) ledger.BillLog {
	if cfg.Platform.BillLogURL == "" {
		return ledger.StoreLog{Store: store}
	}
	w := ledger.NewWriter(platform.NewLogClient(cfg.Platform.BillLogURL), ledger.WriterConfig{
		Name:   cfg.Instance,
		Linger: func() time.Duration { return billLinger(cfg, len(dir.Instances())) },
	})
	runInBackground(lc, w.Run)
	return w
}

// billLinger returns the interval of group commit of bills. It is long enough to keep
// the appends of all live instances together within the budget.
func billLinger(cfg settings.Settings, liveInstances int) time.Duration {
	share := time.Duration(liveInstances) * time.Second / time.Duration(cfg.Platform.AppendBudget)
	return max(ms(cfg.Platform.LingerMS), share)
}

func startNode(lc fx.Lifecycle, n *node.Node, h *manifest.Holder, log *logging.Logger) {
	n.Watch(record.ClassManifest, func(c fold.Change) {
		if err := h.Fold(c); err != nil {
			log.Emit(context.Background(), logging.EventManifestRejected, logging.Err(err))
		}
	})
	lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
}

// newHolder returns the holder of the manifest in force. It passes each manifest to
// package decision before callers' requests are handled under it.
func newHolder(d *driver.Driver, r *report.Recorder, log *logging.Logger) *manifest.Holder {
	return manifest.NewHolder(func(x *manifest.Index) {
		d.Send(x.DecisionEvent())
		r.SetObjectives(x.Manifest.Generation, x.Manifest.Objectives)
		log.Emit(context.Background(), logging.EventManifestApplied,
			slog.Uint64("generation", x.Manifest.Generation),
			slog.String("digest", x.Digest))
	})
}

func newDirectory(cfg settings.Settings, list platform.InstanceLister, d *driver.Driver) *directory.Directory {
	return directory.New(cfg.Instance, list, d, ms(cfg.Platform.ListIntervalMS), ms(cfg.Platform.LoadIntervalMS))
}

func startDirectory(lc fx.Lifecycle, dir *directory.Directory) { runInBackground(lc, dir.Run) }

// startFreshness passes each change of the freshness mode to package decision. At
// intervals it gives the gate the listed instances; the gate then checks the mode too,
// since freshness lapses by the passage of time alone.
func startFreshness(lc fx.Lifecycle, g *gate.Gate, d *driver.Driver, dir *directory.Directory, log *logging.Logger) {
	g.OnChange(func(mode freshness.Mode) {
		ev := gate.FreshnessEvent(mode)
		d.Send(ev)
		log.Emit(context.Background(), logging.EventFreshnessChanged,
			slog.Bool("fresh", ev.Fresh), slog.Bool("outage", ev.Outage))
	})
	runInBackground(lc, func(ctx context.Context) {
		ticker := time.NewTicker(freshnessCheckInterval)
		defer ticker.Stop()
		for {
			g.SetLiveInstances(instanceIDs(dir))
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

func instanceIDs(dir *directory.Directory) []string {
	var out []string
	for _, i := range dir.Instances() {
		out = append(out, i.ID)
	}
	return out
}

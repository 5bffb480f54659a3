// Package daemon assembles and runs one entry instance, the router process that
// callers connect to. Its parts are wired by fx.
package daemon

import (
	"context"
	"io"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/settings"
)

// stopMargin is added to the configured times of a shutdown for what follows the
// drain: appending queued bills to the log and closing listeners.
const stopMargin = 10 * time.Second

// Addresses are the addresses of a running instance's listeners, as IP:port. They
// are set while it starts.
type Addresses struct {
	API   string
	Admin string
	Peer  string
}

// memoryLimitFraction times limits.memory_bytes is the soft memory limit of the Go runtime, near which the garbage collector
// runs more often.
const memoryLimitFraction = 0.6

// Run runs an instance until SIGTERM or an interrupt, then stops it gracefully. It
// writes the log to log.
func Run(cfg settings.Settings, log io.Writer) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.Limits.MemoryBytes)))
	app, _ := New(cfg, log)
	if err := app.Err(); err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return trace.Wrap(err)
	}
	<-app.Wait()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	return trace.Wrap(app.Stop(stopCtx))
}

// New returns the application of one instance, and its Addresses, which are set
// while it starts. The caller checks the application's Err.
func New(cfg settings.Settings, log io.Writer) (*fx.App, *Addresses) {
	addrs := &Addresses{}
	app := fx.New(options(cfg, addrs, log))
	return app, addrs
}

// options returns the constructors of an instance's parts and the functions that start
// them. The parts start in the order of the invoked functions; the stop hooks run in
// reverse, so that the drain comes first.
func options(cfg settings.Settings, addrs *Addresses, log io.Writer) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.StopTimeout(stopTimeout(cfg)),
		fx.Supply(cfg, addrs),
		fx.Provide(
			func() *logging.Logger { return newLogger(log, cfg) },
			func() gometrics.Registry { return gometrics.NewRegistry() },
			newLogClient, newInstanceLister, newRater, newUpstream,
			newHolder, newGate, newNode, newStore,
			newFleetLink, newDriver, newDirectory,
			newBillLog, newPeers, newBiller, newSessionTokens, newNamedSessions, newBurnRecorder, newRequestRecorder,
			newPublisher, newOrderSender, newDrain, newAPI, newStatus, newAdmin,
		),
		fx.Invoke(
			startDriver, startFreshness, startNode, startDirectory,
			startPeers, startOrderSender, startAdmin, startAPI, startDrain,
		),
	)
}

// stopTimeout returns the time for the whole shutdown; fx's default of 15 s would cut
// streams off.
func stopTimeout(cfg settings.Settings) time.Duration {
	return ms(cfg.Shutdown.GraceMS) + ms(cfg.Shutdown.DrainMS) + stopMargin
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// runInBackground runs f from the start to the stop of the application. The context
// given to a start hook ends with the start, so f gets a context of its own.
func runInBackground(lc fx.Lifecycle, f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				f(ctx)
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stop.Done():
				return stop.Err()
			}
		},
	})
}

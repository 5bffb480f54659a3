// Package standincmd implements "masticplank standin", which runs stand-ins for
// the platform's services and for backend servers, one process each.
package standincmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"masticplank.example/router/internal/standin/engine"
	"masticplank.example/router/internal/standin/listsvc"
	"masticplank.example/router/internal/standin/logsvc"
	"masticplank.example/router/internal/standin/rating"
	"masticplank.example/router/internal/standin/service"
)

const (
	// stopTimeout bounds the wait for requests in progress when the command stops.
	stopTimeout = 30 * time.Second
	// headerTimeout bounds the wait for a request's header.
	headerTimeout = 10 * time.Second
)

// New returns the command with its subcommands.
func New() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for a platform service or a backend server",
		Long: `Run a small stand-in for a service that masticplank needs.

Each prints "listening on ADDRESS" as its first line, serves until it gets
SIGTERM or an interrupt, finishes the requests in progress and exits with
status 0. Its faults are read and switched while it runs:

  curl -s http://ADDRESS/faults
  curl -s -X PUT http://ADDRESS/faults -d '{"down": true}'

A fault with a count, such as "lost_reply", occurs that many times; -1 means
always.`,
	}
	cmd.AddCommand(logCommand(), listCommand(), engineCommand(), serviceCommand(), ratingCommand())
	return cmd
}

func logCommand() *cobra.Command {
	var listen string
	var cfg logsvc.Config
	cmd := &cobra.Command{
		Use:   "log",
		Short: "The platform's append-only log service",
		Long: `Run the append-only log service. It keeps its entries in memory.

Faults: down, delay_ms, refuse_appends, fail_appends, lost_reply, lost_before,
late_effect_ms. POST /trim?before=OFFSET drops older entries at once.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveUntilStopped(cmd, listen, logsvc.New(cfg))
		},
	}
	addListenFlag(cmd, &listen)
	cmd.Flags().DurationVar(&cfg.Retention, "retention", time.Hour, "how long an entry is kept; 0 means for ever")
	cmd.Flags().IntVar(&cfg.MaxEntries, "max-entries", 0, "maximum number of entries kept; 0 means no limit")
	cmd.Flags().IntVar(&cfg.AppendRate, "append-rate", 500, "maximum appends per second; 0 means no limit")
	return cmd
}

func listCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "instances",
		Short: "The platform's list of instances and backend servers",
		Long: `Run the list of live and leaving instances and backend servers. It starts
empty; PUT /instances sets it, PUT and DELETE /servers/ID and /instances/ID
change one entry.

Faults: down, delay_ms, lag_ms.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveUntilStopped(cmd, listen, listsvc.New(listsvc.Config{}))
		},
	}
	addListenFlag(cmd, &listen)
	return cmd
}

func engineCommand() *cobra.Command {
	var listen string
	var versions []string
	var cfg engine.Config
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "A model engine, OpenAI-compatible",
		Long: `Run a model engine: chat completions plain and streamed, continuous batching
with a limit of slots, a bounded prefix cache, load reports and orders.

A version is given as ID and settings, with the times to the first token, for
each uncached block of the prompt, and between tokens:

  --version small@1,quality=0.6,first=20ms,block=1ms,inter=5ms

Faults: down, delay_ms, late_ms, slow_factor, leaving, silent_leaving, busy,
error_rate, quality, crash_on_mark, crash_ms, truncate, end_early, wrong_nonce,
crossed, duplicate_chunk, lost_reply, cache_gaps. With crash_on_mark, a prompt
with the text "` + engine.CrashMark + `" crashes the engine.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, text := range versions {
				v, err := engine.ParseVersion(text)
				if err != nil {
					return trace.BadParameter("--version: %v", err)
				}
				cfg.Versions = append(cfg.Versions, v)
			}
			return serveUntilStopped(cmd, listen, engine.New(cfg))
		},
	}
	addListenFlag(cmd, &listen)
	flags := cmd.Flags()
	flags.StringArrayVar(&versions, "version", nil, "a version and its settings; may be repeated (default small@1 and large@1)")
	flags.IntVar(&cfg.Slots, "slots", engine.DefaultSlots, "requests that run at once")
	flags.IntVar(&cfg.QueueLimit, "queue", engine.DefaultQueueLimit, "maximum number of requests that wait for a slot; -1 refuses a request that finds no free slot")
	flags.IntVar(&cfg.CacheBlocks, "cache-blocks", engine.DefaultCacheBlocks, "size of the prefix cache in blocks")
	flags.DurationVar(&cfg.ReportLag, "report-lag", 500*time.Millisecond, "maximum age of a load report")
	flags.BoolVar(&cfg.CheckFencing, "check-fencing", false, "refuse orders with an old fencing number")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "seed of the fault error_rate")
	return cmd
}

func serviceCommand() *cobra.Command {
	var listen string
	var cfg service.Config
	cmd := &cobra.Command{
		Use:   "service",
		Short: "A plain service, such as a shop's stock",
		Long: `Run a plain service that answers under any path. GET is idempotent; every
other call, such as POST /reservations, is counted as a run under its
Idempotency-Key, which GET /stats shows.

Faults: down, delay_ms, leaving, busy, lost_reply, fail_after, wrong_nonce,
truncate.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveUntilStopped(cmd, listen, service.New(cfg))
		},
	}
	addListenFlag(cmd, &listen)
	cmd.Flags().StringVar(&cfg.Name, "name", "shop", "the service's name in its answers")
	cmd.Flags().IntVar(&cfg.Slots, "slots", service.DefaultSlots, "calls that run at once")
	cmd.Flags().DurationVar(&cfg.Work, "work", 2*time.Millisecond, "how long a call takes")
	return cmd
}

func ratingCommand() *cobra.Command {
	var listen string
	var cfg rating.Config
	cmd := &cobra.Command{
		Use:   "rating",
		Short: "The platform's service that rates answers",
		Long: `Run the service that rates answers: by the quality that the engine stand-in
writes into them, with noise.

Faults: down, delay_ms, wrong, scores, out_of_range, fail.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveUntilStopped(cmd, listen, rating.New(cfg))
		},
	}
	addListenFlag(cmd, &listen)
	cmd.Flags().Float64Var(&cfg.Noise, "noise", 0.1, "maximum deviation of a score, up or down")
	return cmd
}

func addListenFlag(cmd *cobra.Command, listen *string) {
	cmd.Flags().StringVar(listen, "listen", "127.0.0.1:0", "address to listen on, IP:port; port 0 picks one")
}

// serveUntilStopped serves until the command's context ends or the process gets SIGTERM or
// an interrupt.
func serveUntilStopped(cmd *cobra.Command, listen string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return serve(ctx, listen, handler, cmd.OutOrStdout())
}

// serve handles requests on the address until ctx ends, then waits up to stopTimeout for
// the requests in progress. The first line written to out names the address.
func serve(ctx context.Context, listen string, handler http.Handler, out io.Writer) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return trace.Wrap(err, "listening on %s", listen)
	}
	fmt.Fprintf(out, "listening on %s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return trace.Wrap(err, "requests still in progress after %s", stopTimeout)
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

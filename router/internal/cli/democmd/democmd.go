// Package democmd implements "masticplank demo", which runs the whole system in
// one process and checks that it keeps its promises.
package democmd

import (
	"io"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/demo"
)

// Defaults and bounds of the flags.
const (
	defaultRequests = 500
	maxRequests     = 1_000_000
	defaultWorkers  = 16
	maxWorkers      = 1024
)

// New returns the command.
func New() *cobra.Command {
	var cfg demo.Config
	var asJSON, logs bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run everything in one process on loopback, and check the promises",
		Long: `Run the whole product in this process on loopback: a log, an instance list, a
rating service, three engines, a shop and two entry instances. It sends them a
mixed load (plain and streamed chat, sessions, reads, reservations, some of them
sent twice at once), with a roll-out halfway that withdraws a version.

Then a table shows the outcomes, latency, versions, cost, and the number of bills
against that of completed requests. Nothing is left behind.

Exit status: 0 if every promise was kept, 1 if one was broken.`,
		Example: "  masticplank demo --requests 2000 --faults\n  masticplank demo --json | jq .promises",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cfg.Requests < 1 || cfg.Requests > maxRequests {
				return cli.StatusErrorf(cli.StatusInvalid, "--requests %d: want 1 to %d", cfg.Requests, maxRequests)
			}
			if cfg.Workers < 1 || cfg.Workers > maxWorkers {
				return cli.StatusErrorf(cli.StatusInvalid, "--workers %d: want 1 to %d", cfg.Workers, maxWorkers)
			}
			if logs {
				cfg.Log = cmd.ErrOrStderr()
			}
			cfg.Progress = newProgress(cfg.Requests, cmd.ErrOrStderr())
			return runDemo(cmd, cfg, asJSON)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&cfg.Requests, "requests", defaultRequests, "number of requests")
	flags.IntVar(&cfg.Workers, "workers", defaultWorkers, "number of concurrent requests")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "random seed of the load")
	flags.BoolVar(&cfg.Faults, "faults", false, "inject faults into the platform and the backend servers")
	flags.BoolVar(&logs, "logs", false, "show the instances' logs on standard error")
	flags.BoolVar(&asJSON, "json", false, "print the report as one JSON object")
	return cmd
}

// newProgress returns the function to call for each request that has ended, which
// advances a progress bar on w. It is nil if w is not a terminal.
func newProgress(total int, w io.Writer) func() {
	f, ok := w.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) {
		return nil
	}
	bar := progressbar.NewOptions(total,
		progressbar.OptionSetWriter(f),
		progressbar.OptionSetDescription("requests"),
		progressbar.OptionShowCount(),
		progressbar.OptionClearOnFinish(),
	)
	// A bar that cannot be drawn does not stop the run.
	return func() { _ = bar.Add(1) }
}

func runDemo(cmd *cobra.Command, cfg demo.Config, asJSON bool) error {
	report, err := demo.Run(cmd.Context(), cfg)
	if err != nil {
		return cli.WithStatus(cli.StatusFailed, err)
	}
	if asJSON {
		err = cli.WriteJSON(cmd.OutOrStdout(), report)
	} else {
		err = report.Write(cmd.OutOrStdout())
	}
	if err != nil {
		return cli.WithStatus(cli.StatusFailed, err)
	}
	if !report.Held() {
		return cli.StatusErrorf(cli.StatusFailed, "a promise was broken; see the report")
	}
	return nil
}

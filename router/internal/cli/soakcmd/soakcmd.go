// Package soakcmd is "masticplank soak": many processes between stand-ins of the platform,
// with faults from outside, and what was promised of them.
package soakcmd

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"masticplank.example/platform/soak"
	"masticplank.example/router/internal/cli"
)

// New returns the command.
func New() *cobra.Command {
	var opts soak.Options
	var minutes float64
	cmd := &cobra.Command{
		Use:   "soak --seed N --minutes M --processes P",
		Short: "Run many instances on loopback with faults from outside, and check what is promised",
		Long: `Run masticplankd as separate processes between stand-ins of the platform, inject
faults from outside, and hold what callers and backend servers see against what is
promised. The report is printed as JSON. It ends only processes that it started.

Exit status: 0 all was kept, 1 a promise was broken or the run failed, 2 a flag is out
of range.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			opts.Duration = time.Duration(minutes * float64(time.Minute))
			if err := opts.Validate(); err != nil {
				return cli.WithStatus(cli.StatusInvalid, err)
			}
			if opts.Program == "" {
				opts.Program = siblingProgram()
			}
			report, err := soak.Run(cmd.Context(), opts)
			if err != nil {
				return err
			}
			if err := cli.WriteJSON(cmd.OutOrStdout(), report); err != nil {
				return err
			}
			if n := len(report.Violations); n > 0 {
				return cli.StatusErrorf(cli.StatusFailed, "seed %d: %d promises broken; logs in %s", opts.Seed, n, report.Logs)
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&opts.Seed, "seed", 1, "what is drawn: faults, their times, and what callers send")
	flags.Float64Var(&minutes, "minutes", 1, "minutes with faults; a calm of 12 s follows")
	flags.IntVar(&opts.Processes, "processes", 9, fmt.Sprintf("instances, %d at most", soak.MaxProcesses))
	flags.StringVar(&opts.Program, "program", "", "path of masticplankd; empty for the one beside this program")
	flags.StringVar(&opts.Dir, "dir", "", "directory for settings and logs; empty for a temporary one, kept after a breach")
	return cmd
}

// beside is the path of masticplankd in this program's directory.
func siblingProgram() string {
	self, err := os.Executable()
	if err != nil {
		return "masticplankd" // found by the path
	}
	return filepath.Join(filepath.Dir(self), "masticplankd")
}

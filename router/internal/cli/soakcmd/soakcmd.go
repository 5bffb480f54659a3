// Package soakcmd implements "masticplank soak", which runs many instances as processes
// with stand-ins for the platform and the backend servers, injects faults and checks that
// the system keeps its promises.
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
		Short: "Run many instances on loopback, inject faults and check what is promised",
		Long: `Run masticplankd as separate processes between stand-ins of the platform, inject
faults from outside, and check what callers and backend servers see against what is
promised. The report is printed as JSON. It ends only processes that it started.

Exit status: 0 all promises were kept, 1 a promise was broken or the run failed, 2 a
flag is out of range.`,
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
	flags.Uint64Var(&opts.Seed, "seed", 1, "random seed of the faults, of their times and of the callers' requests")
	flags.Float64Var(&minutes, "minutes", 1, "minutes with faults; 12 s without faults follow")
	flags.IntVar(&opts.Processes, "processes", 9, fmt.Sprintf("number of instances, %d at most", soak.MaxProcesses))
	flags.StringVar(&opts.Program, "program", "", "path of masticplankd; empty for the one beside this program")
	flags.StringVar(&opts.Dir, "dir", "", "directory for settings and logs; empty for a temporary one, which is kept if a promise was broken")
	return cmd
}

// siblingProgram returns the path of masticplankd in this program's directory, or the
// bare name if that directory is unknown.
func siblingProgram() string {
	self, err := os.Executable()
	if err != nil {
		return "masticplankd" // looked up in PATH
	}
	return filepath.Join(filepath.Dir(self), "masticplankd")
}

// Package reportcmd implements "masticplank report", which reports the service
// levels of a fleet.
package reportcmd

import (
	"time"

	"github.com/spf13/cobra"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/report"
	"masticplank.example/router/internal/report/page"
)

// New returns the command "report" with its subcommands.
func New() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Report on service levels",
	}
	cmd.AddCommand(newBurn(time.Now))
	return cmd
}

// newBurn returns the command "burn"; now is the clock for the report's time.
func newBurn(now func() time.Time) *cobra.Command {
	var addresses []string
	var output string
	cmd := &cobra.Command{
		Use:   "burn --instances ADDR,...",
		Short: "Show each team's service levels, error budgets and burn rates",
		Long: "Show each team's service levels (availability, first token, inter-token,\n" +
			"cost, exposure to bad versions) against the manifest's objectives, the error\n" +
			"budget left and burn rates over 5m and 1h, 30m and 6h, merged from the\n" +
			"instances' own counters. HTML is one self-contained page.\n" +
			"Exit status: 0 all answered, 3 some did not, 1 none did.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := cli.CheckOutput(output, cli.OutputText, cli.OutputJSON, cli.OutputHTML); err != nil {
				return err
			}
			return reportBurn(cmd, addresses, output, now)
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "instances", nil, "admin addresses of the instances")
	cmd.Flags().StringVarP(&output, "output", "o", cli.OutputText, "text, json or html")
	_ = cmd.MarkFlagRequired("instances")
	return cmd
}

func reportBurn(cmd *cobra.Command, addresses []string, output string, now func() time.Time) error {
	var sources []report.Source
	for _, response := range cli.GetAll[report.Snapshot](cmd.Context(), addresses, "/burn") {
		sources = append(sources, report.Source{Address: response.Address, Snapshot: response.Value, Err: response.Err})
	}
	r := report.Build(now(), sources)
	if err := write(cmd, r, output); err != nil {
		return err
	}
	return cli.UnansweredError(r.UnansweredCount(), len(addresses))
}

func write(cmd *cobra.Command, r report.Report, output string) error {
	switch output {
	case cli.OutputJSON:
		return cli.WriteJSON(cmd.OutOrStdout(), r)
	case cli.OutputHTML:
		return page.WriteHTML(cmd.OutOrStdout(), r)
	default:
		return r.WriteText(cmd.OutOrStdout())
	}
}

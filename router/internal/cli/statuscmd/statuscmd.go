// Package statuscmd implements "masticplank status", which shows the state of
// each instance.
package statuscmd

import (
	"github.com/spf13/cobra"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/report"
)

// New returns the command "status".
func New() *cobra.Command {
	var addresses []string
	var output string
	cmd := &cobra.Command{
		Use:   "status --instances ADDR,...",
		Short: "Show generation, freshness, log, held bills, shut-off versions and ejected servers of each instance",
		Long: "Show the state of each instance as its admin listener reports it.\n" +
			"Exit status: 0 all answered, 3 some did not, 1 none did.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := cli.CheckOutput(output, cli.OutputText, cli.OutputJSON); err != nil {
				return err
			}
			return show(cmd, addresses, output)
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "instances", nil, "admin addresses of the instances")
	cmd.Flags().StringVarP(&output, "output", "o", cli.OutputText, "text or json")
	_ = cmd.MarkFlagRequired("instances")
	return cmd
}

func show(cmd *cobra.Command, addresses []string, output string) error {
	statuses := make([]report.InstanceStatus, 0, len(addresses))
	unanswered := 0
	for _, response := range cli.GetAll[report.StatusReport](cmd.Context(), addresses, "/status") {
		status := report.InstanceStatus{Address: response.Address}
		if response.Err != nil {
			status.Error = response.Err.Error()
			unanswered++
		} else {
			status.Status = &response.Value
		}
		statuses = append(statuses, status)
	}
	if err := write(cmd, statuses, output); err != nil {
		return err
	}
	return cli.UnansweredError(unanswered, len(addresses))
}

func write(cmd *cobra.Command, statuses []report.InstanceStatus, output string) error {
	if output == cli.OutputJSON {
		return cli.WriteJSON(cmd.OutOrStdout(), statuses)
	}
	return report.WriteStatusText(cmd.OutOrStdout(), statuses)
}

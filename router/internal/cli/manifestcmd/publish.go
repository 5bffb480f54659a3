package manifestcmd

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"masticplank.example/router/internal/admin"
	"masticplank.example/router/internal/adminclient"
	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/manifest"
)

// keyVariable holds the operator's key, so that it is in no process list.
const keyVariable = "MASTICPLANK_OPERATOR_KEY"

// pollInterval is how often --wait asks the instances.
const pollInterval = 50 * time.Millisecond

type publishFlags struct {
	instances []string
	rebase    bool
	wait      time.Duration
	output    string
}

func newPublish() *cobra.Command {
	var f publishFlags
	cmd := &cobra.Command{
		Use:   "publish FILE --instances ADDR,...",
		Short: "Publish a manifest through one instance, and wait until all have it in force",
		Long: `Publish a manifest. The first instance that answers takes it into the log.
The operator's key is read from ` + keyVariable + `.

With --wait the command follows until every instance named has the generation
in force. Publishing the same file again is harmless: its publication id makes
it the same proposal.

Exit status: 0 accepted (and in force everywhere, with --wait), 1 refused or
unknown, 2 invalid, 3 accepted but not in force everywhere in time, 4 conflict
with another publication.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := cli.CheckOutput(f.output, cli.OutputText, cli.OutputJSON); err != nil {
				return err
			}
			m, err := read(args[0])
			if err != nil {
				return err
			}
			return f.publish(cmd, m)
		},
	}
	cmd.Flags().StringSliceVar(&f.instances, "instances", nil, "admin addresses of the instances")
	cmd.Flags().BoolVar(&f.rebase, "rebase", false, "follow the manifest in force, whatever it is")
	cmd.Flags().DurationVar(&f.wait, "wait", 0, "how long to wait for all instances; 0 does not wait")
	outputFlag(cmd, &f.output)
	_ = cmd.MarkFlagRequired("instances")
	return cmd
}

// statusConflict is the exit status for a publication that lost a race.
const statusConflict = 4

func (f publishFlags) publish(cmd *cobra.Command, m manifest.Manifest) error {
	answer, err := f.send(cmd.Context(), m)
	if err != nil {
		return err
	}
	if f.output == cli.OutputJSON {
		if err := cli.WriteJSON(cmd.OutOrStdout(), answer); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(cmd.OutOrStdout(), "%s: generation %d %s\n", answer.Outcome, answer.Generation, answer.Message)
	}
	if err := answerError(answer); err != nil {
		return err
	}
	return f.follow(cmd, answer.Generation)
}

// send tries the instances in turn. Trying the next one after a lost answer is
// harmless, since the publication id makes it the same proposal.
func (f publishFlags) send(ctx context.Context, m manifest.Manifest) (admin.PublishAnswer, error) {
	var last error
	for _, addr := range f.instances {
		answer, err := adminclient.New(addr, os.Getenv(keyVariable)).Publish(ctx, m, f.rebase)
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return admin.PublishAnswer{}, cli.Exitf(cli.StatusFailed, "no instance took the manifest: %w", last)
}

func answerError(a admin.PublishAnswer) error {
	switch {
	case a.Accepted():
		return nil
	case a.Outcome == "conflict":
		return cli.Exitf(statusConflict, "conflict: generation %d is in force; generate the manifest again over it", a.Generation)
	case len(a.Faults) > 0:
		return cli.Exitf(cli.StatusInvalid, "%w", a.Faults)
	default:
		return cli.Exitf(cli.StatusFailed, "%s: %s", a.Code, a.Message)
	}
}

// follow waits until every instance has the generation in force.
func (f publishFlags) follow(cmd *cobra.Command, generation uint64) error {
	if f.wait == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), f.wait)
	defer cancel()
	missing := f.instances
	for {
		missing = behind(ctx, missing, generation)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return cli.Exitf(cli.StatusPartial, "generation %d is accepted, but not in force in time at: %v", generation, missing)
		case <-time.After(pollInterval):
		}
	}
}

// inForce is the part of /status that matters here.
type inForce struct {
	Generation uint64 `json:"generation"`
}

func behind(ctx context.Context, instances []string, generation uint64) []string {
	var out []string
	for _, a := range cli.Gather[inForce](ctx, instances, "/status") {
		if a.Err != nil || a.Value.Generation < generation {
			out = append(out, a.Address)
		}
	}
	return out
}

func newStatus() *cobra.Command {
	var instances []string
	var output string
	cmd := &cobra.Command{
		Use:   "status --instances ADDR,...",
		Short: "Show the generation in force at each instance",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := cli.CheckOutput(output, cli.OutputText, cli.OutputJSON); err != nil {
				return err
			}
			return showStatus(cmd, instances, output)
		},
	}
	cmd.Flags().StringSliceVar(&instances, "instances", nil, "admin addresses of the instances")
	outputFlag(cmd, &output)
	_ = cmd.MarkFlagRequired("instances")
	return cmd
}

// generationRow is one line of "manifest status".
type generationRow struct {
	Instance   string `json:"instance"`
	Generation uint64 `json:"generation"`
	Error      string `json:"error,omitempty"`
}

func showStatus(cmd *cobra.Command, instances []string, output string) error {
	rows := make([]generationRow, 0, len(instances))
	silent := 0
	for _, a := range cli.Gather[inForce](cmd.Context(), instances, "/status") {
		row := generationRow{Instance: a.Address, Generation: a.Value.Generation}
		if a.Err != nil {
			row.Error = a.Err.Error()
			silent++
		}
		rows = append(rows, row)
	}
	if err := printRows(cmd, rows, output); err != nil {
		return err
	}
	if silent > 0 {
		return cli.Exitf(cli.StatusPartial, "%d of %d instances did not answer", silent, len(instances))
	}
	return nil
}

func printRows(cmd *cobra.Command, rows []generationRow, output string) error {
	if output == cli.OutputJSON {
		return cli.WriteJSON(cmd.OutOrStdout(), rows)
	}
	for _, r := range rows {
		fmt.Fprintf(cmd.OutOrStdout(), "%-24s generation %d %s\n", r.Instance, r.Generation, r.Error)
	}
	return nil
}

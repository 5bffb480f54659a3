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

// keyVariable is the environment variable that holds the operator's key. A flag
// would show the key in the process list.
const keyVariable = "MASTICPLANK_OPERATOR_KEY"

// pollInterval is the time between two polls of the instances under --wait.
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
		Long: `Publish a manifest. The first instance that answers appends it to the log.
The operator's key is read from the environment variable ` + keyVariable + `.

With --wait the command waits until every instance named has the generation in
force. Publishing the same file again is harmless: its publication id makes it
the same proposal.

Exit status: 0 accepted (and in force everywhere, with --wait), 1 refused or
unknown, 2 invalid, 3 accepted but not in force everywhere in time, 4 conflict
with another publication.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := cli.CheckOutput(f.output, cli.OutputText, cli.OutputJSON); err != nil {
				return err
			}
			m, err := readManifest(args[0])
			if err != nil {
				return err
			}
			return f.publish(cmd, m)
		},
	}
	cmd.Flags().StringSliceVar(&f.instances, "instances", nil, "admin addresses of the instances")
	cmd.Flags().BoolVar(&f.rebase, "rebase", false, "use the manifest in force as the parent, whichever it is")
	cmd.Flags().DurationVar(&f.wait, "wait", 0, "how long to wait until all instances have it in force; 0 does not wait")
	addOutputFlag(cmd, &f.output)
	_ = cmd.MarkFlagRequired("instances")
	return cmd
}

// statusConflict is the exit status if the manifest does not follow the one in force,
// usually because another publication came first, or if a later publication has
// replaced it.
const statusConflict = 4

func (f publishFlags) publish(cmd *cobra.Command, m manifest.Manifest) error {
	response, err := f.send(cmd.Context(), m)
	if err != nil {
		return err
	}
	if f.output == cli.OutputJSON {
		if err := cli.WriteJSON(cmd.OutOrStdout(), response); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(cmd.OutOrStdout(), "%s: generation %d %s\n", response.Outcome, response.Generation, response.Message)
	}
	if err := outcomeError(response); err != nil {
		return err
	}
	return f.waitInForce(cmd, response.Generation)
}

// send tries the instances in turn until one returns an outcome. Trying the next one
// after a lost response is harmless, since the publication id makes it the same proposal.
func (f publishFlags) send(ctx context.Context, m manifest.Manifest) (admin.PublishResponse, error) {
	var lastErr error
	for _, addr := range f.instances {
		response, err := adminclient.New(addr, os.Getenv(keyVariable)).Publish(ctx, m, f.rebase)
		if err == nil {
			return response, nil
		}
		lastErr = err
	}
	return admin.PublishResponse{}, cli.StatusErrorf(cli.StatusFailed, "no instance answered the publication: %w", lastErr)
}

func outcomeError(r admin.PublishResponse) error {
	switch {
	case r.Accepted():
		return nil
	case r.Outcome == "conflict":
		return cli.StatusErrorf(statusConflict, "conflict: generation %d is in force; generate the manifest again from it", r.Generation)
	case len(r.Faults) > 0:
		return cli.StatusErrorf(cli.StatusInvalid, "%w", r.Faults)
	default:
		return cli.StatusErrorf(cli.StatusFailed, "%s: %s", r.Code, r.Message)
	}
}

// waitInForce waits until every instance has the generation or a newer one in force,
// for at most f.wait.
func (f publishFlags) waitInForce(cmd *cobra.Command, generation uint64) error {
	if f.wait == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), f.wait)
	defer cancel()
	pending := f.instances
	for {
		pending = instancesBehind(ctx, pending, generation)
		if len(pending) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return cli.StatusErrorf(cli.StatusPartial, "generation %d is accepted, but not in force in time at: %v", generation, pending)
		case <-time.After(pollInterval):
		}
	}
}

// generationStatus is the part of the body of /status that is read here.
type generationStatus struct {
	Generation uint64 `json:"generation"`
}

// instancesBehind returns the instances that have an older generation in force or did
// not answer.
func instancesBehind(ctx context.Context, instances []string, generation uint64) []string {
	var out []string
	for _, response := range cli.GetAll[generationStatus](ctx, instances, "/status") {
		if response.Err != nil || response.Value.Generation < generation {
			out = append(out, response.Address)
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
	addOutputFlag(cmd, &output)
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
	unanswered := 0
	for _, response := range cli.GetAll[generationStatus](cmd.Context(), instances, "/status") {
		row := generationRow{Instance: response.Address, Generation: response.Value.Generation}
		if response.Err != nil {
			row.Error = response.Err.Error()
			unanswered++
		}
		rows = append(rows, row)
	}
	if err := printGenerations(cmd, rows, output); err != nil {
		return err
	}
	if unanswered > 0 {
		return cli.StatusErrorf(cli.StatusPartial, "%d of %d instances did not answer", unanswered, len(instances))
	}
	return nil
}

func printGenerations(cmd *cobra.Command, rows []generationRow, output string) error {
	if output == cli.OutputJSON {
		return cli.WriteJSON(cmd.OutOrStdout(), rows)
	}
	for _, r := range rows {
		fmt.Fprintf(cmd.OutOrStdout(), "%-24s generation %d %s\n", r.Instance, r.Generation, r.Error)
	}
	return nil
}

// Package manifestcmd implements "masticplank manifest", which checks, compares,
// fetches and publishes manifests.
package manifestcmd

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/manifest"
)

// New returns the command with its subcommands.
func New() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "manifest",
		Short: "Check, compare, fetch and publish manifests",
	}
	cmd.AddCommand(newCheck(), newDiff(), newGet(), newHashKey(), newPublish(), newStatus())
	return cmd
}

func newCheck() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Report every fault of a manifest with its path",
		Long:  "Report every fault of a manifest with its path.\nExit status: 0 valid, 2 faults found, 1 the file could not be read.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := cli.CheckOutput(output, cli.OutputText, cli.OutputJSON); err != nil {
				return err
			}
			m, err := readManifest(args[0])
			if err != nil {
				return err
			}
			return reportFaults(cmd, manifest.Validate(m), output)
		},
	}
	addOutputFlag(cmd, &output)
	return cmd
}

func addOutputFlag(cmd *cobra.Command, output *string) {
	cmd.Flags().StringVarP(output, "output", "o", cli.OutputText, "text or json")
}

// readManifest reads and parses a manifest file. A file that cannot be read
// gives exit status StatusFailed, one that cannot be parsed StatusInvalid.
func readManifest(path string) (manifest.Manifest, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return manifest.Manifest{}, cli.WithStatus(cli.StatusFailed, err)
	}
	m, err := manifest.Parse(data)
	if err != nil {
		return manifest.Manifest{}, cli.StatusErrorf(cli.StatusInvalid, "%s: %w", path, err)
	}
	return m, nil
}

func reportFaults(cmd *cobra.Command, faults manifest.Faults, output string) error {
	out := cmd.OutOrStdout()
	if output == cli.OutputJSON {
		if faults == nil {
			faults = manifest.Faults{}
		}
		if err := cli.WriteJSON(out, faults); err != nil {
			return err
		}
	} else {
		for _, f := range faults {
			fmt.Fprintf(out, "%s: %s\n", f.Path, f.Text)
		}
	}
	if len(faults) > 0 {
		return cli.StatusErrorf(cli.StatusInvalid, "the manifest has %d faults", len(faults))
	}
	return nil
}

func newDiff() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "List what NEW changes from OLD",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := cli.CheckOutput(output, cli.OutputText, cli.OutputJSON); err != nil {
				return err
			}
			from, err := readManifest(args[0])
			if err != nil {
				return err
			}
			to, err := readManifest(args[1])
			if err != nil {
				return err
			}
			return printChanges(cmd, manifest.Diff(from, to), output)
		},
	}
	addOutputFlag(cmd, &output)
	return cmd
}

func printChanges(cmd *cobra.Command, changes []manifest.Change, output string) error {
	if output == cli.OutputJSON {
		if changes == nil {
			changes = []manifest.Change{}
		}
		return cli.WriteJSON(cmd.OutOrStdout(), changes)
	}
	for _, c := range changes {
		fmt.Fprintf(cmd.OutOrStdout(), "%-8s %s %s\n", c.Kind, c.Item, c.Detail)
	}
	return nil
}

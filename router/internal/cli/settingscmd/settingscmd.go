// Package settingscmd implements "masticplank settings", which checks settings
// files before they are deployed and prints documented examples.
package settingscmd

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/settings"
)

// New returns the command "settings" with its subcommands.
func New() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Check an instance's settings, or print a documented example",
	}
	cmd.AddCommand(newCheck(), newExample())
	return cmd
}

func newCheck() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Report every fault of settings files with file, line and column",
		Long: "Report every fault of settings files with file, line and column.\n" +
			"Exit status: 0 all valid, 2 faults found, 1 a file could not be read.",
		Args:          cobra.MinimumNArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, files []string) error {
			if err := cli.CheckOutput(output, cli.OutputText, cli.OutputJSON); err != nil {
				return err
			}
			return check(cmd, files, output)
		},
	}
	cmd.Flags().StringVarP(&output, "output", "o", cli.OutputText, "text or json")
	return cmd
}

// check collects the faults of all files before it returns them, so that one run
// shows them all. A file that cannot be read ends the check at once.
func check(cmd *cobra.Command, files []string, output string) error {
	all := settings.Faults{}
	for _, file := range files {
		_, err := settings.Load(file)
		var faults settings.Faults
		switch {
		case errors.As(err, &faults):
			all = append(all, faults...)
		case err != nil:
			return cli.StatusErrorf(cli.StatusFailed, "%s: %w", file, err)
		}
	}
	if output == cli.OutputJSON {
		if err := cli.WriteJSON(cmd.OutOrStdout(), all); err != nil {
			return err
		}
	}
	if len(all) > 0 {
		return cli.WithStatus(cli.StatusInvalid, all)
	}
	if output == cli.OutputText {
		fmt.Fprintf(cmd.OutOrStdout(), "%d of %d valid\n", len(files), len(files))
	}
	return nil
}

func newExample() *cobra.Command {
	return &cobra.Command{
		Use:       "example coop|agency",
		Short:     "Print the documented example of a deployment",
		Args:      cobra.ExactArgs(1),
		ValidArgs: []string{settings.ExampleCoop, settings.ExampleAgency},
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := settings.Example(args[0])
			if err != nil {
				return cli.WithStatus(cli.StatusInvalid, err)
			}
			_, err = cmd.OutOrStdout().Write(data)
			return err
		},
	}
}

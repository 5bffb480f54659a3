// Command masticplankd is one entry instance.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/daemon"
	"masticplank.example/router/internal/settings"
)

func main() {
	err := command().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "masticplankd:", err)
	}
	os.Exit(cli.Status(err))
}

func command() *cobra.Command {
	var config string
	cmd := &cobra.Command{
		Use:   "masticplankd --config FILE",
		Short: "Run one entry instance",
		Long: "Run one entry instance until SIGTERM or an interrupt.\n" +
			"Exit status: 0 after a graceful shutdown, 2 for faults in the settings, 1 otherwise.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(config) },
	}
	cmd.Flags().StringVar(&config, "config", "", "settings file, JSON with comments")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

func run(config string) error {
	cfg, err := settings.Load(config)
	var faults settings.Faults
	if errors.As(err, &faults) {
		return cli.Exit(cli.StatusInvalid, err)
	}
	if err != nil {
		return err
	}
	return daemon.Run(cfg, os.Stderr)
}

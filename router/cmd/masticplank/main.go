// Command masticplank is the command-line tool for operators.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/cli/democmd"
	"masticplank.example/router/internal/cli/ledgercmd"
	"masticplank.example/router/internal/cli/loadcmd"
	"masticplank.example/router/internal/cli/manifestcmd"
	"masticplank.example/router/internal/cli/reportcmd"
	"masticplank.example/router/internal/cli/settingscmd"
	"masticplank.example/router/internal/cli/soakcmd"
	"masticplank.example/router/internal/cli/standincmd"
	"masticplank.example/router/internal/cli/statuscmd"
)

func main() {
	err := command().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "masticplank:", err)
	}
	os.Exit(cli.ExitStatus(err))
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "masticplank",
		Short:         "Operate masticplank, a model-aware router for versions and cascades",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		democmd.New(),
		ledgercmd.New(),
		loadcmd.New(),
		manifestcmd.New(),
		reportcmd.New(),
		settingscmd.New(),
		soakcmd.New(),
		standincmd.New(),
		statuscmd.New(),
	)
	return root
}

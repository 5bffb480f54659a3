// Command masticplankd runs one entry instance.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"masticplank.example/decision/passthrough/seam"
	"masticplank.example/platform"
	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/daemon"
	"masticplank.example/router/internal/httpanswer"
	"masticplank.example/router/internal/passthrough"
	"masticplank.example/router/internal/settings"
)

func main() {
	err := command().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "masticplankd:", err)
	}
	os.Exit(cli.ExitStatus(err))
}

func command() *cobra.Command {
	var config, metrics string
	cmd := &cobra.Command{
		Use:   "masticplankd --config FILE",
		Short: "Run one entry instance",
		Long: "Run one entry instance until SIGTERM or an interrupt.\n" +
			"If the platform names a settings file in the environment, that file is used instead\n" +
			"of --config, and only pass-through routes are served.\n" +
			"Exit status: 0 after a graceful shutdown, 2 for faults in the settings, 1 otherwise.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(config, metrics) },
	}
	cmd.Flags().StringVar(&config, "config", "", "settings file, JSON with comments")
	cmd.Flags().StringVar(&metrics, "metrics", "", "address of the metrics on the platform, as HOST:PORT or :PORT")
	return cmd
}

func run(config, metrics string) error {
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		return runOnPlatform(path, metrics)
	}
	if config == "" {
		return cli.WithStatus(cli.StatusInvalid, errors.New("--config is required"))
	}
	cfg, err := settings.Load(config)
	var faults settings.Faults
	if errors.As(err, &faults) {
		return cli.WithStatus(cli.StatusInvalid, err)
	}
	if err != nil {
		return err
	}
	return daemon.Run(cfg, os.Stderr)
}

// checkAnswers implements platform.Check.
func checkAnswers(base *http.Transport) http.RoundTripper { return httpanswer.NewTransport(base) }

// runOnPlatform runs an instance that serves pass-through routes, with the adapter of
// package platform. path is the settings file that the environment names.
func runOnPlatform(path, metrics string) error {
	// A SIGHUP reloads the settings once the application has started. Until then it is
	// ignored, since its default action would end the process.
	signal.Ignore(syscall.SIGHUP)
	cfg, err := platform.LoadSettings(path)
	if err != nil {
		return cli.WithStatus(cli.StatusInvalid, err)
	}
	return passthrough.Run(passthrough.Platform{
		Headers: platform.HeaderCodec{}, Records: platform.Records{}, Store: platform.NewStore(cfg.StoreAddr, checkAnswers),
		ReadyPath: platform.ReadyPath,
		Settings:  func() (seam.Settings, error) { return platform.LoadSettings(path) },
	}, metrics, os.Stdout)
}

// Package loadcmd implements "masticplank load", which sends a bounded load on
// loopback and prints the rate and latency of the answers.
package loadcmd

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/loadgen"
)

// Bounds of the flags, so that a load ends by itself and cannot exhaust the
// machine. maxRate is in requests per second.
const (
	maxCallers  = 4096
	maxDuration = 10 * time.Minute
	maxRate     = 100_000
)

// result is what the command prints: a summary of the run, and quantiles in
// milliseconds. "Whole" is the time to the last byte of an answer, "first" the time to
// the first byte of its body.
type result struct {
	loadgen.Result
	WholeP50 float64 `json:"whole_p50_ms"`
	WholeP95 float64 `json:"whole_p95_ms"`
	WholeP99 float64 `json:"whole_p99_ms"`
	FirstP50 float64 `json:"first_p50_ms"`
	FirstP95 float64 `json:"first_p95_ms"`
	FirstP99 float64 `json:"first_p99_ms"`
}

// New returns the command.
func New() *cobra.Command {
	var base, key, output string
	var spec loadgen.RequestSpec
	var plan loadgen.Plan
	cmd := &cobra.Command{
		Use:   "load --url http://127.0.0.1:PORT --key KEY",
		Short: "Send a bounded load to an instance on loopback, and measure the answers",
		Long: `Send chat requests to an instance, or to an engine stand-in, and print the rate
and latency of the answers. Load goes to loopback only and ends by itself.

Exit status: 0 done, 1 no answer came, 2 a flag is out of range.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := validate(plan, output); err != nil {
				return err
			}
			target, err := loadgen.NewTarget(base, key, spec)
			if err != nil {
				return cli.WithStatus(cli.StatusInvalid, err)
			}
			return printResult(cmd, loadgen.Run(cmd.Context(), target, plan), output)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&base, "url", "", "URL of the listener for callers")
	flags.StringVar(&key, "key", "", "the team's API key")
	flags.StringVar(&spec.Model, "model", "", "model or version; empty lets the cascade choose")
	flags.StringVar(&spec.Prompt, "prompt", "draft a twill pattern of eight shafts", "the prompt")
	flags.IntVar(&spec.MaxTokens, "max-tokens", 32, "maximum number of tokens of an answer")
	flags.BoolVar(&spec.Stream, "stream", false, "stream the answers")
	flags.IntVar(&plan.Callers, "callers", 16, "number of concurrent callers")
	flags.Float64Var(&plan.Rate, "rate", 0, "requests per second of all callers together; 0 sends as fast as answers come")
	flags.DurationVar(&plan.Warmup, "warmup", time.Second, "time of load before counting begins")
	flags.DurationVar(&plan.Duration, "length", 5*time.Second, "time of load that is counted")
	flags.StringVarP(&output, "output", "o", cli.OutputText, "text or json")
	_ = cmd.MarkFlagRequired("url")
	return cmd
}

func validate(p loadgen.Plan, output string) error {
	if err := cli.CheckOutput(output, cli.OutputText, cli.OutputJSON); err != nil {
		return err
	}
	switch {
	case p.Callers < 1 || p.Callers > maxCallers:
		return cli.StatusErrorf(cli.StatusInvalid, "--callers %d: want 1 to %d", p.Callers, maxCallers)
	case p.Duration <= 0 || p.Duration+p.Warmup > maxDuration:
		return cli.StatusErrorf(cli.StatusInvalid, "--length %v: want more than 0 and, with --warmup, at most %v", p.Duration, maxDuration)
	case p.Rate < 0 || p.Rate > maxRate:
		return cli.StatusErrorf(cli.StatusInvalid, "--rate %v: want 0 to %d", p.Rate, maxRate)
	}
	return nil
}

func printResult(cmd *cobra.Command, measured loadgen.Result, output string) error {
	r := summarise(measured)
	if output == cli.OutputJSON {
		if err := cli.WriteJSON(cmd.OutOrStdout(), r); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(cmd.OutOrStdout(), "%.0f answers/s, %d failed %s\nwhole        p50 %.2f ms  p95 %.2f ms  p99 %.2f ms\nfirst byte   p50 %.2f ms  p95 %.2f ms  p99 %.2f ms\n",
			r.Rate, r.Failed, r.LastError, r.WholeP50, r.WholeP95, r.WholeP99, r.FirstP50, r.FirstP95, r.FirstP99)
	}
	if len(measured.Samples) == 0 {
		return cli.StatusErrorf(cli.StatusFailed, "no answer came: %s", measured.LastError)
	}
	return nil
}

func summarise(measured loadgen.Result) result {
	ms := func(timeOf func(loadgen.Sample) time.Duration, q float64) float64 {
		return float64(measured.Quantile(timeOf, q).Microseconds()) / 1000
	}
	return result{
		Result:   measured,
		WholeP50: ms(loadgen.TotalTime, 0.5),
		WholeP95: ms(loadgen.TotalTime, 0.95),
		WholeP99: ms(loadgen.TotalTime, 0.99),
		FirstP50: ms(loadgen.TimeToFirstByte, 0.5),
		FirstP95: ms(loadgen.TimeToFirstByte, 0.95),
		FirstP99: ms(loadgen.TimeToFirstByte, 0.99),
	}
}

// Package ledgercmd implements "masticplank ledger", which reads the bills from
// the platform's log.
package ledgercmd

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/ledger"
	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/platform"
)

// New returns the command with its subcommands.
func New() *cobra.Command {
	cmd := &cobra.Command{Use: "ledger", Short: "Read the bills"}
	cmd.AddCommand(newExport())
	return cmd
}

func newExport() *cobra.Command {
	var logURL, output string
	var from uint64
	cmd := &cobra.Command{
		Use:   "export --log URL",
		Short: "Write each valid bill once",
		Long: `Write each valid bill once, in the log's order, as a line of JSON (or of text).
Further copies of a bill are void and left out. The summary on standard error
names the offset to give as --from next time; successive exports give each bill
once, as long as they run within the log's retention.

Exit status: 0 done, 1 the log could not be read, 3 some bills were malformed.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := cli.CheckOutput(output, cli.OutputText, cli.OutputJSON); err != nil {
				return err
			}
			return export(cmd, logURL, from, output)
		},
	}
	cmd.Flags().StringVar(&logURL, "log", "", "URL of the platform's log")
	cmd.Flags().Uint64Var(&from, "from", 0, "offset to start at, as the last export's summary names it")
	cmd.Flags().StringVarP(&output, "output", "o", cli.OutputJSON, "text or json")
	_ = cmd.MarkFlagRequired("log")
	return cmd
}

func export(cmd *cobra.Command, logURL string, from uint64, output string) error {
	emit := jsonEmitter(cmd)
	if output == cli.OutputText {
		emit = textEmitter(cmd)
	}
	sum, err := ledger.Export(cmd.Context(), platform.NewLogClient(logURL), fold.DefaultConfig(), from, emit)
	if err != nil {
		return cli.WithStatus(cli.StatusFailed, err)
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "%d bills, %d void copies, %d malformed; next: --from %d\n",
		sum.Bills, sum.Duplicates, sum.Malformed, sum.NextOffset)
	if from > 0 && from < sum.FirstOffset {
		fmt.Fprintf(cmd.ErrOrStderr(), "warning: the log keeps nothing before offset %d; bills from %d on may be missing\n", sum.FirstOffset, from)
	}
	if sum.Malformed > 0 {
		return cli.StatusErrorf(cli.StatusPartial, "%d malformed bills", sum.Malformed)
	}
	return nil
}

func jsonEmitter(cmd *cobra.Command) func(ledger.ExportedBill) error {
	enc := json.NewEncoder(cmd.OutOrStdout())
	return func(bill ledger.ExportedBill) error { return enc.Encode(bill) }
}

func textEmitter(cmd *cobra.Command) func(ledger.ExportedBill) error {
	return func(bill ledger.ExportedBill) error {
		name := bill.Version
		if name == "" {
			name = bill.Service
		}
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "%d %s %s %s %s tokens %d cost %.6f\n", bill.Offset, bill.At.UTC().Format("2006-01-02T15:04:05Z"),
			bill.Team, bill.RequestID, name, bill.OutputTokens, float64(bill.CostMicros)/ledger.MicrosPerUnit)
		return err
	}
}

// Package clitest runs commands of masticplank in tests and checks their output
// and exit status.
package clitest

import (
	"bytes"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"masticplank.example/router/internal/cli"
)

// Case is one run of a command: its arguments, its standard input and the exit
// status that is expected.
type Case struct {
	Name   string
	Args   []string
	Stdin  string
	Status int
	// Want lists texts that the standard output must contain.
	Want []string
}

// Run executes a new command for each case and reports each difference as an
// error of t.
func Run(t *testing.T, newCommand func() *cobra.Command, cases []Case) {
	t.Helper()
	for _, c := range cases {
		out, status := Execute(t, newCommand(), c)
		if status != c.Status {
			t.Errorf("%s: exit status %d, want %d: %s", c.Name, status, c.Status, out)
		}
		for _, want := range c.Want {
			if !strings.Contains(out, want) {
				t.Errorf("%s: %q is missing in\n%s", c.Name, want, out)
			}
		}
	}
}

// Execute runs one command and returns its standard output and exit status.
func Execute(t *testing.T, cmd *cobra.Command, c Case) (out string, status int) {
	t.Helper()
	var stdout bytes.Buffer
	cmd.SetOut(&stdout)
	cmd.SetErr(&bytes.Buffer{})
	cmd.SetIn(strings.NewReader(c.Stdin))
	cmd.SetArgs(c.Args)
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	status = cli.ExitStatus(cmd.ExecuteContext(t.Context()))
	return stdout.String(), status
}

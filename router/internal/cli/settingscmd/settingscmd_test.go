package settingscmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/settings"
)

func run(args ...string) (string, error) {
	cmd := New()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

// TestCheck guards against faults that are not printed with their position, against exit
// statuses that do not distinguish invalid settings from a file that cannot be read, and
// against an example that is not printed.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.jsonc"), filepath.Join(dir, "bad.jsonc")
	example, err := settings.Example(settings.ExampleAgency)
	if err != nil {
		t.Fatal(err)
	}
	for file, data := range map[string]string{good: string(example), bad: `{"x": 1, "domain": 2}`} {
		if err := os.WriteFile(file, []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name   string
		args   []string
		status int
		want   string
	}{
		{"valid", []string{"check", good}, cli.StatusOK, "1 of 1 valid"},
		{"faults", []string{"check", good, bad}, cli.StatusInvalid, bad + ":1:2: x: unknown key"},
		{"all faults", []string{"check", bad}, cli.StatusInvalid, bad + ":1:20: domain: want a string"},
		{"json", []string{"check", "-o", "json", bad}, cli.StatusInvalid, `"column": 20`},
		{"missing file", []string{"check", filepath.Join(dir, "none")}, cli.StatusFailed, "none"},
		{"unknown output format", []string{"check", "-o", "yaml", good}, cli.StatusInvalid, "text, json"},
		{"example", []string{"example", "coop"}, cli.StatusOK, "salle-rimouski"},
		{"unknown example", []string{"example", "x"}, cli.StatusInvalid, "coop"},
	} {
		out, err := run(c.args...)
		if err != nil {
			out += err.Error()
		}
		if got := cli.ExitStatus(err); got != c.status || !strings.Contains(out, c.want) {
			t.Errorf("%s: status %d, output %q; want %d and %q", c.name, got, out, c.status, c.want)
		}
	}
}

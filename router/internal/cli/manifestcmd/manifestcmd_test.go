package manifestcmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/manifest"
)

// run executes "manifest ARGS" and returns its output and exit status.
func run(stdin string, args ...string) (string, int) {
	cmd := New()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetIn(strings.NewReader(stdin))
	cmd.SetArgs(args)
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	err := cmd.Execute()
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), cli.Status(err)
}

func TestStatuses(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.json", `{"generation":1,"publication":"p","teams":[],"versions":[]}`)
	bad := write("bad.json", `{"generation":1,"publication":"","teams":[{"id":"a"}],"versions":[]}`)
	junk := write("junk.json", `{"teams":1}`)
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"check", good}, cli.StatusOK},
		{[]string{"check", bad}, cli.StatusInvalid},
		{[]string{"check", "-o", "json", bad}, cli.StatusInvalid},
		{[]string{"check", junk}, cli.StatusInvalid},
		{[]string{"check", filepath.Join(dir, "none.json")}, cli.StatusFailed},
		{[]string{"check", "-o", "xml", good}, cli.StatusInvalid},
		{[]string{"diff", good, good}, cli.StatusOK},
		{[]string{"hash-key"}, cli.StatusInvalid},
		{[]string{"get", "--instances", "127.0.0.1:1"}, cli.StatusFailed},
	} {
		if out, got := run("", c.args...); got != c.want {
			t.Errorf("%v: status %d, want %d: %s", c.args, got, c.want, out)
		}
	}
}

func TestGetNextFollowsTheOneInForce(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(inForceAnswer{Digest: "d7", Manifest: manifest.Manifest{Generation: 7, Parent: "d6", Publication: "p"}})
	}))
	defer s.Close()
	out, status := run("", "get", "--next", "--instances", s.URL)
	if status != cli.StatusOK {
		t.Fatal(out)
	}
	m, err := manifest.Parse([]byte(out))
	if err != nil || m.Generation != 8 || m.Parent != "d7" || m.Publication != "" {
		t.Errorf("got %+v, %v", m, err)
	}
}

package manifestcmd

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/cli/clitest"
	"masticplank.example/router/internal/manifest"
)

// TestOutputAndExitStatuses guards against an exit status that does not distinguish
// invalid input from a failure, since deployment pipelines act on it, and against
// missing output.
func TestOutputAndExitStatuses(t *testing.T) {
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
	clitest.Run(t, New, []clitest.Case{
		{Name: "valid", Args: []string{"check", good}},
		{Name: "faults", Args: []string{"check", bad}, Status: cli.StatusInvalid, Want: []string{"publication:", "teams[0].weight:"}},
		{Name: "faults as JSON", Args: []string{"check", "-o", "json", bad}, Status: cli.StatusInvalid, Want: []string{`"path": "publication"`}},
		{Name: "value of a wrong type", Args: []string{"check", junk}, Status: cli.StatusInvalid},
		{Name: "missing file", Args: []string{"check", filepath.Join(dir, "none.json")}, Status: cli.StatusFailed},
		{Name: "unknown output format", Args: []string{"check", "-o", "xml", good}, Status: cli.StatusInvalid},
		{Name: "no difference", Args: []string{"diff", good, good}},
		{Name: "hash of a key", Args: []string{"hash-key"}, Stdin: "loom\n", Want: []string{manifest.HashKey("loom")}},
		{Name: "no key on standard input", Args: []string{"hash-key"}, Status: cli.StatusInvalid},
		{Name: "no instance answers", Args: []string{"get", "--instances", "127.0.0.1:1"}, Status: cli.StatusFailed},
	})
}

// TestGetNextPrintsADraftOfTheNextManifest guards against a draft that does not follow
// the manifest in force, or that reuses its publication id.
func TestGetNextPrintsADraftOfTheNextManifest(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(manifestResponse{Digest: "d7", Manifest: manifest.Manifest{Generation: 7, Parent: "d6", Publication: "p"}})
	}))
	defer s.Close()
	out, status := clitest.Execute(t, New(), clitest.Case{Args: []string{"get", "--next", "--instances", s.URL}})
	if status != cli.StatusOK {
		t.Fatal(out)
	}
	m, err := manifest.Parse([]byte(out))
	if err != nil || m.Generation != 8 || m.Parent != "d7" || m.Publication != "" {
		t.Errorf("got %+v, error %v; want generation 8, parent d7 and no publication id", m, err)
	}
}

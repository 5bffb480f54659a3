package reportcmd

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/cli/clitest"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/report"
)

var at = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

// instance returns the URL of a server whose /burn counts one completed request.
func instance(t *testing.T, name string) string {
	t.Helper()
	r := report.NewRecorder(func() time.Time { return at })
	r.SetObjectives(3, []manifest.Objective{{Team: "ecoles", Availability: 0.99}})
	r.Record(report.Sample{Team: "ecoles", Outcome: outcome.Completed})
	s, err := r.Snapshot(name)
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/burn" {
			http.NotFound(w, req)
			return
		}
		_ = json.NewEncoder(w).Encode(s)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// unreachableURL returns the URL of a server that has been closed.
func unreachableURL() string {
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	return srv.URL
}

// TestBurn guards against a report that hides an instance that did not answer: in its
// text, or by an exit status of 0.
func TestBurn(t *testing.T) {
	a, b, gone := instance(t, "entry-1"), instance(t, "entry-2"), unreachableURL()
	clitest.Run(t, func() *cobra.Command { return newBurn(func() time.Time { return at }) }, []clitest.Case{
		{Name: "text", Args: []string{"--instances", a + "," + b}, Status: cli.StatusOK, Want: []string{"2 of 2 instances", "entry-1", "ecoles", "100.0%"}},
		{Name: "one instance does not answer", Args: []string{"--instances", a + "," + gone}, Status: cli.StatusPartial, Want: []string{"1 of 2 instances", "NO ANSWER  " + gone, "entry-1"}},
		{Name: "no instance answers", Args: []string{"--instances", gone}, Status: cli.StatusFailed, Want: []string{"0 of 1 instances", gone}},
		{Name: "json", Args: []string{"--instances", a, "-o", "json"}, Status: cli.StatusOK, Want: []string{`"at": "2026-09-01T08:00:00Z"`, `"answered": true`}},
		{Name: "html", Args: []string{"--instances", a + "," + gone, "-o", "html"}, Status: cli.StatusPartial, Want: []string{"<svg", "No answer from " + gone}},
		{Name: "unknown output format", Args: []string{"--instances", a, "-o", "xml"}, Status: cli.StatusInvalid, Want: nil},
	})
	if New().Commands()[0].Name() != "burn" {
		t.Error("the command report has no subcommand burn")
	}
}

package statuscmd

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/cli/clitest"
	"masticplank.example/router/internal/report"
)

// TestStatus guards against a table that hides an instance that did not answer, and
// against an exit status of 0 in that case.
func TestStatus(t *testing.T) {
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/status" {
			http.NotFound(w, req)
			return
		}
		_ = json.NewEncoder(w).Encode(report.StatusReport{Instance: "entry-1", Generation: 9, Mode: "fresh"})
	}))
	defer live.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	clitest.Run(t, New, []clitest.Case{
		{Name: "text", Args: []string{"--instances", live.URL}, Status: cli.StatusOK, Want: []string{"entry-1", "fresh"}},
		{Name: "one instance does not answer", Args: []string{"--instances", live.URL + "," + gone.URL}, Status: cli.StatusPartial, Want: []string{"entry-1", "NO ANSWER", gone.URL}},
		{Name: "json", Args: []string{"--instances", live.URL, "-o", "json"}, Status: cli.StatusOK, Want: []string{`"generation": 9`}},
		{Name: "no instance answers", Args: []string{"--instances", gone.URL}, Status: cli.StatusFailed, Want: []string{gone.URL}},
		{Name: "unknown output format", Args: []string{"--instances", live.URL, "-o", "html"}, Status: cli.StatusInvalid, Want: nil},
	})
}

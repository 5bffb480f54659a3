package reportcmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/report"
)

var at = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

// instance serves /burn with one request of a team.
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

// dead is an address where nobody answers.
func dead() string {
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	return srv.URL
}

func TestBurn(t *testing.T) {
	a, b, gone := instance(t, "entry-1"), instance(t, "entry-2"), dead()
	for _, c := range []struct {
		name   string
		args   []string
		status int
		want   []string
	}{
		{"text", []string{"--instances", a + "," + b}, cli.StatusOK, []string{"2 of 2 instances", "entry-1", "ecoles", "100.0%"}},
		{"one silent", []string{"--instances", a + "," + gone}, cli.StatusPartial, []string{"1 of 2 instances", "NO ANSWER  " + gone, "entry-1"}},
		{"all silent", []string{"--instances", gone}, cli.StatusFailed, []string{"0 of 1 instances", gone}},
		{"json", []string{"--instances", a, "-o", "json"}, cli.StatusOK, []string{`"at": "2026-09-01T08:00:00Z"`, `"answered": true`}},
		{"html", []string{"--instances", a + "," + gone, "-o", "html"}, cli.StatusPartial, []string{"<svg", "No answer from " + gone}},
		{"format", []string{"--instances", a, "-o", "xml"}, cli.StatusInvalid, nil},
	} {
		cmd := newBurn(func() time.Time { return at })
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetErr(&bytes.Buffer{})
		cmd.SetArgs(c.args)
		if got := cli.Status(cmd.ExecuteContext(t.Context())); got != c.status {
			t.Errorf("%s: exit status %d, want %d", c.name, got, c.status)
		}
		for _, want := range c.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: %q is missing in\n%s", c.name, want, out.String())
			}
		}
	}
	if New().Commands()[0].Name() != "burn" {
		t.Error("report has no burn")
	}
}

package statuscmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/report"
)

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
	for _, c := range []struct {
		name   string
		args   []string
		status int
		want   []string
	}{
		{"text", []string{"--instances", live.URL}, cli.StatusOK, []string{"entry-1", "fresh"}},
		{"one silent", []string{"--instances", live.URL + "," + gone.URL}, cli.StatusPartial, []string{"entry-1", "NO ANSWER", gone.URL}},
		{"json", []string{"--instances", live.URL, "-o", "json"}, cli.StatusOK, []string{`"generation": 9`}},
		{"all silent", []string{"--instances", gone.URL}, cli.StatusFailed, []string{gone.URL}},
		{"format", []string{"--instances", live.URL, "-o", "html"}, cli.StatusInvalid, nil},
	} {
		cmd := New()
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
}

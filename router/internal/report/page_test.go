package report_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"masticplank.example/router/internal/report"
	"masticplank.example/router/internal/report/page"
)

// TestPageGolden guards against a page that differs from the golden file, hides an
// instance that did not answer, or loads anything from elsewhere.
func TestPageGolden(t *testing.T) {
	var out bytes.Buffer
	if err := page.WriteHTML(&out, report.DegradedFleet(t)); err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "burn.html", out.Bytes())
	if !strings.Contains(out.String(), "10.62.3.12:8081: no answer from") {
		t.Error("the instance that did not answer is missing")
	}
	for _, outside := range []string{"src=", "<link", "@import", "url("} {
		if strings.Contains(out.String(), outside) {
			t.Errorf("the page is not self-contained: %s", outside)
		}
	}
}

// TestPageEscapesNames guards against a name or an error in a page, for example from an
// instance's response, that a browser would run as a script.
func TestPageEscapesNames(t *testing.T) {
	r := report.Build(report.Begin, []report.Source{
		{Address: "<script>a", Err: errors.New("<script>b")},
		{Snapshot: report.Snapshot{Instance: "<script>c", BadVersions: []string{"<script>d"}, Teams: []report.TeamSnapshot{{Team: "<script>e"}}}},
	})
	var out bytes.Buffer
	if err := page.WriteHTML(&out, r); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "<script>") {
		t.Error("the page contains a name that is not escaped")
	}
}

// FuzzPage checks that no response of an instance makes the page fail.
func FuzzPage(f *testing.F) {
	f.Add([]byte(`{"objectives":[{"team":"a","cost_per_request":1}],"teams":[{"team":"a","windows":{"6h":{"cost":1,"billed":1}}}]}`))
	f.Add([]byte(`{"objectives":[{"team":"a","cost_per_request":1e-300}],"teams":[{"team":"a","windows":{"6h":{"cost":1e308,"billed":1}},"points":[{"begin":1788242400,"cost":1e308,"billed":1},{"begin":-9000000000000000000}],"first_token":"AAAA"}]}`))
	f.Add([]byte(`{"bad":["v"],"teams":[{"team":"a","windows":{"6h":{"cost":-1e308,"served":18446744073709551615,"unavailable":1,"versions":{"v":1}}}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s report.Snapshot
		if json.Unmarshal(data, &s) != nil {
			return
		}
		var out bytes.Buffer
		if err := page.WriteHTML(&out, report.Build(report.Begin, []report.Source{{Snapshot: s}})); err != nil {
			t.Error(err)
		}
	})
}

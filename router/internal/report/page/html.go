// Package page renders the burn report as an HTML page with plots. It is separate from
// package report, so that instances do not link the plot library and its fonts.
package page

import (
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/router/internal/report"
)

//go:embed page.html.tmpl
var pageHTML string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"number":  report.FormatNumber,
	"rfc3339": func(t time.Time) string { return t.Format(time.RFC3339) },
}).Parse(pageHTML))

// pageData is the input of the template.
type pageData struct {
	report.Report
	Answered int
	Windows  []report.Window
	Sections []section
}

// section is one team's levels with their plot, an SVG.
type section struct {
	report.TeamReport
	Plot template.HTML
}

// WriteHTML writes the report as one self-contained page.
func WriteHTML(w io.Writer, r report.Report) error {
	data := pageData{Report: r, Answered: len(r.Instances) - r.UnansweredCount(), Windows: report.AlertWindows()}
	for _, team := range r.Teams {
		svg, err := plotBurn(r, team)
		if err != nil {
			return trace.Wrap(err)
		}
		data.Sections = append(data.Sections, section{TeamReport: team, Plot: svg})
	}
	return trace.Wrap(pageTemplate.Execute(w, data))
}

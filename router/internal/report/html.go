package report

import (
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/gravitational/trace"
)

//go:embed page.html.tmpl
var pageSource string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"number":  number,
	"rfc3339": func(t time.Time) string { return t.Format(time.RFC3339) },
}).Parse(pageSource))

// pageData is what the template shows.
type pageData struct {
	Report
	Answered int
	Windows  []Window
	Sections []section
}

// section is one team with its plot.
type section struct {
	TeamReport
	Plot template.HTML
}

// WriteHTML writes the report as one page that needs nothing else.
func (r Report) WriteHTML(w io.Writer) error {
	data := pageData{Report: r, Answered: len(r.Instances) - r.Silent(), Windows: pairs()}
	for _, team := range r.Teams {
		svg, err := plotBurn(team, r.At, r.objectives[team.Team], r.bad)
		if err != nil {
			return trace.Wrap(err)
		}
		data.Sections = append(data.Sections, section{TeamReport: team, Plot: svg})
	}
	return trace.Wrap(page.Execute(w, data))
}

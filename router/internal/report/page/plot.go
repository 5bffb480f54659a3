package page

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"strings"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"masticplank.example/router/internal/report"
)

// The size of a plot.
const (
	plotWidth  = 17 * vg.Centimeter
	plotHeight = 5.5 * vg.Centimeter
)

// lineColours distinguish the levels, also for readers who cannot distinguish red
// and green.
var lineColours = map[report.LevelKind]color.Color{
	report.LevelAvailability: color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	report.LevelFirstToken:   color.RGBA{G: 0x72, B: 0xb2, A: 0xff},
	report.LevelInterToken:   color.RGBA{G: 0x9e, B: 0x73, A: 0xff},
	report.LevelCost:         color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	report.LevelExposure:     color.RGBA{R: 0x56, G: 0x56, B: 0x56, A: 0xff},
}

// plotBurn draws a team's burn rates over the last 6 hours as SVG. Spans of time
// without events have no point.
func plotBurn(r report.Report, team report.TeamReport) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "hours before the report"
	p.Y.Label.Text = "burn rate"
	p.X.Min, p.X.Max = -report.Window6h.Span.Hours(), 0
	p.Y.Min, p.Y.Max = 0, 2
	p.Legend.Top, p.Legend.Left = true, true
	for _, l := range team.Levels {
		if l.State == report.StateNoObjective || l.State == report.StateNoData {
			continue
		}
		if err := addLine(p, l.Kind, toXYs(r.BurnSeries(team, l.Kind))); err != nil {
			return "", trace.Wrap(err)
		}
	}
	if err := addBudgetLine(p); err != nil {
		return "", trace.Wrap(err)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", trace.Wrap(err)
	}
	// An XML declaration is not allowed within HTML, so it is cut off. The rest
	// consists of numbers and of constant texts of this package and package report,
	// so it needs no escaping.
	svg := b.String()
	return template.HTML(svg[strings.Index(svg, "<svg"):]), nil
}

func toXYs(points []report.BurnPoint) plotter.XYs {
	var out plotter.XYs
	for _, p := range points {
		out = append(out, plotter.XY{X: p.HoursBefore, Y: p.Rate})
	}
	return out
}

func addLine(p *plot.Plot, kind report.LevelKind, xys plotter.XYs) error {
	if len(xys) == 0 {
		return nil
	}
	line, points, err := plotter.NewLinePoints(xys)
	if err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	line.Color = lineColours[kind]
	points.Color = lineColours[kind]
	points.Radius = vg.Points(1.5)
	p.Add(line, points)
	p.Legend.Add(string(kind), line)
	return nil
}

// addBudgetLine draws a dashed line at the rate 1, which uses up exactly the budget.
func addBudgetLine(p *plot.Plot) error {
	line, err := plotter.NewLine(plotter.XYs{{X: p.X.Min, Y: 1}, {X: p.X.Max, Y: 1}})
	if err != nil {
		return err
	}
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)
	return nil
}

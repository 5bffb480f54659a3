package report

import "time"

// BurnPoint is a team's burn rate in one span.
type BurnPoint struct {
	// HoursBefore the report, so at most 0.
	HoursBefore float64
	// Rate at which the budget is used; 1 uses up exactly all of it.
	Rate float64
}

// Burn is the team's burn rates of one level over the last 6 hours. Spans without events
// have no point.
func (r Report) BurnSeries(team TeamReport, kind LevelKind) []BurnPoint {
	var out []BurnPoint
	for _, pt := range team.points {
		u := budgetUseOf(kind, pt.Counts, r.objectives[team.Team], r.badVersions)
		if u.events == 0 {
			continue
		}
		age := r.At.Sub(time.Unix(pt.Begin, 0).Add(pointSpan / 2))
		if age < -pointSpan || age > Window6h.Span+pointSpan {
			continue // by a clock that is far off
		}
		out = append(out, BurnPoint{HoursBefore: -age.Hours(), Rate: round(u.burnRate())})
	}
	return out
}

package report

import "time"

// BurnPoint is a team's burn rate in one span.
type BurnPoint struct {
	// HoursBefore is the time relative to the report in hours, negative for the
	// past.
	HoursBefore float64
	// Rate at which the budget is used; 1 uses it up exactly.
	Rate float64
}

// BurnSeries returns the team's burn rates of one level over the last 6 hours. Spans
// without events have no point.
func (r Report) BurnSeries(team TeamReport, kind LevelKind) []BurnPoint {
	var out []BurnPoint
	for _, pt := range team.points {
		u := budgetUseOf(kind, pt.Counts, r.objectives[team.Team], r.badVersions)
		if u.events == 0 {
			continue
		}
		age := r.At.Sub(time.Unix(pt.Begin, 0).Add(pointSpan / 2))
		if age < -pointSpan || age > Window6h.Span+pointSpan {
			continue // counted by an instance whose clock is far off
		}
		out = append(out, BurnPoint{HoursBefore: -age.Hours(), Rate: round(u.burnRate())})
	}
	return out
}

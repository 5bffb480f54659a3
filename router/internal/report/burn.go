package report

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"masticplank.example/router/internal/manifest"
)

// LevelKind names a service level.
type LevelKind string

// The service levels of a team.
const (
	LevelAvailability LevelKind = "availability"
	LevelFirstToken   LevelKind = "first token"
	LevelInterToken   LevelKind = "inter-token"
	LevelCost         LevelKind = "cost"
	LevelExposure     LevelKind = "bad versions"
)

// State says whether the people on call have to act on a level.
type State string

// The states of a level.
const (
	// StateOK: nothing to do.
	StateOK State = "ok"
	// StateTicket: the budget is used up too fast; act on it within the day.
	StateTicket State = "ticket"
	// StatePage: the budget is used up much too fast; act on it at once.
	StatePage State = "page"
	// StateNoData: no events in the last 6 hours.
	StateNoData State = "no data"
	// StateNoObjective: the manifest sets no objective, so there is nothing to
	// compare with.
	StateNoObjective State = "no objective"
)

// A state is raised if the burn rates of both windows of a pair reach its threshold,
// pageBurn or ticketBurn. A burn rate of 1 uses up exactly the budget. The thresholds are
// the customary ones for a budget of 30 days: 14.4 over an hour uses 2% of it, 6 over six
// hours uses 5%.
const (
	pageBurn   = 14.4
	ticketBurn = 6.0
	// pageFraction and ticketFraction are fractions of the requests that a level counts.
	// The state is also raised if at least this fraction uses up budget (is unavailable,
	// slow or exposed) in both windows: with a large budget, the rates above cannot be
	// reached.
	pageFraction   = 0.5
	ticketFraction = 0.25
	// maxBurn bounds a burn rate, to keep the scale of a plot readable.
	maxBurn = 1e4
	// costTicketBurn is the burn rate above which cost raises a ticket. The budget of
	// cost is a mean and not a small fraction of the requests, so any lasting excess
	// raises one.
	costTicketBurn = 1.0
	// latencyBudget is the fraction of the answers that may be over a latency
	// objective, which is an objective for the 95th percentile.
	latencyBudget = 0.05
)

// Level is one service level of a team.
type Level struct {
	Kind LevelKind `json:"kind"`
	// Objective in the unit of Measured; 0 for none.
	Objective float64 `json:"objective"`
	// Unit of Objective and Measured: "part of 1", "ms" or "cost/request".
	Unit string `json:"unit"`
	// Measured is for availability the fraction of requests served, for bad versions
	// the fraction exposed to them, for cost the mean, each over the last 6 h; for
	// latencies it is the 95th percentile over the last hour.
	Measured float64 `json:"measured"`
	// Events is the number of requests that the level counts in the last 6 h.
	Events uint64 `json:"events"`
	// BudgetLeft is the fraction of the budget for these 6 h that is not used; it
	// is negative if the budget is exceeded.
	BudgetLeft float64 `json:"budget_left"`
	// Burn holds the burn rates by the name of the window.
	Burn  map[string]float64 `json:"burn"`
	State State              `json:"state"`
}

// TeamReport is one team's levels.
type TeamReport struct {
	Team   string  `json:"team"`
	Levels []Level `json:"levels"`
	// points are the counts for the plot, oldest first.
	points []Point
}

// InstanceResult says whether one instance answered, and with what or why not.
type InstanceResult struct {
	Address    string `json:"address"`
	Instance   string `json:"instance,omitempty"`
	Answered   bool   `json:"answered"`
	Error      string `json:"error,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	// Since is when the instance began to count.
	Since time.Time `json:"since,omitzero"`
}

// Report is the burn report of a fleet.
type Report struct {
	At        time.Time        `json:"at"`
	Instances []InstanceResult `json:"instances"`
	// Bad lists the versions judged bad.
	Bad   []string     `json:"bad_versions"`
	Teams []TeamReport `json:"teams"`
	// objectives and badVersions are for the plots.
	objectives  map[string]manifest.Objective
	badVersions map[string]bool
}

// UnansweredCount returns the number of instances that did not answer.
func (r Report) UnansweredCount() int {
	n := 0
	for _, i := range r.Instances {
		if !i.Answered {
			n++
		}
	}
	return n
}

// Build merges the snapshots and computes each team's levels and their states. at
// is the time of the report.
func Build(at time.Time, sources []Source) Report {
	f := mergeSnapshots(sources)
	out := Report{
		At:          at.UTC().Truncate(time.Second),
		Instances:   instanceResults(sources),
		Bad:         []string{},
		Teams:       []TeamReport{},
		objectives:  f.objectives,
		badVersions: f.badVersions,
	}
	for v := range f.badVersions {
		out.Bad = append(out.Bad, v)
	}
	slices.Sort(out.Bad)
	for _, name := range f.teamNames() {
		out.Teams = append(out.Teams, f.report(name))
	}
	return out
}

func (f *fleetTotals) report(name string) TeamReport {
	m := f.team(name)
	o := f.objectives[name]
	out := TeamReport{Team: name, points: m.sortedPoints()}
	for _, kind := range []LevelKind{LevelAvailability, LevelFirstToken, LevelInterToken, LevelCost, LevelExposure} {
		out.Levels = append(out.Levels, m.level(kind, o, f.badVersions))
	}
	return out
}

func (m *teamTotals) sortedPoints() []Point {
	var out []Point
	for begin, c := range m.points {
		out = append(out, Point{Begin: begin, Counts: c})
	}
	slices.SortFunc(out, func(a, b Point) int { return int(a.Begin - b.Begin) })
	return out
}

// budgetUse is the use of a level's budget in a span of time with a number of events:
// used out of allowed, both in events or, for cost, in the unit of cost. allowed is 0 if
// there is no budget or no event.
type budgetUse struct {
	used    float64
	allowed float64
	events  uint64
}

// burnRate is the rate at which the budget is used, at most maxBurn; 0 without a budget
// or events.
func (u budgetUse) burnRate() float64 {
	if u.allowed == 0 {
		return 0
	}
	return min(u.used/u.allowed, maxBurn)
}

// budgetFraction is the fraction of the events that the budget allows; 0 without
// events.
func (u budgetUse) budgetFraction() float64 {
	if u.events == 0 {
		return 0
	}
	return u.allowed / float64(u.events)
}

// budgetUseOf computes the use of a level's budget from counts.
func budgetUseOf(kind LevelKind, c Counts, o manifest.Objective, bad map[string]bool) budgetUse {
	fraction := func(used, events uint64, budget float64) budgetUse {
		return budgetUse{used: float64(used), allowed: budget * float64(events), events: events}
	}
	switch kind {
	case LevelAvailability:
		return fraction(c.Unavailable, c.Served+c.Unavailable, 1-o.Availability)
	case LevelFirstToken:
		return fraction(c.SlowFirstTokens, c.FirstTokens, latencyBudget)
	case LevelInterToken:
		return fraction(c.SlowInterTokens, c.InterTokens, latencyBudget)
	case LevelCost:
		return budgetUse{used: c.Cost, allowed: o.CostPerRequest * float64(c.Billed), events: c.Billed}
	default:
		exposed, all := c.Exposed(bad)
		return fraction(exposed, all, o.BadExposure)
	}
}

func (m *teamTotals) level(kind LevelKind, o manifest.Objective, bad map[string]bool) Level {
	sixHours := budgetUseOf(kind, m.windows[Window6h.Name], o, bad)
	l := Level{Kind: kind, Events: sixHours.events, Burn: map[string]float64{}}
	l.Objective, l.Unit, l.Measured = m.measure(kind, sixHours, o)
	if l.Objective == 0 {
		l.State = StateNoObjective
		return l
	}
	for _, w := range Windows() {
		l.Burn[w.Name] = round(budgetUseOf(kind, m.windows[w.Name], o, bad).burnRate())
	}
	l.BudgetLeft = round(1 - sixHours.burnRate())
	l.State = alertState(l, sixHours.budgetFraction())
	return l
}

// measure returns a level's objective, its unit and what was measured.
func (m *teamTotals) measure(kind LevelKind, sixHours budgetUse, o manifest.Objective) (objective float64, unit string, measured float64) {
	fraction := 0.0
	if sixHours.events > 0 {
		fraction = sixHours.used / float64(sixHours.events)
	}
	switch kind {
	case LevelAvailability:
		if sixHours.events > 0 {
			fraction = 1 - fraction
		}
		return o.Availability, "part of 1", round(fraction)
	case LevelFirstToken:
		return float64(o.FirstTokenMS), "ms", percentile95(m.firstToken)
	case LevelInterToken:
		return float64(o.InterTokenMS), "ms", percentile95(m.interToken)
	case LevelCost:
		return o.CostPerRequest, "cost/request", round(fraction)
	default:
		return o.BadExposure, "part of 1", round(fraction)
	}
}

// alertState returns the state of l, from its burn rates. A state is raised only if both
// the long and the short window of a pair reach its threshold: the long one prevents an
// alert for a few bad seconds, the short one ends the alert soon after the cause has
// ended. budget is the fraction of the events that the level's budget allows.
func alertState(l Level, budget float64) State {
	fast := min(l.Burn[Window5m.Name], l.Burn[Window1h.Name])
	slow := min(l.Burn[Window30m.Name], l.Burn[Window6h.Name])
	switch {
	case l.Events == 0:
		return StateNoData
	case l.Kind == LevelCost && slow > costTicketBurn:
		return StateTicket
	case l.Kind == LevelCost:
		return StateOK
	case fast >= min(pageBurn, pageFraction/budget):
		return StatePage
	case slow >= min(ticketBurn, ticketFraction/budget):
		return StateTicket
	default:
		return StateOK
	}
}

func percentile95(h *hdrhistogram.Histogram) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtPercentile(95))
}

// round keeps six decimals, so that reports do not depend on the order in which
// floats were added. NaN and infinity become 0; they result only from counts that no
// instance sends.
func round(f float64) float64 {
	const scale = 1e6
	out := math.Round(f*scale) / scale
	if math.IsNaN(out) || math.IsInf(out, 0) {
		return 0
	}
	return out
}

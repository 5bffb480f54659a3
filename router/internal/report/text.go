package report

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the report for a terminal.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Service-level burn at %s\n\n", r.At.Format(time.RFC3339))
	r.writeInstances(&b)
	if len(r.Bad) > 0 {
		fmt.Fprintf(&b, "\nVersions judged bad: %s\n", strings.Join(r.Bad, ", "))
	}
	b.WriteByte('\n')
	r.writeLevels(&b)
	_, err := io.WriteString(w, b.String())
	return err
}

func (r Report) writeInstances(b *strings.Builder) {
	fmt.Fprintf(b, "%d of %d instances answered\n", len(r.Instances)-r.UnansweredCount(), len(r.Instances))
	for _, i := range r.Instances {
		if !i.Answered {
			fmt.Fprintf(b, "  NO ANSWER  %s: %s\n", i.Address, i.Error)
			continue
		}
		fmt.Fprintf(b, "  %s at %s: generation %d, counts since %s\n",
			i.Instance, i.Address, i.Generation, i.Since.Format(time.RFC3339))
	}
}

func (r Report) writeLevels(b *strings.Builder) {
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TEAM\tLEVEL\tSTATE\tOBJECTIVE\tMEASURED\tUNIT\tEVENTS\tBUDGET LEFT\tBURN 5m\t1h\t30m\t6h")
	for _, team := range r.Teams {
		for _, l := range team.Levels {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n",
				team.Team, l.Kind, l.State, l.ObjectiveText(), FormatNumber(l.Measured), l.Unit, l.Events, l.budgetAndBurnText("\t"))
		}
	}
	// A strings.Builder takes every write.
	_ = t.Flush()
}

// ObjectiveText is the objective for people.
func (l Level) ObjectiveText() string {
	if l.State == StateNoObjective {
		return "-"
	}
	return FormatNumber(l.Objective)
}

// BudgetText is the budget left, in per cent.
func (l Level) BudgetText() string {
	if l.State == StateNoObjective || l.State == StateNoData {
		return "-"
	}
	return strconv.FormatFloat(100*l.BudgetLeft, 'f', 1, 64) + "%"
}

// BurnText is the burn rate over a window.
func (l Level) BurnText(window string) string {
	if l.State == StateNoObjective || l.State == StateNoData {
		return "-"
	}
	return strconv.FormatFloat(l.Burn[window], 'f', 2, 64)
}

// burnText is the budget and the rates in the order of the heading, in which
// the windows stand in pairs.
func (l Level) budgetAndBurnText(sep string) string {
	parts := []string{l.BudgetText()}
	for _, w := range AlertWindows() {
		parts = append(parts, l.BurnText(w.Name))
	}
	return strings.Join(parts, sep)
}

// pairs lists the windows as they are judged: the fast pair, then the slow one.
// AlertWindows are the windows of the burn rates, short and long in turn.
func AlertWindows() []Window { return []Window{Window5m, Window1h, Window30m, Window6h} }

// Number formats a figure for people.
func FormatNumber(f float64) string { return strconv.FormatFloat(f, 'g', 6, 64) }

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
	// A write to a strings.Builder never fails.
	_ = t.Flush()
}

// ObjectiveText formats the objective; "-" for none.
func (l Level) ObjectiveText() string {
	if l.State == StateNoObjective {
		return "-"
	}
	return FormatNumber(l.Objective)
}

// BudgetText formats the budget left in per cent; "-" without an objective or data.
func (l Level) BudgetText() string {
	if l.State == StateNoObjective || l.State == StateNoData {
		return "-"
	}
	return strconv.FormatFloat(100*l.BudgetLeft, 'f', 1, 64) + "%"
}

// BurnText formats the burn rate over the window with this name; "-" without an
// objective or data.
func (l Level) BurnText(window string) string {
	if l.State == StateNoObjective || l.State == StateNoData {
		return "-"
	}
	return strconv.FormatFloat(l.Burn[window], 'f', 2, 64)
}

// budgetAndBurnText joins the budget left and the burn rates in the order of
// AlertWindows, which is that of the columns in writeLevels.
func (l Level) budgetAndBurnText(sep string) string {
	parts := []string{l.BudgetText()}
	for _, w := range AlertWindows() {
		parts = append(parts, l.BurnText(w.Name))
	}
	return strings.Join(parts, sep)
}

// AlertWindows lists the windows in the pairs that raise a state: the fast pair, then
// the slow one, each with the short window first.
func AlertWindows() []Window { return []Window{Window5m, Window1h, Window30m, Window6h} }

// FormatNumber formats a number with six significant digits.
func FormatNumber(f float64) string { return strconv.FormatFloat(f, 'g', 6, 64) }

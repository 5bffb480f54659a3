package demo

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	bills "masticplank.example/coordination/ledger"
)

// Report is what the demo found.
type Report struct {
	Requests int     `json:"requests"`
	Sent     int     `json:"sent"`
	Seconds  float64 `json:"seconds"`
	Faults   bool    `json:"faults"`
	// Outcomes counts answers, refusals with their code.
	Outcomes map[string]int `json:"outcomes"`
	Latency  []LatencyRow   `json:"latency"`
	Versions []VersionRow   `json:"versions"`
	Bills    Bills          `json:"bills"`
	Cost     Cost           `json:"cost"`
	// RolloutMS is how long the second manifest took, from its publication to
	// being in force at every instance.
	RolloutMS float64   `json:"rollout_ms"`
	Promises  []Promise `json:"promises"`
}

// LatencyRow is one kind's latency of completed requests, in milliseconds.
type LatencyRow struct {
	Kind  string  `json:"kind"`
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	// First is the 95th percentile of the time to the first token of streams.
	FirstTokenP95 float64 `json:"first_token_p95_ms,omitempty"`
}

// VersionRow is what one version did.
type VersionRow struct {
	Version string  `json:"version"`
	Answers int     `json:"answers"`
	Tokens  int     `json:"tokens"`
	Cost    float64 `json:"cost"`
}

// Bills compares bills with completed requests.
type Bills struct {
	Completed int `json:"completed"`
	Billed    int `json:"billed"`
	Missing   int `json:"missing"`
	Doubled   int `json:"doubled"`
	// Other bills are for requests that ran without completing.
	Other int `json:"other"`
	// Void counts repeated proposals that the log's order voided.
	Void int `json:"void"`
}

// Cost in the manifest's unit.
type Cost struct {
	Total      float64 `json:"total"`
	PerRequest float64 `json:"per_request"`
	// Dearest is what the same tokens would have cost on the dearest version.
	Dearest float64 `json:"dearest"`
}

// Promise and whether it was held.
type Promise struct {
	Name   string `json:"name"`
	Held   bool   `json:"held"`
	Broken int    `json:"broken"`
	// Examples of what broke it.
	Examples []string `json:"examples,omitempty"`
}

// Held says whether no promise was broken.
func (r Report) Held() bool {
	for _, p := range r.Promises {
		if !p.Held {
			return false
		}
	}
	return true
}

func newReport(results []result, l billExport, violations map[string][]string) Report {
	r := Report{Sent: len(results), Outcomes: map[string]int{}}
	for _, one := range results {
		r.Outcomes[outcomeName(one)]++
	}
	r.Latency = latencyRows(results)
	r.countBills(results, l)
	r.countVersions(l)
	for _, name := range promises {
		examples := violations[name]
		r.Promises = append(r.Promises, Promise{
			Name:     name,
			Held:     len(examples) == 0,
			Broken:   len(examples),
			Examples: examples[:min(len(examples), maxExamples)],
		})
	}
	return r
}

func outcomeName(r result) string {
	if r.code == "" {
		return r.outcome
	}
	return r.outcome + ": " + r.code
}

func latencyRows(results []result) []LatencyRow {
	durations := map[kind][]time.Duration{}
	firstTokens := map[kind][]time.Duration{}
	for _, r := range results {
		if !r.completed() {
			continue
		}
		k := r.request.kind
		durations[k] = append(durations[k], r.duration)
		if r.firstToken > 0 {
			firstTokens[k] = append(firstTokens[k], r.firstToken)
		}
	}
	var rows []LatencyRow
	for _, p := range loadMix {
		all := durations[p.kind]
		if len(all) == 0 {
			continue
		}
		rows = append(rows, LatencyRow{
			Kind:          string(p.kind),
			Count:         len(all),
			P50:           percentile(all, 0.50),
			P95:           percentile(all, 0.95),
			P99:           percentile(all, 0.99),
			FirstTokenP95: percentile(firstTokens[p.kind], 0.95),
		})
	}
	return rows
}

// percentile by nearest rank, in milliseconds; 0 of nothing.
func percentile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return float64(sorted[max(rank, 0)].Microseconds()) / 1000
}

func (r *Report) countBills(results []result, l billExport) {
	completed := map[string]bool{}
	for _, one := range results {
		if one.completed() {
			completed[one.request.key] = true
		}
	}
	r.Bills.Completed = len(completed)
	r.Bills.Void = l.duplicates
	for id := range completed {
		switch n := len(l.byRequest[id]); {
		case n == 0:
			r.Bills.Missing++
		case n > 1:
			r.Bills.Doubled++
		default:
			r.Bills.Billed++
		}
	}
	for id := range l.byRequest {
		if !completed[id] {
			r.Bills.Other++
		}
	}
}

func (r *Report) countVersions(l billExport) {
	prices := map[string]float64{}
	dearest := 0.0
	for _, v := range secondManifest().Versions {
		prices[v.ID] = v.Cost
		dearest = max(dearest, v.Cost)
	}
	rows := map[string]*VersionRow{}
	for _, same := range l.byRequest {
		for _, b := range same {
			r.addBill(rows, b, dearest)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(rows)) {
		r.Versions = append(r.Versions, *rows[id])
	}
	if r.Bills.Billed > 0 {
		r.Cost.PerRequest = r.Cost.Total / float64(r.Bills.Billed)
	}
}

func (r *Report) addBill(rows map[string]*VersionRow, b bills.Bill, dearest float64) {
	name := b.Version
	if name == "" {
		name = "service " + b.Service
	}
	row := rows[name]
	if row == nil {
		row = &VersionRow{Version: name}
		rows[name] = row
	}
	row.Answers++
	row.Tokens += int(b.OutputTokens)
	cost := float64(b.CostMicros) / bills.MicrosPerUnit
	row.Cost += cost
	r.Cost.Total += cost
	if b.Service != "" {
		r.Cost.Dearest += cost
		return
	}
	r.Cost.Dearest += dearest * float64(b.OutputTokens) / 1000
}

// Write prints the report as a short table.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d requests (%d sent) in %.1f s, faults %v\n\n", r.Requests, r.Sent, r.Seconds, r.Faults)
	fmt.Fprintln(t, "OUTCOME\tANSWERS")
	for _, name := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(t, "%s\t%d\n", name, r.Outcomes[name])
	}
	fmt.Fprintln(t, "\nCOMPLETED\tCOUNT\tP50 ms\tP95 ms\tP99 ms\tFIRST TOKEN P95 ms")
	for _, l := range r.Latency {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%s\n", l.Kind, l.Count, l.P50, l.P95, l.P99, orDash(l.FirstTokenP95))
	}
	fmt.Fprintln(t, "\nVERSION\tBILLED\tTOKENS\tCOST")
	for _, v := range r.Versions {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\n", v.Version, v.Answers, v.Tokens, v.Cost)
	}
	fmt.Fprintf(t, "\nbills: %d for %d completed, %d missing, %d doubled, %d for others, %d void repeats\n",
		r.Bills.Billed, r.Bills.Completed, r.Bills.Missing, r.Bills.Doubled, r.Bills.Other, r.Bills.Void)
	fmt.Fprintf(t, "cost: %.3f, %.5f a request; %.3f on the dearest version\n", r.Cost.Total, r.Cost.PerRequest, r.Cost.Dearest)
	fmt.Fprintf(t, "roll-out: in force everywhere after %.0f ms\n\n", r.RolloutMS)
	for _, p := range r.Promises {
		fmt.Fprintln(t, p.line())
	}
	return t.Flush()
}

func orDash(v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", v)
}

func (p Promise) line() string {
	if p.Held {
		return "held    " + p.Name
	}
	lines := []string{fmt.Sprintf("BROKEN  %s (%d times)", p.Name, p.Broken)}
	for _, e := range p.Examples {
		lines = append(lines, "        "+e)
	}
	return strings.Join(lines, "\n")
}

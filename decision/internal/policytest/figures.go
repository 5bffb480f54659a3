package policytest

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"
)

// Figures are the reported results of a run.
type Figures struct {
	// Cost is the mean cost of a complete answer of a model, Quality the mean
	// quality, and TargetShortfall the largest amount by which a team's quality
	// in a class is below the team's target.
	Cost, Quality, TargetShortfall float64
	// Percentiles of the times to the first token of streamed answers and to the
	// complete answer of a model, in seconds.
	FirstTokenP50, FirstTokenP95, FirstTokenP99 float64
	LatencyP50, LatencyP95, LatencyP99          float64
	// Goodput is the number of complete answers before their deadline per
	// second. Throughput is the work of the complete model answers per second,
	// in generated tokens; a prompt token counts a tenth. RefusedShare and
	// FailedShare are shares of all requests.
	Goodput, Throughput, RefusedShare, FailedShare float64
	// CacheHitRate is the share of prompt blocks found in a prefix cache.
	CacheHitRate float64
	// MinShareRatio is the lowest ratio, over the teams, of the work served to a
	// team to its fair share; NaN if the teams do not compete for one model.
	MinShareRatio float64
	// ExposedRequests counts the dispatches to the faulty version since its fault
	// began. ExposedShareAfterLimit is the number of those after its first
	// maxBadAnswers bad answers, as a share of all requests to models that arrived
	// after them.
	ExposedRequests, ExposedShareAfterLimit float64
	// FalseAlarms counts bad verdicts on versions without a fault.
	FalseAlarms float64
}

// Figures computes the reported figures.
func (r *Results) Figures() Figures {
	answers := max(float64(r.ModelAnswers), 1)
	arrived := max(float64(r.Arrived), 1)
	measuredSeconds := (r.load.Duration - r.load.Warmup).Seconds()
	return Figures{
		Cost:                   r.Cost / answers,
		Quality:                r.Quality / answers,
		TargetShortfall:        r.targetShortfall(),
		FirstTokenP50:          percentile(r.firstTokens, 0.50).Seconds(),
		FirstTokenP95:          percentile(r.firstTokens, 0.95).Seconds(),
		FirstTokenP99:          percentile(r.firstTokens, 0.99).Seconds(),
		LatencyP50:             percentile(r.latencies, 0.50).Seconds(),
		LatencyP95:             percentile(r.latencies, 0.95).Seconds(),
		LatencyP99:             percentile(r.latencies, 0.99).Seconds(),
		Goodput:                float64(r.Completed) / measuredSeconds,
		RefusedShare:           float64(r.Refused) / arrived,
		FailedShare:            float64(r.Failed+r.Late+r.Unanswered) / arrived,
		Throughput:             r.totalWork() / measuredSeconds,
		CacheHitRate:           float64(r.cachedBlocks) / max(float64(r.promptBlocks), 1),
		MinShareRatio:          r.minShareRatio(),
		FalseAlarms:            float64(r.FalseAlarms),
		ExposedRequests:        float64(r.fault.exposedRequests),
		ExposedShareAfterLimit: float64(r.fault.exposedAfterLimit) / max(float64(r.fault.arrivedAfterLimit), 1),
	}
}

// Column is one column of the report.
type Column struct {
	Name   string
	Value  func(Figures) float64
	Format string
}

// Columns lists the columns of the report in order.
var Columns = []Column{
	{"cost", func(f Figures) float64 { return f.Cost }, "%.3f"},
	{"quality", func(f Figures) float64 { return f.Quality }, "%.3f"},
	{"target missed by", func(f Figures) float64 { return f.TargetShortfall }, "%.3f"},
	{"first p50 s", func(f Figures) float64 { return f.FirstTokenP50 }, "%.2f"},
	{"first p95 s", func(f Figures) float64 { return f.FirstTokenP95 }, "%.2f"},
	{"first p99 s", func(f Figures) float64 { return f.FirstTokenP99 }, "%.2f"},
	{"whole p50 s", func(f Figures) float64 { return f.LatencyP50 }, "%.2f"},
	{"whole p95 s", func(f Figures) float64 { return f.LatencyP95 }, "%.2f"},
	{"whole p99 s", func(f Figures) float64 { return f.LatencyP99 }, "%.2f"},
	{"goodput /s", func(f Figures) float64 { return f.Goodput }, "%.1f"},
	{"work /s", func(f Figures) float64 { return f.Throughput }, "%.0f"},
	{"refused %", func(f Figures) float64 { return 100 * f.RefusedShare }, "%.1f"},
	{"failed %", func(f Figures) float64 { return 100 * f.FailedShare }, "%.1f"},
	{"prefix cached %", func(f Figures) float64 { return 100 * f.CacheHitRate }, "%.0f"},
	{"least share", func(f Figures) float64 { return f.MinShareRatio }, "%.2f"},
	{"on bad", func(f Figures) float64 { return f.ExposedRequests }, "%.0f"},
	{"false verdicts", func(f Figures) float64 { return f.FalseAlarms }, "%.0f"},
	{"on bad after 50, %", func(f Figures) float64 { return 100 * f.ExposedShareAfterLimit }, "%.2f"},
}

// Spread holds the median and the 10th (Low) and 90th (High) percentiles over
// seeds.
type Spread struct{ Median, Low, High float64 }

// SpreadOf computes the spread of one figure.
func SpreadOf(runs []Figures, of func(Figures) float64) Spread {
	list := make([]float64, 0, len(runs))
	for _, f := range runs {
		list = append(list, of(f))
	}
	slices.Sort(list)
	at := func(p float64) float64 { return list[int(p*float64(len(list)-1)+0.5)] }
	return Spread{Median: at(0.5), Low: at(0.1), High: at(0.9)}
}

// Row holds the runs of one policy under one load.
type Row struct {
	Policy string
	Runs   []Figures
}

// WriteTable writes a load's rows as a Markdown table with cells of the form
// "median (10th–90th percentile)".
func WriteTable(w io.Writer, l Load, rows []Row) {
	fmt.Fprintf(w, "\n### %s, %s\n\n| policy |", l.Deployment.Name, l.Name)
	for _, c := range Columns {
		fmt.Fprintf(w, " %s |", c.Name)
	}
	fmt.Fprint(w, "\n| --- |")
	for range Columns {
		fmt.Fprint(w, " ---: |")
	}
	for _, r := range rows {
		fmt.Fprintf(w, "\n| %s |", r.Policy)
		for _, c := range Columns {
			s := SpreadOf(r.Runs, c.Value)
			if math.IsNaN(s.Median) {
				fmt.Fprint(w, " – |")
				continue
			}
			fmt.Fprintf(w, " "+c.Format+" ("+c.Format+"–"+c.Format+") |", s.Median, s.Low, s.High)
		}
	}
	fmt.Fprintln(w)
}

// Measure runs a variant under a load for the seeds 1 to seeds.
func Measure(l Load, v Variant, seeds int) Row {
	row := Row{Policy: v.Name}
	for seed := range seeds {
		row.Runs = append(row.Runs, Run(l, uint64(seed+1), v.New).Figures())
	}
	return row
}

// Scaled returns the load with all its times divided by divisor, for short tests.
func (l Load) Scaled(divisor int) Load {
	rate := l.Rate
	l.Rate = func(t time.Duration) float64 { return rate(t * time.Duration(divisor)) }
	l.FaultFrom /= time.Duration(divisor)
	l.SlowFrom /= time.Duration(divisor)
	l.Duration /= time.Duration(divisor)
	l.Warmup /= time.Duration(divisor)
	return l
}

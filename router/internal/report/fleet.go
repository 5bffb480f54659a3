package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"masticplank.example/router/internal/manifest"
)

// Source is the result of requesting one instance's snapshot.
type Source struct {
	// Address of the instance's admin listener.
	Address string
	// Snapshot is the response; valid if Err is nil.
	Snapshot Snapshot
	Err      error
}

// fleetTotals are the counts of all instances together.
type fleetTotals struct {
	generation  uint64
	objectives  map[string]manifest.Objective
	badVersions map[string]bool
	teams       map[string]*teamTotals
}

// teamTotals are one team's counts of all instances together.
type teamTotals struct {
	windows    map[string]Counts
	points     map[int64]Counts
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
}

// mergeSnapshots adds up the snapshots. Objectives are those of the newest manifest;
// a version counts as bad if any instance has judged it bad.
func mergeSnapshots(sources []Source) *fleetTotals {
	f := &fleetTotals{badVersions: map[string]bool{}, teams: map[string]*teamTotals{}}
	for _, s := range sources {
		if s.Err != nil {
			continue
		}
		f.addObjectives(s.Snapshot)
		for _, v := range s.Snapshot.BadVersions {
			f.badVersions[v] = true
		}
		for _, t := range s.Snapshot.Teams {
			f.team(t.Team).add(t)
		}
	}
	return f
}

func (f *fleetTotals) addObjectives(s Snapshot) {
	if f.objectives != nil && s.Generation <= f.generation {
		return
	}
	f.generation = s.Generation
	f.objectives = map[string]manifest.Objective{}
	for _, o := range s.Objectives {
		f.objectives[o.Team] = o
	}
}

func (f *fleetTotals) team(name string) *teamTotals {
	m, ok := f.teams[name]
	if !ok {
		m = &teamTotals{
			windows:    map[string]Counts{},
			points:     map[int64]Counts{},
			firstToken: newHistogram(),
			interToken: newHistogram(),
		}
		f.teams[name] = m
	}
	return m
}

func (m *teamTotals) add(t TeamSnapshot) {
	for name, c := range t.Windows {
		m.windows[name] = sumCounts(m.windows[name], c)
	}
	for _, p := range t.Points {
		m.points[p.Begin] = sumCounts(m.points[p.Begin], p.Counts)
	}
	addHistogram(m.firstToken, t.FirstToken)
	addHistogram(m.interToken, t.InterToken)
}

// sumCounts adds two counts. It does not modify a, whose map of versions may belong
// to a snapshot.
func sumCounts(a, b Counts) Counts {
	var total Counts
	total.Add(a)
	total.Add(b)
	return total
}

// addHistogram merges an encoded histogram into another one. One that cannot be decoded is
// left out: histograms are used only for the measured percentile, while states and
// budgets are computed from counters.
func addHistogram(into *hdrhistogram.Histogram, data []byte) {
	if len(data) == 0 {
		return
	}
	if h, err := hdrhistogram.Decode(data); err == nil {
		into.Merge(h)
	}
}

// teamNames lists the teams that have counts or an objective, sorted.
func (f *fleetTotals) teamNames() []string {
	all := map[string]bool{}
	for name := range f.teams {
		all[name] = true
	}
	for name := range f.objectives {
		all[name] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// instanceResults returns the result for each source: those without an answer first,
// the others by the name of the instance.
func instanceResults(sources []Source) []InstanceResult {
	out := make([]InstanceResult, 0, len(sources))
	for _, s := range sources {
		result := InstanceResult{Address: s.Address}
		if s.Err != nil {
			result.Error = s.Err.Error()
		} else {
			result.Answered = true
			result.Instance = s.Snapshot.Instance
			result.Generation = s.Snapshot.Generation
			result.Since = s.Snapshot.Since.UTC().Truncate(time.Second)
		}
		out = append(out, result)
	}
	slices.SortStableFunc(out, func(a, b InstanceResult) int {
		if a.Answered != b.Answered {
			if a.Answered {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Instance, b.Instance)
	})
	return out
}

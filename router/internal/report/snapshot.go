package report

import (
	"cmp"
	"slices"
	"time"

	"masticplank.example/router/internal/manifest"
)

// Snapshot is the body of /burn: what one instance has counted.
type Snapshot struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	// Since is when the instance began to count.
	Since time.Time `json:"since"`
	// Generation and Objectives are those of the manifest in force at the
	// instance.
	Generation uint64               `json:"generation"`
	Objectives []manifest.Objective `json:"objectives,omitempty"`
	// BadVersions lists the versions judged bad.
	BadVersions []string       `json:"bad,omitempty"`
	Teams       []TeamSnapshot `json:"teams,omitempty"`
}

// TeamSnapshot is one team's part of a Snapshot.
type TeamSnapshot struct {
	Team string `json:"team"`
	// Windows holds the counts by the name of the Window.
	Windows map[string]Counts `json:"windows"`
	// Points are the counts for plots, oldest first.
	Points []Point `json:"points,omitempty"`
	// FirstToken and InterToken are histograms over the last hour, in ms and in
	// HdrHistogram's V2 encoding; empty if nothing was counted.
	FirstToken []byte `json:"first_token,omitempty"`
	InterToken []byte `json:"inter_token,omitempty"`
}

// Point holds the counts of one span of pointSpan.
type Point struct {
	// Begin is in seconds since 1970.
	Begin int64 `json:"begin"`
	Counts
}

// sort sorts the lists, so that equal snapshots have the same encoding.
func (s *Snapshot) sort() {
	slices.Sort(s.BadVersions)
	slices.SortFunc(s.Objectives, func(a, b manifest.Objective) int { return cmp.Compare(a.Team, b.Team) })
	slices.SortFunc(s.Teams, func(a, b TeamSnapshot) int { return cmp.Compare(a.Team, b.Team) })
}

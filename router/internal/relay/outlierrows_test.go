package relay

import (
	"slices"
	"testing"
	"time"

	"masticplank.example/decision/outlier"
)

// TestOutlierRowsRoundTrip guards against failures that arrive changed, and against a truncated row.
func TestOutlierRowsRoundTrip(t *testing.T) {
	rows := []outlier.Row{
		{Server: 1, Failed: 3.25, Total: 4.5, Age: 80 * time.Millisecond, Instances: 3, Ejecting: 2, Remaining: 700 * time.Millisecond},
		{Server: 1 << 31, Total: 1},
	}
	packed := packOutliers(rows)
	got, err := unpackOutliers(packed)
	if err != nil || !slices.Equal(got, rows) {
		t.Errorf("got %+v, %v, want %+v", got, err, rows)
	}
	for n := 1; n < len(packed); n++ {
		if got, err := unpackOutliers(packed[:n]); err == nil && len(got) != 1 {
			t.Errorf("the first %d bytes were read as %+v", n, got)
		}
	}
}

// TestOutlierRowsAddUp guards against sums that lose failures, and that grow with the number of servers.
func TestOutlierRowsAddUp(t *testing.T) {
	var many []outlier.Row
	for s := range outlier.Server(10_000) {
		many = append(many, outlier.Row{Server: s, Total: 2})
	}
	failing := []outlier.Row{{Server: 7, Failed: 1, Total: 1, Age: time.Second, Instances: 1}}
	sum := sumOutliers(many, failing, ageOutliers(failing, 0))
	if len(sum) != maxOutlierRows {
		t.Errorf("%d rows, want %d", len(sum), maxOutlierRows)
	}
	want := outlier.Row{Server: 7, Failed: 2, Total: 4, Age: time.Second, Instances: 2}
	if !slices.Contains(sum, want) {
		t.Errorf("the sum lacks %+v", want)
	}
	if size := len(packOutliers(sum)); size > 20*maxOutlierRows {
		t.Errorf("a report has %d bytes", size)
	}
}

// FuzzUnpackOutliers guards against a decoder that panics on damaged reports, or returns values below zero or beyond the
// bounds of a row.
func FuzzUnpackOutliers(f *testing.F) {
	f.Add(packOutliers([]outlier.Row{{Server: 7, Failed: 1, Total: 2, Age: time.Second, Instances: 1, Ejecting: 1, Remaining: time.Second}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, err := unpackOutliers(data)
		if err != nil {
			return
		}
		for _, row := range rows {
			if row.Failed < 0 || row.Failed > maxCountedAttempts || row.Total < 0 || row.Total > maxCountedAttempts || row.Age < 0 || row.Instances < 0 || row.Ejecting < 0 || row.Remaining < 0 {
				t.Errorf("row %+v is out of bounds", row)
			}
		}
		sumOutliers(rows, rows)
	})
}

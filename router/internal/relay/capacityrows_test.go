package relay

import (
	"slices"
	"testing"
	"time"

	"masticplank.example/decision/admission"
	"masticplank.example/decision/speed"
)

// TestSpeedRowsRoundTrip guards against speeds that arrive changed, and against a truncated row that is taken for a
// fast server.
func TestSpeedRowsRoundTrip(t *testing.T) {
	rows := []speed.Row{
		{Server: 1, Usual: 1.6, Samples: 12, Now: 4, Age: 80 * time.Millisecond},
		{Server: 1 << 31, Usual: 0.6, Samples: 1},
	}
	packed := packSpeeds(rows)
	got, err := unpackSpeeds(packed)
	if err != nil || !slices.Equal(got, rows) {
		t.Errorf("got %+v, %v, want %+v", got, err, rows)
	}
	for n := 1; n < len(packed); n++ {
		if got, err := unpackSpeeds(packed[:n]); err == nil && len(got) != 1 {
			t.Errorf("the first %d bytes were read as %+v", n, got)
		}
	}
}

// TestSpeedRowsMerge guards against an old statement that replaces a newer one, and against one response that weighs
// as much as many.
func TestSpeedRowsMerge(t *testing.T) {
	got := mergeSpeeds(
		[]speed.Row{{Server: 1, Usual: 1, Samples: 9, Now: 1, Age: time.Second}},
		[]speed.Row{{Server: 1, Usual: 2, Samples: 1, Now: 2.5, Age: time.Millisecond}},
		addSpeedAge([]speed.Row{{Server: 1, Now: 4, Age: 0}}, time.Minute),
	)
	want := []speed.Row{{Server: 1, Usual: 1.1, Samples: 10, Now: 2.5, Age: time.Millisecond}}
	if !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestDemandRowsRoundTrip guards against demand that arrives changed, and against a truncated row.
func TestDemandRowsRoundTrip(t *testing.T) {
	rows := []admission.Demand{
		{Class: admission.Class{Service: 7, Team: 9, Priority: 2}, Offered: 1.5, Admitted: 0.25, Waiting: 3},
		{Class: admission.Class{Service: 1 << 31, Priority: 0}, Offered: 1},
		{Class: admission.Class{Service: 1 << 31, Priority: 255, Returned: true}, Waiting: 2},
	}
	packed := packDemand(rows)
	got, err := unpackDemand(packed)
	if err != nil || !slices.Equal(got, rows) {
		t.Errorf("got %+v, %v, want %+v", got, err, rows)
	}
	if _, err := unpackDemand(packed[:len(packed)-1]); err == nil {
		t.Error("a truncated row was accepted")
	}
}

// FuzzUnpackSpeedsAndDemand guards against a decoder of speeds or demand that panics on damaged reports, or returns
// values below zero or beyond the bounds of a row.
func FuzzUnpackSpeedsAndDemand(f *testing.F) {
	f.Add(packSpeeds([]speed.Row{{Server: 7, Usual: 1.6, Samples: 3, Now: 4, Age: time.Second}}))
	f.Add(packDemand([]admission.Demand{{Class: admission.Class{Service: 7, Team: 9, Priority: 2}, Offered: 1.5}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if rows, err := unpackSpeeds(data); err == nil {
			for _, row := range mergeSpeeds(rows, rows) {
				if row.Usual < 0 || row.Usual > maxFactor || row.Now < 0 || row.Now > maxFactor || row.Age < 0 || row.Samples < 0 {
					t.Errorf("speed %+v is out of bounds", row)
				}
			}
		}
		if rows, err := unpackDemand(data); err == nil {
			for _, row := range admission.Sum(rows) {
				if row.Offered < 0 || row.Admitted < 0 || row.Waiting < 0 {
					t.Errorf("demand %+v is below zero", row)
				}
			}
		}
	})
}

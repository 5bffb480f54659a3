package passthrough

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"masticplank.example/decision/passthrough"
)

// busyRow returns the row of a busy route.
func busyRow() observationRow {
	return observationRow{
		New: passthrough.Counts{Good: 120, Bad: 7,
			FirstByte:     passthrough.LogRatioStats{N: 127, Sum: -61.5271, Squares: 204.33391},
			EventInterval: passthrough.LogRatioStats{N: 101, Sum: 55.25, Squares: 91.118, Slow: 19}},
		Old: passthrough.Counts{Good: 4021, Bad: 55, EventInterval: passthrough.LogRatioStats{N: 3320, Slow: 41}},
	}
}

// TestObservationRowKeepsWhatVerdictsUse checks that encoding preserves counts exactly and sums to
// within 1/rowScale, and that malformed rows are rejected.
func TestObservationRowKeepsWhatVerdictsUse(t *testing.T) {
	in := busyRow()
	text, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	var out observationRow
	if err := json.Unmarshal(text, &out); err != nil {
		t.Fatal(err)
	}
	if math.Abs(out.New.FirstByte.Sum-in.New.FirstByte.Sum) > 1.0/rowScale || math.Abs(out.New.EventInterval.Squares-in.New.EventInterval.Squares) > 1.0/rowScale {
		t.Errorf("sums of %+v were decoded as %+v", in.New, out.New)
	}
	out.New.FirstByte, in.New.FirstByte, out.New.EventInterval, in.New.EventInterval = passthrough.LogRatioStats{}, passthrough.LogRatioStats{}, passthrough.LogRatioStats{N: out.New.EventInterval.N, Slow: out.New.EventInterval.Slow}, passthrough.LogRatioStats{N: in.New.EventInterval.N, Slow: in.New.EventInterval.Slow}
	if out != in {
		t.Errorf("%+v was decoded as %+v", in, out)
	}
	for _, malformed := range []string{`{}`, `[1,2]`, `"x"`, `[1,2,3,4,5,6,7,8,9,10,11,12,13,14]`} {
		if err := json.Unmarshal([]byte(malformed), &out); err == nil {
			t.Errorf("%s was accepted as a row", malformed)
		}
	}
}

// TestObservationSetsOfAFleetAreSmall guards against observation sets that exceed the budget of 4 KB/s
// for control data: it bounds the size of a set of a roll-out with five routes. The fleet writes at
// most 25 sets a second.
func TestObservationSetsOfAFleetAreSmall(t *testing.T) {
	const most = 4096 / 6 // bytes: a sixth of the budget per second, which heartbeats and configurations need too
	s := observationSet{Instance: "edge-salle-trois-pistoles-120", ProcessStart: 1 << 60, Service: "model-engines", Target: "v2", Order: 1 << 20,
		ElapsedMS: 23_500, Routes: map[string]observationRow{}}
	for i := range 5 {
		s.Routes[fmt.Sprintf("r-vhma%dj5", i)] = busyRow()
	}
	text, err := json.Marshal(&s)
	if err != nil {
		t.Fatal(err)
	}
	if len(text) > most {
		t.Errorf("an observation set is %d bytes, want %d at most", len(text), most)
	}
}

package passthrough

import (
	"encoding/json"
	"math"

	"github.com/gravitational/trace"

	"masticplank.example/decision/passthrough"
)

// observationRow is a route's counts as written in an observation set: the numbers that a verdict
// uses, as integers in a fixed order. The compact form matters because each of hundreds of instances
// reads the observations of all: with field names and all digits, those of 295 instances take 0.6 MB,
// which occupies a collector's link for one second.
type observationRow passthrough.VersionCounts

// rowScale is the number of units per 1 in a row's sums of logarithms.
const rowScale = 1000

// rowLength is the number of integers in a row.
const rowLength = 13

func toRowUnits(x float64) int64   { return int64(math.Round(x * rowScale)) }
func fromRowUnits(n int64) float64 { return float64(n) / rowScale }

// MarshalJSON implements json.Marshaler.
func (r observationRow) MarshalJSON() ([]byte, error) {
	newer, older := r.New, r.Old
	return json.Marshal([rowLength]int64{
		int64(newer.Good), int64(newer.Bad),
		int64(newer.FirstByte.N), toRowUnits(newer.FirstByte.Sum), toRowUnits(newer.FirstByte.Squares),
		int64(newer.EventInterval.N), toRowUnits(newer.EventInterval.Sum), toRowUnits(newer.EventInterval.Squares), int64(newer.EventInterval.Slow),
		int64(older.Good), int64(older.Bad), int64(older.EventInterval.N), int64(older.EventInterval.Slow),
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *observationRow) UnmarshalJSON(text []byte) error {
	var in []int64
	if err := json.Unmarshal(text, &in); err != nil {
		return trace.Wrap(err)
	}
	if len(in) != rowLength {
		return trace.BadParameter("observation row has %d numbers, want %d", len(in), rowLength)
	}
	r.New = passthrough.Counts{
		Good: int(in[0]), Bad: int(in[1]),
		FirstByte:     passthrough.LogRatioStats{N: int(in[2]), Sum: fromRowUnits(in[3]), Squares: fromRowUnits(in[4])},
		EventInterval: passthrough.LogRatioStats{N: int(in[5]), Sum: fromRowUnits(in[6]), Squares: fromRowUnits(in[7]), Slow: int(in[8])},
	}
	r.Old = passthrough.Counts{
		Good: int(in[9]), Bad: int(in[10]),
		EventInterval: passthrough.LogRatioStats{N: int(in[11]), Slow: int(in[12])},
	}
	return nil
}

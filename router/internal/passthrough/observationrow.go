package passthrough

import (
	"encoding/json"
	"math"

	"github.com/gravitational/trace"

	"masticplank.example/decision/passthrough"
)

// observationRow is a route's counts as they are written into an observation set: what is judged by, as whole
// numbers in a fixed order. Hundreds of instances read the observations of all: written out with names
// and all digits, 295 of them were 0.6 MB, which took the links of collectors a second.
type observationRow passthrough.VersionCounts

// observationUnits is how many parts of one a sum of logarithms is rounded to.
const rowScale = 1000

// rowLength is the number of a row's parts.
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
		return trace.BadParameter("a row of %d parts instead of %d", len(in), rowLength)
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

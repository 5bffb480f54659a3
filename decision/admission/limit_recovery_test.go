package admission

import (
	"math"
	"testing"
	"time"
)

// TestLimitRecoversFromALongOverload guards against a limit that has fallen so low in a minute that it takes a minute to
// rise again.
func TestLimitRecoversFromALongOverload(t *testing.T) {
	const step, most = 100 * time.Millisecond, 15 * time.Second
	var l Limit
	now := time.Unix(1000, 0)
	for range 600 {
		now = now.Add(step)
		l.Update(now, Room{Offered: 100, Pressure: 3, Nominal: math.Inf(1)})
	}
	end := now
	for !math.IsInf(l.Update(now, Room{Offered: 100, Nominal: math.Inf(1)}), 1) {
		if now = now.Add(step); now.Sub(end) > most {
			t.Fatalf("%v after the overload %.2g of 100 units a second are admitted, want all", most, l.rate)
		}
	}
}

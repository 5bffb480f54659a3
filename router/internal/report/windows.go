package report

import "time"

// Window is one of the spans of time over which burn rates are computed.
type Window struct {
	Name string
	Span time.Duration
}

// The windows: 5m and 1h for a fast burn, 30m and 6h for a slow one. The long window
// of a pair shows that the burn is significant, the short one that it continues.
var (
	Window5m  = Window{"5m", 5 * time.Minute}
	Window30m = Window{"30m", 30 * time.Minute}
	Window1h  = Window{"1h", time.Hour}
	Window6h  = Window{"6h", 6 * time.Hour}
)

// Windows lists the windows, shortest first.
func Windows() []Window { return []Window{Window5m, Window30m, Window1h, Window6h} }

const (
	// slotSpan is the resolution of the counters in time: a tenth of the shortest
	// window, so that a window is never off by more than that.
	slotSpan = 30 * time.Second
	// slotCount covers the longest window.
	slotCount = int(6 * time.Hour / slotSpan)
	// pointSpan is the time between two points of a plot.
	pointSpan = 5 * time.Minute
	// pointCount covers the longest window.
	pointCount = int(6 * time.Hour / pointSpan)
	// maxTeams bounds the teams counted separately; further ones are counted
	// together. A team takes about 320 KB after six busy hours
	// (BenchmarkSnapshot), so all take about 41 MB, a sixth of an instance's
	// memory in the largest target deployment.
	maxTeams = 128
	// otherTeams is the name under which teams beyond the bound are counted.
	otherTeams = "(other teams)"
)

// slotRing holds a team's counts of the last 6 h, one slot for each slotSpan. The
// slot with number n is at index n modulo slotCount; numbers holds the number of the
// slot that is at an index now.
type slotRing struct {
	slots   [slotCount]Counts
	numbers [slotCount]int64
}

// slotNumber numbers the spans of slotSpan since 1970.
func slotNumber(t time.Time) int64 { return t.UnixNano() / int64(slotSpan) }

// slotAt returns the slot for now. If it held an older span, it is reset first.
func (r *slotRing) slotAt(now time.Time) *Counts {
	n := slotNumber(now)
	i := int(n % int64(slotCount))
	if r.numbers[i] != n {
		r.numbers[i] = n
		r.slots[i] = Counts{}
	}
	return &r.slots[i]
}

// sum adds up the slots of the span before now, the current slot included.
func (r *slotRing) sum(now time.Time, span time.Duration) Counts {
	return r.between(slotNumber(now)-int64(span/slotSpan)+1, slotNumber(now))
}

// between adds up the slots with the numbers first to last, both included.
func (r *slotRing) between(first, last int64) Counts {
	var total Counts
	for n := max(first, 0); n <= last; n++ {
		i := int(n % int64(slotCount))
		if r.numbers[i] == n {
			total.Add(r.slots[i])
		}
	}
	return total
}

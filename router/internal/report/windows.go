package report

import "time"

// Window is one of the spans that burn rates are taken over.
type Window struct {
	Name string
	Span time.Duration
}

// The windows: a short and a long one for a fast burn, and the same for a slow
// one. The long window says that it matters, the short one that it still goes
// on.
var (
	Window5m  = Window{"5m", 5 * time.Minute}
	Window30m = Window{"30m", 30 * time.Minute}
	Window1h  = Window{"1h", time.Hour}
	Window6h  = Window{"6h", 6 * time.Hour}
)

// Windows lists them, shortest first.
func Windows() []Window { return []Window{Window5m, Window30m, Window1h, Window6h} }

const (
	// slotSpan is how finely time is counted: a tenth of the shortest window,
	// so that a window is never off by more than that.
	slotSpan = 30 * time.Second
	// slotCount covers the longest window.
	slotCount = int(6 * time.Hour / slotSpan)
	// pointSpan is the distance of the points of a plot.
	pointSpan = 5 * time.Minute
	// pointCount covers the longest window.
	pointCount = int(6 * time.Hour / pointSpan)
	// maxTeams bounds the teams counted apart; further ones share a row. One
	// takes about 320 KB after six busy hours (BenchmarkSnapshot), so all take
	// about 41 MB, a sixth of an instance's memory at the largest target.
	maxTeams = 128
	// otherTeams is the row of those beyond the bound.
	otherTeams = "(other teams)"
)

// ring holds a team's slots. Slot i of the ring is for the span that begins at
// any time of which i is the slot number modulo slotCount.
type slotRing struct {
	slots   [slotCount]Counts
	numbers [slotCount]int64
}

func slotNumber(t time.Time) int64 { return t.UnixNano() / int64(slotSpan) }

// at is the slot for now, emptied where it held an older span.
func (r *slotRing) slotAt(now time.Time) *Counts {
	n := slotNumber(now)
	i := int(n % int64(slotCount))
	if r.numbers[i] != n {
		r.numbers[i] = n
		r.slots[i] = Counts{}
	}
	return &r.slots[i]
}

// sum adds up the slots of the last span, the present one included.
func (r *slotRing) sum(now time.Time, span time.Duration) Counts {
	return r.between(slotNumber(now)-int64(span/slotSpan)+1, slotNumber(now))
}

// between adds up the slots with the numbers first to last.
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

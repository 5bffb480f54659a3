package admission

import (
	"math"
	"testing"
	"time"
)

var testStart = time.Unix(1_000_000, 0)

func offered(priority uint8, team uint32, returned bool, rate float64) Demand {
	return Demand{Class: Class{Service: 1, Team: team, Priority: priority, Returned: returned}, Offered: rate}
}

// TestLevelGivesRoomByPriorityThenShareThenReturned guards against room that goes to what can wait, to a large team or to
// first-comers.
func TestLevelGivesRoomByPriorityThenShareThenReturned(t *testing.T) {
	l := NewLevel([]Demand{offered(0, 1, false, 50), offered(1, 1, false, 80), offered(1, 2, false, 10), offered(1, 3, true, 10), offered(1, 3, false, 30), offered(2, 1, false, 100)}, 100)
	for _, c := range []struct {
		class    Class
		min, max float64
	}{
		{Class{1, 1, 0, false}, 1, 1},
		{Class{1, 2, 1, false}, 1, 1}, // asks for less than its share
		{Class{1, 3, 1, true}, 1, 1},
		{Class{1, 3, 1, false}, 0.01, 0.4},
		{Class{1, 1, 1, false}, 0.1, 0.3},
		{Class{1, 1, 2, false}, 0.01, reserve}, // not starved
	} {
		if got := l.Fraction(c.class); got < c.min-1e-9 || got > c.max+1e-9 {
			t.Errorf("%+v: fraction %.3f, want %.2f to %.2f", c.class, got, c.min, c.max)
		}
	}
	if got := NewLevel([]Demand{offered(2, 1, false, 100)}, math.Inf(1)).Fraction(Class{1, 1, 2, false}); got != 1 {
		t.Errorf("without a limit: fraction %v, want 1", got)
	}
}

// TestLevelNeverExceedsTheRoom checks that all fractions together admit the room, whatever the classes.
func TestLevelNeverExceedsTheRoom(t *testing.T) {
	for room := 5.0; room < 400; room += 7 {
		demand := []Demand{offered(0, 1, false, 50), offered(0, 2, true, 20), offered(1, 0, false, 60), offered(1, 2, false, 10), offered(1, 3, false, 90), offered(2, 1, false, 40), offered(2, 1, true, 30)}
		l, sum := NewLevel(demand, room), 0.0
		for _, d := range demand {
			sum += d.Offered * l.Fraction(d.Class)
		}
		if want := min(room, l.Offered); math.Abs(sum-want) > 0.01*want {
			t.Errorf("room %v: %v admitted, want %v", room, sum, want)
		}
	}
}

// TestUnknownInstancesCountLikeKnownOnes guards against an instance that takes what it knows for all demand.
func TestUnknownInstancesCountLikeKnownOnes(t *testing.T) {
	own := []Demand{offered(0, 1, false, 2)}
	peers := Peers{Demand: []Demand{offered(0, 1, false, 38)}, Instances: 19, At: testStart}
	for _, c := range []struct {
		peers Peers
		fleet int
		after time.Duration
		want  float64
	}{
		{peers, 20, 300 * time.Millisecond, 40}, // all known
		{peers, 40, 300 * time.Millisecond, 80}, // half known
		{peers, 40, 10 * time.Second, 80},       // too old: 40 times its own
		{Peers{}, 40, 0, 80},                    // no report
		{Peers{}, 0, 0, 2},                      // unknown fleet
	} {
		got := Pooled(own, c.peers, c.fleet, testStart.Add(c.after))
		if len(got) != 1 || math.Abs(got[0].Offered-c.want) > 1e-9 {
			t.Errorf("%+v: got %+v, want %v offered", c, got, c.want)
		}
	}
}

// TestBoundedReportKeepsTheSum guards against reports that grow with the number of teams, or lose small teams' demand.
func TestBoundedReportKeepsTheSum(t *testing.T) {
	var rows []Demand
	for team := range uint32(500) {
		rows = append(rows, offered(1, team+1, false, float64(team)))
	}
	got, sum := Bounded(rows, 16), 0.0
	for _, d := range got {
		sum += d.Offered
	}
	if len(got) != 17 || sum != 499*500/2 {
		t.Errorf("%d rows with %v offered, want 17 with %v", len(got), sum, 499*500/2)
	}
}

// TestGateAdmitsTheFraction guards against instances that admit all or nothing.
func TestGateAdmitsTheFraction(t *testing.T) {
	for _, fraction := range []float64{0.05, 0.5, 0.93} {
		var g Gate
		admitted := 0
		for range 1000 {
			if g.Admits(Class{}, fraction, 0.5) {
				admitted++
			}
		}
		if math.Abs(float64(admitted)-1000*fraction) > 1 {
			t.Errorf("%d of 1000 admitted, want %v", admitted, 1000*fraction)
		}
	}
}

// TestRefusedCallersReturnOneAfterTheOther guards against a wave of callers that return together, and against a time that
// callers would not wait.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	var q Returns
	const left = 6 * time.Second
	last := time.Duration(0)
	for i := range 100 {
		got := q.Refused(testStart, Class{}, 10, left, 100*time.Millisecond, 0.5)
		if got.After <= 0 || got.After > left/3 {
			t.Fatalf("caller %d: told %v, want up to %v", i, got.After, left/3)
		}
		if i < 10 && got.After < last {
			t.Errorf("caller %d: told %v, earlier than the one before", i, got.After)
		}
		last = got.After
	}
	if got := q.Refused(testStart, Class{}, 0, left, time.Second, 0.5); got.After != 0 {
		t.Errorf("told %v although there is no room, want none", got.After)
	}
}

// TestLimitFollowsTheRoomWithoutSwinging guards against a limit that swings with the delay of the reports.
func TestLimitFollowsTheRoomWithoutSwinging(t *testing.T) {
	const room, demand, delay = 100.0, 160.0, 3
	var l Limit
	var admitted []float64
	queue := 0.0
	var queues []float64
	for step := range 400 {
		now := testStart.Add(time.Duration(step) * 100 * time.Millisecond)
		finished := min(room, demand)
		limit := l.Update(now, Room{Offered: demand, Pressure: history(queues, delay) / room / 0.6, Estimate: finished, Nominal: math.Inf(1)})
		in := min(demand, limit)
		queue = max(queue+(in-room)/10, 0)
		queues = append(queues, queue)
		admitted = append(admitted, in)
	}
	for _, in := range admitted[200:] {
		if in < 0.9*room || in > 1.15*room {
			t.Fatalf("admitted %.0f a second with room for %.0f, want within 0.9 to 1.15 of it", in, room)
		}
	}
}

// history is the value that was the last one some steps ago.
func history(values []float64, steps int) float64 {
	if len(values) <= steps {
		return 0
	}
	return values[len(values)-1-steps]
}

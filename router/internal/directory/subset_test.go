package directory

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"masticplank.example/decision"
	"masticplank.example/router/internal/wire"
)

func servers(n int) []wire.ListedServer {
	out := make([]wire.ListedServer, n)
	for i := range out {
		out[i] = wire.ListedServer{ID: fmt.Sprintf("s%d", i), Versions: []string{"draft@1"}}
	}
	return out
}

func ids(list []wire.ListedServer) []string {
	var out []string
	for _, s := range list {
		out = append(out, s.ID)
	}
	return out
}

// TestSubsetIsBoundedStableAndEven guards against subsets that leave a server without
// any instance, or that change as a whole when one server leaves.
func TestSubsetIsBoundedStableAndEven(t *testing.T) {
	if got := Subset("entry-1", servers(15)); len(got) != 15 {
		t.Errorf("a fleet of 15 servers is reduced to %d, want all", len(got))
	}
	const fleet, instances = 1000, 200
	all := servers(fleet)
	pickCounts := map[string]int{}
	for i := range instances {
		got := Subset(fmt.Sprintf("entry-%d", i), all)
		if len(got) != subsetSize {
			t.Fatalf("a subset has %d servers, want subsetSize", len(got))
		}
		for _, id := range ids(got) {
			pickCounts[id]++
		}
	}
	// On average each server is picked 12.8 times; none may be left out.
	if len(pickCounts) != fleet {
		t.Errorf("%d of %d servers are picked by no instance", fleet-len(pickCounts), fleet)
	}
	before := ids(Subset("entry-1", all))
	removed := before[0]
	rest := slices.DeleteFunc(servers(fleet), func(s wire.ListedServer) bool { return s.ID == removed })
	kept := 0
	for _, id := range ids(Subset("entry-1", rest)) {
		if slices.Contains(before, id) {
			kept++
		}
	}
	if kept != subsetSize-1 {
		t.Errorf("one server left, and %d of the subset stayed, want subsetSize-1", kept)
	}
}

// TestPollRateIsBounded checks that the interval grows with the number of servers, so
// that an instance in a large fleet does not poll without bound.
func TestPollRateIsBounded(t *testing.T) {
	for servers, want := range map[int]time.Duration{
		15:   250 * time.Millisecond,
		1024: 16 * time.Second,
	} {
		if got := pollInterval(250*time.Millisecond, servers); got != want {
			t.Errorf("%d servers: every %v, want %v", servers, got, want)
		}
	}
}

// TestLoadInResponsesReducesPolling checks that a load stated in a response is
// sent to package decision at once, and that the server is then polled less often
// until that load is out of date.
func TestLoadInResponsesReducesPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := &events{}
		d := New("entry-1", nil, sent, time.Second, 250*time.Millisecond)
		if got := d.nextPollDelay("s1"); got != 250*time.Millisecond {
			t.Errorf("before a response: polled every %v, want 250ms", got)
		}
		d.ObserveLoad("s1", "3/1")
		d.ObserveLoad("s1", "nonsense")
		want := decision.LoadReported{Server: "s1", Running: 3, Queued: 1, At: time.Now()}
		if !slices.Equal(sent.list, []decision.Event{want}) {
			t.Errorf("sent %+v, want the one well-formed load", sent.list)
		}
		if got := d.nextPollDelay("s1"); got != reportedPollFactor*250*time.Millisecond {
			t.Errorf("after a response with a load: polled every %v, want reportedPollFactor times 250ms", got)
		}
		time.Sleep(time.Second)
		if got := d.nextPollDelay("s1"); got != 250*time.Millisecond {
			t.Errorf("after the stated load has become old: polled every %v, want 250ms", got)
		}
	})
}

type events struct{ list []decision.Event }

func (e *events) Send(ev decision.Event) { e.list = append(e.list, ev) }

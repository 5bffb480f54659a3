package relay

import (
	"fmt"
	"testing"
	"time"
)

// TestFollowersLearnTheFleet holds that a follower, which reads the list of its own failure
// domain only, counts the instances of all as its collector does.
func TestFollowersLearnTheFleet(t *testing.T) {
	st := &fakeStore{}
	st.put("a", "1")
	all := startInstances(t, st, 3, time.Minute)
	all[0].fleet = 295
	all[0].newest(t)
	all[1].newest(t)
	if n := all[1].members.FleetSize(); n != 295 {
		t.Errorf("the follower counts %d instances", n)
	}
}

// TestUncountedDomainsAreThoughtAlike holds that the count is no lower bound before the other
// failure domains were counted: the retry budget's slack is shared by it.
func TestUncountedDomainsAreThoughtAlike(t *testing.T) {
	m := NewMembers(Member{Name: "self", Domain: "d", Address: "a:1"}, 5, time.Now)
	for i := range 9 {
		m.Add(Member{Name: fmt.Sprint("i", i), Domain: "d", Address: "a:2"})
	}
	if n := m.FleetSize(); n != 50 {
		t.Errorf("%d instances, want five times ten", n)
	}
	for i := range 60 {
		m.Add(Member{Name: fmt.Sprint("far", i), Domain: "e", Address: "a:3"})
	}
	if n := m.FleetSize(); n != 70 {
		t.Errorf("%d instances, want the 70 that are known", n)
	}
}

// TestStrongInstancesTakeTheFirstTurns holds that those which will collect are known before the
// small ones ask who does.
func TestStrongInstancesTakeTheFirstTurns(t *testing.T) {
	lastStrong, firstSmall := 0.0, 1.0
	for i := range 60 {
		strong := Member{Name: fmt.Sprint("strong", i), Cores: 0.8}.AnnounceOrder()
		small := Member{Name: fmt.Sprint("small", i), Cores: 0.2}.AnnounceOrder()
		lastStrong, firstSmall = max(lastStrong, strong), min(firstSmall, small)
		if strong < 0 || small > 1 {
			t.Fatalf("turns %v and %v", strong, small)
		}
	}
	if lastStrong > firstSmall {
		t.Errorf("a strong instance goes at %.2f, a small one at %.2f", lastStrong, firstSmall)
	}
}

// TestTheFirstOfAllReadsForAll holds whom the first of each failure domain asks: the first of those
// that rank before it, and nobody where none does.
func TestTheFirstOfAllReadsForAll(t *testing.T) {
	now := time.Unix(100, 0)
	all := []Member{
		{Name: "a1", Domain: "a", Address: "x:1", Cores: 0.8}, {Name: "a2", Domain: "a", Address: "x:2", Cores: 0.2},
		{Name: "b1", Domain: "b", Address: "x:3", Cores: 0.9}, {Name: "b2", Domain: "b", Address: "x:4", Cores: 0.7},
		{Name: "c1", Domain: "c", Address: "x:5", Cores: 0.6},
	}
	want := map[string]string{"a1": "b1", "b1": "", "c1": "b1"}
	for _, self := range all {
		name, asks := self.Name, ""
		if _, ok := want[name]; !ok {
			continue
		}
		m := NewMembers(self, 3, func() time.Time { return now })
		for _, other := range all {
			m.Add(other)
			m.Add(other) // told again
		}
		if far := m.RemoteCollectors(); len(far) > 0 {
			asks = far[0].Name
		}
		if asks != want[name] {
			t.Errorf("%s asks %q, want %q", name, asks, want[name])
		}
	}
	m := NewMembers(all[4], 3, func() time.Time { return now })
	for _, other := range all {
		m.Add(other)
	}
	for _, next := range []string{"a1", "b2"} {
		m.Failed(m.RemoteCollectors()[0].Name)
		if far := m.RemoteCollectors(); len(far) == 0 || far[0].Name != next {
			t.Errorf("asks %+v, want %s", far, next)
		}
	}
}

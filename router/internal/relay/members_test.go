package relay

import (
	"fmt"
	"testing"
	"time"
)

// TestFollowersLearnFleetSize checks that a follower, which reads the list of its own failure
// domain only, counts the instances of all failure domains as its collector does.
func TestFollowersLearnFleetSize(t *testing.T) {
	st := &fakeStore{}
	st.put("a", "1")
	all := startInstances(t, st, 3, time.Minute)
	all[0].fleetSize = 295
	all[0].newest(t)
	all[1].newest(t)
	if n := all[1].members.FleetSize(); n != 295 {
		t.Errorf("the follower counts %d instances, want 295", n)
	}
}

// TestUnknownDomainsCountAsLargeAsOwn checks that the fleet size is not too low before the other
// failure domains are counted, since the retry budget's slack is divided by it.
func TestUnknownDomainsCountAsLargeAsOwn(t *testing.T) {
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
		t.Errorf("%d instances, want the 70 known ones", n)
	}
}

// TestStrongInstancesAnnounceFirst checks that the instances which become collectors are known
// before the weak ones look for them.
func TestStrongInstancesAnnounceFirst(t *testing.T) {
	lastStrong, firstWeak := 0.0, 1.0
	for i := range 60 {
		strong := Member{Name: fmt.Sprint("strong", i), Cores: 0.8}.AnnounceOrder()
		weak := Member{Name: fmt.Sprint("small", i), Cores: 0.2}.AnnounceOrder()
		lastStrong, firstWeak = max(lastStrong, strong), min(firstWeak, weak)
		if strong < 0 || weak > 1 {
			t.Fatalf("announce orders %v and %v, want 0 to 1", strong, weak)
		}
	}
	if lastStrong > firstWeak {
		t.Errorf("a strong instance announces itself at %.2f, a weak one at %.2f, want all strong ones first", lastStrong, firstWeak)
	}
}

// TestRemoteCollectorIsFirstRanked checks whom the first-ranked instance of each failure domain
// asks: the first of those that rank before it, or nobody if there is none.
func TestRemoteCollectorIsFirstRanked(t *testing.T) {
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
			m.Add(other) // repeated announcement
		}
		if remote := m.RemoteCollectors(); len(remote) > 0 {
			asks = remote[0].Name
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
		if remote := m.RemoteCollectors(); len(remote) == 0 || remote[0].Name != next {
			t.Errorf("asks %+v, want %s", remote, next)
		}
	}
}

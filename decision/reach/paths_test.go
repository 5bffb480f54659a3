package reach

import (
	"fmt"
	"testing"
	"time"
)

// newTestPaths returns the paths of an instance of domain a that knows count peers, half of them in domain b.
func newTestPaths(count int) (*Paths, time.Time) {
	p := NewPaths(Peer{Name: "self", Domain: "a"}, []string{"a", "b"}, 1)
	for i := range count {
		p.Add(testPeer(i))
	}
	return p, time.Unix(1000, 0)
}

func testPeer(i int) Peer {
	return Peer{Name: fmt.Sprint("peer-", i), Address: fmt.Sprint("10.0.0.1:", i), Domain: []string{"a", "b"}[i%2]}
}

func anyPeer(string) bool { return true }

// TestSearchIsBounded guards against a storm of questions while no instance has a path, at any number of peers.
func TestSearchIsBounded(t *testing.T) {
	for _, count := range []int{3, 60, 300, 880} {
		p, now := newTestPaths(count)
		asked, exhaustedAt := 0, time.Duration(0)
		began := now
		for at := now; now.Sub(began) < 10*time.Second; {
			p.Want(now)
			if !now.Before(at) {
				ask, again := p.NextRound(now, anyPeer)
				asked += len(ask)
				for _, x := range ask {
					p.Answered(now, x.Name, Answer{Standing: None})
				}
				at = again
			}
			if exhaustedAt == 0 && p.Exhausted(now, anyPeer) {
				exhaustedAt = now.Sub(began)
			}
			now = now.Add(2 * time.Millisecond)
		}
		if most := burstRounds*burstAsks + int(10*time.Second/looseInterval)*looseAsks; asked > most {
			t.Errorf("%d peers: %d questions in 10 s, want %d at most", count, asked, most)
		}
		if exhaustedAt == 0 || exhaustedAt > 2*lookupTime {
			t.Errorf("%d peers: known after %v that none has a path, want %v at most", count, exhaustedAt, 2*lookupTime)
		}
	}
}

// TestSearchSamplesEachFailureDomain guards against a search that asks only neighbours, which are cut off together.
func TestSearchSamplesEachFailureDomain(t *testing.T) {
	p, now := newTestPaths(100)
	p.Want(now)
	ask, _ := p.NextRound(now, anyPeer)
	counts := map[string]int{}
	for _, x := range ask {
		counts[x.Domain]++
	}
	if counts["a"] != burstAsks/2 || counts["b"] != burstAsks/2 {
		t.Errorf("the first round asks %v, want %d of each failure domain", counts, burstAsks/2)
	}
}

// TestFoundPathsAreShared guards against instances that each have to find all paths by themselves.
func TestFoundPathsAreShared(t *testing.T) {
	p, now := newTestPaths(10)
	p.HasPath(now, "peer-3")
	now = now.Add(time.Second)
	told := p.Tell(now, None, "a")
	if len(told.Paths) != 1 || told.Paths[0].Name != "peer-3" || told.Paths[0].Age != time.Second {
		t.Fatalf("%+v, want peer-3 as of a second ago", told.Paths)
	}
	for _, x := range told.Others {
		if x.Domain == "a" {
			t.Errorf("%s is in the failure domain that asks", x.Name)
		}
	}
	other := NewPaths(Peer{Name: "other", Domain: "a"}, []string{"a", "b"}, 2)
	other.Add(testPeer(0))
	other.Want(now)
	other.Answered(now, "peer-0", told)
	if got := other.Prefer(now, "peer-3", "s"); got != Proven {
		t.Errorf("peer-3 ranks %v, want %v", got, Proven)
	}
	if got := other.Prefer(now, "peer-0", "s"); got != Excluded {
		t.Errorf("peer-0, which has no path, ranks %v, want %v", got, Excluded)
	}
	now = now.Add(pathTTL - time.Second)
	if got := other.Prefer(now, "peer-3", "s"); got != Untried {
		t.Errorf("peer-3 ranks %v when the evidence is old, want %v", got, Untried)
	}
	if got := other.Prefer(now.Add(noneTTL), "peer-0", "s"); got != Untried {
		t.Errorf("peer-0 ranks %v a second after it had no path, want %v", got, Untried)
	}
}

// TestMissedServerSaysNothingOfOthers guards against a peer that is not asked for any server because it has missed one.
func TestMissedServerSaysNothingOfOthers(t *testing.T) {
	p, now := newTestPaths(2)
	p.HasPath(now, "peer-0")
	p.MissesServer(now, "peer-0", "down", false)
	if got := p.Prefer(now, "peer-0", "down"); got != Excluded {
		t.Errorf("%v for the server that it missed, want %v", got, Excluded)
	}
	if got := p.Prefer(now, "peer-0", "up"); got != Proven {
		t.Errorf("%v for another one, want %v", got, Proven)
	}
	if got := p.Prefer(now.Add(serverMissedTTL), "peer-0", "down"); got == Excluded {
		t.Error("still not asked a second later")
	}
}

// TestPeersOfOtherRegionsAreNotAsked guards against requests that leave their region because a peer has named an instance
// of another one.
func TestPeersOfOtherRegionsAreNotAsked(t *testing.T) {
	p, now := newTestPaths(1)
	foreign := Peer{Name: "foreign", Address: "10.9.0.1:1", Domain: "elsewhere"}
	p.Answered(now, "peer-0", Answer{Standing: All, Paths: []PathOffer{{Peer: foreign}}, Others: []Peer{foreign}})
	if got := p.Prefer(now, "foreign", "s"); got != Excluded {
		t.Errorf("ranks %v, want %v", got, Excluded)
	}
}

package passthrough

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// limitFleets are the tests' numbers of instances and servers.
var limitFleets = []struct{ instances, servers int }{{8, 18}, {58, 60}, {300, 100}}

// TestServersLimitHoldsOverAllInstances guards against exceeding a server's limit through retries,
// escalations or resumed streams of any instance.
func TestServersLimitHoldsOverAllInstances(t *testing.T) {
	for _, size := range limitFleets {
		f := newLimitFleet(t, size.instances, size.servers, 1, nil)
		load := usualRate * float64(size.servers)
		f.simulate(2*time.Second, load)
		f.limitServers()
		stated := f.now()
		f.simulate(16*time.Second, load)
		f.checkLimits(stated)
		if f.refused > 0 {
			t.Errorf("%d instances: %d requests refused while other servers had free capacity, want none", size.instances, f.refused)
		}
	}
}

// TestLimitHoldsWithDifferingNeighbours guards against exceeding a limit when instances disagree on
// the holder: some do not know all of their neighbours, or still know some that are gone.
func TestLimitHoldsWithDifferingNeighbours(t *testing.T) {
	view := func(f *limitFleet, all []string) []string {
		switch f.rng.IntN(3) {
		case 0:
			return all[:max(len(all)*4/5, 1)]
		case 1:
			var more []string
			for i := range max(len(all)/5, 1) {
				more = append(more, fmt.Sprint("gone", i))
			}
			return append(more, all...)
		}
		return all
	}
	for _, size := range limitFleets {
		for seed := range uint64(3) {
			f := newLimitFleet(t, size.instances, size.servers, seed, view)
			load := usualRate * float64(size.servers)
			f.limitServers()
			stated := f.now()
			f.simulate(16*time.Second, load)
			f.checkLimits(stated)
		}
	}
}

// TestLimitedServerGetsItsShare guards against limited servers that get too little, and against
// servers that keep getting little after their limit has ended.
func TestLimitedServerGetsItsShare(t *testing.T) {
	for _, size := range limitFleets {
		f := newLimitFleet(t, size.instances, size.servers, 2, nil)
		load := 3 * usualRate * float64(size.servers)
		f.limitServers()
		f.simulate(5*time.Second, load)
		settled := f.now()
		f.simulate(20*time.Second, load)
		for i, perSecond := range limitRates {
			// Its regular senders have no more for it than for any other server.
			senders := max(int(perSecond/limitPerSender)+1, minLimitSenders)
			offered := 3 * usualRate * float64(senders) / float64(size.instances)
			if got := f.rate(f.servers[i].ID, settled); got < 0.4*min(perSecond, offered) {
				t.Errorf("%d instances: a server with a limit of %v per second got %.2f, want at least 0.4 of the lesser of that and what its regular senders are offered", size.instances, perSecond, got)
			}
		}
		clear(f.limits)
		f.simulate(8*time.Second, load)
		settled = f.now()
		f.simulate(4*time.Second, load)
		for i, perSecond := range limitRates {
			if got := f.rate(f.servers[i].ID, settled); perSecond > 0.3 && got < usualRate {
				t.Errorf("%d instances: a server whose limit of %v has ended got %.2f per second, want at least usualRate", size.instances, perSecond, got)
			}
		}
	}
}

// TestLimitEndsAfterItsHoldersAreGone guards against a limit that never ends because only instances
// that are gone, but still known, may send to the server and find out.
func TestLimitEndsAfterItsHoldersAreGone(t *testing.T) {
	f := newLimitFleet(t, 58, 60, 3, nil)
	load := usualRate * float64(len(f.servers))
	f.limits[f.servers[0].ID] = 1
	f.simulate(2*time.Second, load)
	f.silent = map[int]bool{}
	first := f.instances[0].world
	for _, name := range first.holders(first.servers[f.servers[0].ID]) {
		f.silent[slices.Index(f.instances, f.byName[name])] = true
	}
	if want := homeHolders + reserveHolders; len(f.silent) != want {
		t.Fatalf("%d holders of the limited server, want %d", len(f.silent), want)
	}
	clear(f.limits)
	f.simulate(45*time.Second, load)
	settled := f.now()
	f.simulate(4*time.Second, load)
	if got := f.rate(f.servers[0].ID, settled); got < usualRate/2 {
		t.Errorf("the server gets %.2f requests per second, want at least half of the usual %v", got, usualRate)
	}
}

package reach

import (
	"fmt"
	"testing"
	"time"
)

// newTestLinks returns links to count servers, named by serverName.
func newTestLinks(count int) (*Links, time.Time) {
	l, now := NewLinks(), time.Unix(1000, 0)
	l.SetServers(now, count, func(string) bool { return true })
	return l, now
}

// serverNames are the names of the servers.
var serverNames = func() (out [simServers]string) {
	for i := range out {
		out[i] = fmt.Sprint("server-", i)
	}
	return out
}()

func serverName(i int) string { return serverNames[i] }

// TestLostLinkDoesNotBlockOthers guards against an instance that takes one connection for all: one that succeeds for a
// path that is back, or one that fails for a path that is lost.
func TestLostLinkDoesNotBlockOthers(t *testing.T) {
	l, now := newTestLinks(8)
	for _, i := range []int{0, 0, 1} {
		l.Missed(now, serverName(i))
		l.PeerReached(now, serverName(i))
		if i == 0 {
			l.Reached(now, serverName(4))
		}
	}
	if state, _ := l.State(); state != Lost || l.IsCutOff() {
		t.Fatalf("state %v, cut off %v, want two lost links", state, l.IsCutOff())
	}
	if plan := l.Plan(now, serverName(1)); plan.Direct || !plan.ViaPeer {
		t.Errorf("plan %+v for a lost link, want a peer", plan)
	}
	if plan := l.Plan(now, serverName(5)); !plan.Direct {
		t.Errorf("plan %+v for another one, want a direct connection", plan)
	}
	if !l.Avoids(now, serverName(1)) || l.Avoids(now, serverName(5)) {
		t.Error("a lost link is not avoided, or another one is")
	}
	if got := l.Standing(now); got != Some {
		t.Errorf("tells peers %v, want %v", got, Some)
	}
}

// TestLostLinkIsTriedLessAndLessOften guards against requests that wait for a direct connection again and again while a
// part of the links is lost for long.
func TestLostLinkIsTriedLessAndLessOften(t *testing.T) {
	l, now := newTestLinks(8)
	lost := serverName(0)
	l.Missed(now, lost)
	l.Missed(now, lost)
	l.PeerReached(now, lost)
	tries := 0
	for range 3000 { // 30 s
		now = now.Add(10 * time.Millisecond)
		l.Reached(now, serverName(4))
		if plan := l.Plan(now, lost); plan.Direct {
			tries++
			l.Missed(now, lost)
			l.PeerReached(now, lost)
		}
	}
	if tries < 4 || tries > 8 {
		t.Errorf("%d direct connections in 30 s, want one at once and others after 1, 2, 4, 8 and 8 s", tries)
	}
	now = now.Add(maxRetryDelay)
	if plan := l.Plan(now, lost); !plan.Direct || !plan.ViaPeer {
		t.Errorf("plan %+v after the longest delay, want both ways", plan)
	}
	l.Reached(now, lost)
	if plan := l.Plan(now, lost); plan != (Plan{Direct: true}) || !l.Undisturbed() {
		t.Errorf("plan %+v once the link is back, want a direct connection", plan)
	}
}

// TestPartialCutIsNoCutFromAll guards against an instance that loses and regains the path to all servers again and again
// while it reaches half of them.
func TestPartialCutIsNoCutFromAll(t *testing.T) {
	l, now := newTestLinks(40)
	cuts, wasCutOff := 0, false
	for i := range 1200 { // 12 s with 100 requests a second
		now = now.Add(10 * time.Millisecond)
		server := (i * 7) % 40
		plan := l.Plan(now, serverName(server))
		reached := server%2 == 0
		switch {
		case plan.Direct && reached:
			l.Reached(now, serverName(server))
		case plan.Direct:
			l.Missed(now, serverName(server))
			if l.AsksPeers(now, serverName(server)) {
				l.PeerReached(now, serverName(server))
			}
		case plan.Probe && reached:
			l.Reached(now, serverName(server))
		}
		if l.IsCutOff() && !wasCutOff {
			cuts++
		}
		wasCutOff = l.IsCutOff()
	}
	if cuts > 3 {
		t.Errorf("cut off from all %d times in 12 s, want 3 at most", cuts)
	}
}

// TestStandingIsTrue checks what an instance tells its peers of its path.
func TestStandingIsTrue(t *testing.T) {
	l, now := newTestLinks(18)
	want := func(want Standing) {
		t.Helper()
		if got := l.Standing(now); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
	want(All)
	l.Missed(now, serverName(0))
	want(Some)
	l.Missed(now, serverName(1))
	want(Doubtful)
	for i := range maxMissedForNone {
		l.Missed(now, serverName(i))
	}
	want(None)
	l.Reached(now, serverName(7))
	want(All) // as far as it is known: servers 0 to 5 may be down
	for i := range minMissed {
		l.Missed(now, serverName(i))
	}
	l.PeerReached(now, serverName(1))
	want(None)
}

// TestMissedServerIsTriedForPeersAgain guards against an instance that says for ever that it misses a server, as it sends
// that nothing itself.
func TestMissedServerIsTriedForPeersAgain(t *testing.T) {
	l, now := newTestLinks(8)
	l.Missed(now, serverName(0))
	if !l.Misses(now, serverName(0)) {
		t.Error("not missed")
	}
	if l.Misses(now.Add(missedTTL), serverName(0)) {
		t.Errorf("still missed after %v", missedTTL)
	}
}

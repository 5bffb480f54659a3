package relay

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestFollowerBacksOffFromUnreachableStore checks the backoff towards an unreachable store: for
// half a minute, five topics at a time fail at a follower whose collector does not have the records
// either.
func TestFollowerBacksOffFromUnreachableStore(t *testing.T) {
	now := time.Unix(100, 0)
	members := NewMembers(Member{Name: "self", Domain: "d", Address: "a:1"}, 1, func() time.Time { return now })
	members.Add(Member{Name: "first", Domain: "d", Address: "a:2", Cores: 1})
	c := NewClient(members, func() time.Time { return now })
	const topics = 5
	reads := 0
	for end := now.Add(30 * time.Second); now.Before(end); now = now.Add(200 * time.Millisecond) {
		for range topics {
			if c.mayReadStore() {
				reads++
				c.storeFailed()
			}
		}
	}
	if reads > topics+30/3 {
		t.Errorf("read the store %d times in 30 s, want at most one read by each topic and one every 3 s", reads)
	}
	c.storeAnswered()
	if !c.mayReadStore() {
		t.Error("the store is not read although it answered")
	}
}

// TestReadsStoreIsFalseBeforeFirstRead checks that an instance which has just started does not
// assume that it is the one of its failure domain that writes.
func TestReadsStoreIsFalseBeforeFirstRead(t *testing.T) {
	st := &fakeStore{}
	st.put("a", "1")
	all := startInstances(t, st, 2, time.Minute)
	if all[0].log.ReadsStore() || all[1].log.ReadsStore() {
		t.Error("ReadsStore is true before the first read")
	}
	all[0].newest(t)
	all[1].newest(t)
	if !all[0].log.ReadsStore() || all[1].log.ReadsStore() {
		t.Errorf("ReadsStore: %v and %v, want only the first", all[0].log.ReadsStore(), all[1].log.ReadsStore())
	}
}

// TestUrgentTopicIsNotKeptWaiting checks that during half a minute without an answer from the store
// an urgent topic may be read every two seconds, whatever reads other topics have tried.
func TestUrgentTopicIsNotKeptWaiting(t *testing.T) {
	now := time.Unix(100, 0)
	members := NewMembers(Member{Name: "self", Domain: "d", Address: "a:1"}, 1, func() time.Time { return now })
	members.Add(Member{Name: "first", Domain: "d", Address: "a:2", Cores: 1})
	c := NewClient(members, func() time.Time { return now })
	c.storeFailed()
	last, longest := now, time.Duration(0)
	for end := now.Add(30 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if c.mayReadStore() {
			c.storeFailed() // a read of another topic
		}
		if c.mayReadStoreUrgently(true) {
			longest = max(longest, now.Sub(last))
			last = now
		}
	}
	if longest > minStoreBackoff+200*time.Millisecond {
		t.Errorf("an urgent topic waited for %v, want at most minStoreBackoff plus 200 ms", longest)
	}
}

// TestLoneInstanceProbesWithOneTopic checks that an instance that knows no others, and so ranks
// first, makes about one read per probeInterval for its five topics in an outage of ten seconds, so
// that it notices the recovery that soon, and that all topics may be read as soon as the store
// answers.
func TestLoneInstanceProbesWithOneTopic(t *testing.T) {
	now := time.Unix(100, 0)
	members := NewMembers(Member{Name: "self", Domain: "d", Address: "a:1"}, 1, func() time.Time { return now })
	c := NewClient(members, func() time.Time { return now })
	const topics, tick = 5, 50 * time.Millisecond
	reads := 0
	last, longest := now, time.Duration(0)
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(tick) {
		for range topics {
			if !c.mayReadStore() {
				continue
			}
			reads++
			longest = max(longest, now.Sub(last))
			last = now
			c.storeFailed()
		}
	}
	if maxReads := topics + int(10*time.Second/probeInterval); reads > maxReads {
		t.Errorf("read the store %d times in 10 s, want at most one read by each topic and one per probeInterval", reads)
	}
	if longest > probeInterval+tick {
		t.Errorf("the store's recovery would be noticed only after %v, want at most probeInterval plus one tick", longest)
	}
	c.storeAnswered()
	for range topics {
		if !c.mayReadStore() {
			t.Error("a topic may not read the store although it answers")
		}
	}
}

// TestHangingDialDelaysNoOtherCall guards against a member that lost power delaying the calls of all topics
// to all members, and all reads of the store, while its connection is dialed.
func TestHangingDialDelaysNoOtherCall(t *testing.T) {
	st := &fakeStore{}
	st.put("a", "1")
	all := startInstances(t, st, 2, time.Minute)
	all[0].newest(t)
	client := all[1].client
	dead := Member{Name: "dead", Domain: "d", Address: unusedAddress(t)}
	dialing, release := make(chan struct{}, 16), make(chan struct{})
	client.dial.ControlContext = func(_ context.Context, _, address string, _ syscall.RawConn) error {
		if address == dead.Address {
			dialing <- struct{}{}
			<-release
		}
		return nil
	}
	const topics = 5
	var calls, begun sync.WaitGroup
	begun.Add(topics)
	for range topics {
		calls.Go(func() {
			begun.Done()
			_, _ = client.callMember(t.Context(), dead, methodNewest, newestParams{testTopic}, callTimeout)
		})
	}
	<-dialing
	done := make(chan error, 1)
	go func() {
		client.mayReadStore()
		_, err := client.callMember(t.Context(), all[1].members.Collectors()[0], methodNewest, newestParams{testTopic}, callTimeout)
		done <- err
	}()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(maxStopTime):
		t.Error("a call to another member waits for the dial")
	}
	begun.Wait()
	time.Sleep(50 * time.Millisecond) // in which each call would dial
	n := 1 + len(dialing)             // a call that comes after the end of the first dial may dial again
	close(release)
	calls.Wait()
	if n != 1 {
		t.Errorf("%d dials to one member, want one for all topics", n)
	}
}

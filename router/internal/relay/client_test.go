package relay

import (
	"testing"
	"time"
)

// TestSilentStoreIsAskedLessAndLess plays an outage of half a minute at a follower whose
// collectors do not know either: five topics fail at a time.
func TestSilentStoreIsAskedLessAndLess(t *testing.T) {
	now := time.Unix(100, 0)
	members := NewMembers(Member{Name: "self", Domain: "d", Address: "a:1"}, 1, func() time.Time { return now })
	members.Add(Member{Name: "first", Domain: "d", Address: "a:2", Cores: 1})
	c := NewClient(members, func() time.Time { return now })
	const topics = 5
	asked := 0
	for end := now.Add(30 * time.Second); now.Before(end); now = now.Add(200 * time.Millisecond) {
		for range topics {
			if c.mayReadStore() {
				asked++
				c.storeFailed()
			}
		}
	}
	if asked > topics+30/3 {
		t.Errorf("asked %d times in 30 s", asked)
	}
	c.storeAnswered()
	if !c.mayReadStore() {
		t.Error("the store is left alone though it answered")
	}
}

// TestNobodyReadsDirectlyBeforeItsFirstRead holds that an instance which has just started does
// not take itself for the one of its failure domain that writes.
func TestNobodyReadsDirectlyBeforeItsFirstRead(t *testing.T) {
	st := &fakeStore{}
	st.put("a", "1")
	all := startInstances(t, st, 2, time.Minute)
	if all[0].log.ReadsStore() || all[1].log.ReadsStore() {
		t.Error("direct before the first read")
	}
	all[0].newest(t)
	all[1].newest(t)
	if !all[0].log.ReadsStore() || all[1].log.ReadsStore() {
		t.Errorf("direct: %v and %v, want the first alone", all[0].log.ReadsStore(), all[1].log.ReadsStore())
	}
}

// TestUrgentTopicIsNotKeptWaiting plays half a minute in which the store gives no answer, and holds
// that a topic with a bound may ask it every two seconds, whatever the others have asked.
func TestUrgentTopicIsNotKeptWaiting(t *testing.T) {
	now := time.Unix(100, 0)
	members := NewMembers(Member{Name: "self", Domain: "d", Address: "a:1"}, 1, func() time.Time { return now })
	members.Add(Member{Name: "first", Domain: "d", Address: "a:2", Cores: 1})
	c := NewClient(members, func() time.Time { return now })
	c.storeFailed()
	last, longest := now, time.Duration(0)
	for end := now.Add(30 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if c.mayReadStore() {
			c.storeFailed() // another topic's question
		}
		if c.mayReadStoreUrgently() {
			longest = max(longest, now.Sub(last))
			last = now
		}
	}
	if longest > minStoreBackoff+200*time.Millisecond {
		t.Errorf("kept waiting for %v", longest)
	}
}

// TestInstanceThatKnowsNobodyAsksOneQuestionAtATime plays the start in an outage of ten seconds:
// five topics are tried by an instance that ranks first, since it has not learnt of any other.
// The first answer frees all topics at once.
func TestInstanceThatKnowsNobodyAsksOneQuestionAtATime(t *testing.T) {
	now := time.Unix(100, 0)
	members := NewMembers(Member{Name: "self", Domain: "d", Address: "a:1"}, 1, func() time.Time { return now })
	c := NewClient(members, func() time.Time { return now })
	const topics, tick = 5, 50 * time.Millisecond
	asked := 0
	last, longest := now, time.Duration(0)
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(tick) {
		for range topics {
			if !c.mayReadStore() {
				continue
			}
			asked++
			longest = max(longest, now.Sub(last))
			last = now
			c.storeFailed()
		}
	}
	if most := topics + int(10*time.Second/probeInterval); asked > most {
		t.Errorf("asked %d times in 10 s", asked)
	}
	if longest > probeInterval+tick {
		t.Errorf("the store's return would be seen after %v only", longest)
	}
	c.storeAnswered()
	for range topics {
		if !c.mayReadStore() {
			t.Error("a topic is held back though the store answers")
		}
	}
}

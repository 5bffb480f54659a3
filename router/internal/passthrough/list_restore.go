package passthrough

import (
	"time"

	"masticplank.example/decision/passthrough"
)

const (
	// copyDoubt is how long an entry that a restored store has of a server that had left is not
	// believed: a server that lives goes on writing, and else its entry is removed after three
	// heartbeats.
	copyDoubt = 5 * time.Second
	// departedMemory is how long a server that has left is remembered; copies of the store are
	// some seconds old.
	departedMemory = 2 * time.Minute
)

// departure is a server that has left.
type departure struct {
	born int64
	at   time.Time
}

// doubt is an entry that is not believed yet.
type doubt struct {
	server passthrough.Server
	offset uint64
	until  time.Time
}

// departed notes that the server has left. The lock is held.
func (l *list) departed(s passthrough.Server) {
	now := l.clock.Now()
	for id, d := range l.left {
		if now.Sub(d.at) > departedMemory {
			delete(l.left, id)
		}
	}
	l.left[s.ID] = departure{s.Born, now}
}

// restored notes that the store came back from a copy.
//
// Load: a store that has forgotten some seconds of what servers wrote, before addresses that are
// given to other servers. Harm prevented: servers that started lately, dropped until they write
// again; and servers that have left, called at an address that is another one's by now.
func (l *list) restored() {
	l.outageEnded()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fromCopy = true
}

// believed is the entry as it is believed when it comes from a copy: what the server said last of
// leaving holds, and one that had left must write again. The lock is held.
func (l *list) believed(s passthrough.Server, offset uint64) (out passthrough.Server, ok bool) {
	if old, known := l.entries[s.ID]; known && old.Born == s.Born {
		s.Draining = s.Draining || old.Draining
		return s, true
	}
	if d, left := l.left[s.ID]; left && d.born == s.Born {
		l.doubts[s.ID] = doubt{s, offset, l.clock.Now().Add(copyDoubt)}
		l.journal.beliefKept("server", s.ID, "it had left")
		return s, false
	}
	return s, true
}

// settleDoubts takes in the entries that were not believed and still stand. The lock is held.
func (l *list) settleDoubts(now time.Time) {
	for id, d := range l.doubts {
		if !now.Before(d.until) {
			delete(l.doubts, id)
			l.put(d.server, d.offset)
		}
	}
}

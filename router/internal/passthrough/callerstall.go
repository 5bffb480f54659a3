package passthrough

import (
	"sync"
	"sync/atomic"
	"time"

	"masticplank.example/decision/passthrough"
)

const (
	// stallThreshold is for how long writes to the caller must have blocked for a break of the stream to be the caller's:
	// servers leave a response unread for some seconds before they cut it off.
	stallThreshold = time.Second
	// caughtUpWait is for how long the server must have been waited for since the latest write that blocked for what it
	// had sent before to have been read: longer than a lost packet takes to be sent again.
	caughtUpWait = 250 * time.Millisecond
	// blockedWrite is the time from which on a write has blocked; others only wait for the processor.
	blockedWrite = 100 * time.Millisecond
)

// callerStall tells whether a stream's caller has not read what the server sent.
//
// Load: callers that stop reading for seconds. Harm prevented: the server, which cuts off the response or crashes by
// what it holds, is ejected, its version is judged bad, or the request counts as one that crashes servers.
type callerStall struct {
	// writingSince is when the present write to the caller began, in Unix nanoseconds of the clock; 0 while there is
	// none. Others may read it.
	writingSince atomic.Int64
	// unread is for how long writes have blocked since all that the server had sent was read; waited is for how long
	// the server was waited for since the last of them.
	unread, waited time.Duration
	// everBlocked is true once a write has blocked: the times between the stream's events then say nothing about the
	// server.
	everBlocked bool
}

// beginWrite records that a write to the caller begins.
func (c *callerStall) beginWrite(now time.Time) { c.writingSince.Store(now.UnixNano()) }

// endWrite records that it has ended, and returns for how long it has blocked.
func (c *callerStall) endWrite(now time.Time) time.Duration {
	took := now.Sub(time.Unix(0, c.writingSince.Swap(0)))
	if took < blockedWrite {
		return 0
	}
	c.everBlocked = true
	c.unread += took
	c.waited = 0
	return took
}

// endRead records that the server was waited for.
func (c *callerStall) endRead(took time.Duration) {
	c.waited += took
	if c.waited >= caughtUpWait {
		c.unread = 0
	}
}

// stalled reports whether the caller has not read for so long that a break of the stream is the caller's.
func (c *callerStall) stalled() bool { return c.unread >= stallThreshold }

// isWriting reports whether a write to the caller is in progress.
func (c *callerStall) isWriting() bool { return c.writingSince.Load() != 0 }

// blocksFor reports whether the present write to the caller has blocked for that long.
func (c *callerStall) blocksFor(now time.Time, least time.Duration) bool {
	since := c.writingSince.Load()
	return since != 0 && now.Sub(time.Unix(0, since)) >= least
}

// streamSet are the streams that are relayed now. The zero value is empty. It is safe for concurrent use.
type streamSet struct {
	mu       sync.Mutex
	attempts map[*attempt]struct{}
}

func (s *streamSet) add(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts == nil {
		s.attempts = map[*attempt]struct{}{}
	}
	s.attempts[a] = struct{}{}
}

func (s *streamSet) remove(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, a)
}

// anyStalled reports whether the server holds the response of another stream whose caller does not read it.
func (s *streamSet) anyStalled(of passthrough.Server, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.attempts {
		if a.server.ID == of.ID && a.server.StartTime == of.StartTime && a.stall.blocksFor(now, stallThreshold) {
			return true
		}
	}
	return false
}

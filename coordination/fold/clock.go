package fold

// maxTimestampMicros bounds a writer's time (the year 3111), so that sums of
// times and lifetimes never overflow.
const maxTimestampMicros = 1 << 55

// clock is the log's time in Unix microseconds. It never decreases.
//
// If the log timestamps its entries, the clock is the running maximum of those
// times. Otherwise it is the running maximum of the writers' times, guarded
// against a writer with a wrong clock: a time more than skew ahead is pending
// until another writer's time is beyond the skew too, and then the lesser of
// the two counts, so that one of the two writers being right is enough. The
// very first time cannot be compared with anything and counts at once; if it is
// ahead of real time, claims are refused (never granted twice) until real time
// has caught up.
//
// With a single writer, the clock stops once that writer pauses for longer than
// the skew, until a second writer appends. A deployment of one instance
// therefore needs a log that timestamps its entries.
type clock struct {
	skew int64
	now  int64
	// pendingJump is a time beyond the skew that no second writer has confirmed
	// yet; pendingWriter is empty if there is none.
	pendingJump   int64
	pendingWriter string
}

// observe takes the times of one entry in Unix microseconds. logTime is 0 if the
// log does not timestamp its entries.
func (c *clock) observe(logTime, writerTime int64, writer string) {
	if logTime > 0 {
		c.advance(logTime)
		return
	}
	if writerTime <= 0 || writerTime > maxTimestampMicros || writerTime <= c.now {
		return
	}
	if c.now == 0 || writerTime <= c.now+c.skew {
		c.advance(writerTime)
		return
	}
	c.observeJump(writerTime, writer)
}

func (c *clock) observeJump(writerTime int64, writer string) {
	if c.pendingWriter == "" || c.pendingWriter == writer {
		c.pendingJump, c.pendingWriter = writerTime, writer
		return
	}
	lesser := min(writerTime, c.pendingJump)
	if writerTime > c.pendingJump {
		c.pendingJump, c.pendingWriter = writerTime, writer
	}
	c.advance(lesser)
}

func (c *clock) advance(t int64) {
	c.now = max(c.now, t)
	if c.pendingJump <= c.now {
		c.pendingJump, c.pendingWriter = 0, ""
	}
}

package fold

// maxStamp bounds a stamped time (the year 3111), so that sums of times and
// lifetimes never overflow.
const maxTimestampMicros = 1 << 55

// clock is the log's time in microseconds. It only grows.
//
// Where entries carry the log's own time, it is their running maximum. Else it
// is the running maximum of the writers' stamped times. One writer with a wrong
// clock must not move it far: a stamp more than skew ahead waits until another
// writer stamps a time beyond the skew too, and then the lesser of the two
// counts, so that one sane writer of the two is enough. The very first stamp
// has nothing to be compared with and counts at once; if it was wrong, claims
// are refused (never doubled) until time has caught up.
//
// A lone writer that pauses for longer than the skew stands still until a
// second one appends; with one instance, use a log that gives times.
type clock struct {
	skew int64
	now  int64
	// waiting is the jump not confirmed yet; waitingWriter is empty for none.
	pendingJump   int64
	pendingWriter string
}

// observe takes the times of one entry; logTime is zero where there is none.
func (c *clock) observe(logTime, stamped int64, writer string) {
	if logTime > 0 {
		c.advance(logTime)
		return
	}
	if stamped <= 0 || stamped > maxTimestampMicros || stamped <= c.now {
		return
	}
	if c.now == 0 || stamped <= c.now+c.skew {
		c.advance(stamped)
		return
	}
	c.observeJump(stamped, writer)
}

func (c *clock) observeJump(stamped int64, writer string) {
	if c.pendingWriter == "" || c.pendingWriter == writer {
		c.pendingJump, c.pendingWriter = stamped, writer
		return
	}
	lesser := min(stamped, c.pendingJump)
	if stamped > c.pendingJump {
		c.pendingJump, c.pendingWriter = stamped, writer
	}
	c.advance(lesser)
}

func (c *clock) advance(t int64) {
	c.now = max(c.now, t)
	if c.pendingJump <= c.now {
		c.pendingJump, c.pendingWriter = 0, ""
	}
}

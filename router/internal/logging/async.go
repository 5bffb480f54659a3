package logging

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// asyncBufferBytes bounds the lines that wait to be written. The busiest instance
	// logs that much in two seconds.
	asyncBufferBytes = 1 << 20
	// asyncFlushInterval is the time from the first buffered line to the write of the
	// buffer. One system call writes all lines of an interval, since a call for each
	// line costs more than producing the lines.
	asyncFlushInterval = 250 * time.Millisecond
)

// AsyncWriter writes lines in the background. It never blocks its callers: lines that do
// not fit into its buffer are dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	out io.Writer

	mu             sync.Mutex
	buffer         bytes.Buffer
	dropped        int
	flushScheduled bool
	// writeMu keeps the writes of concurrent flushes in order. It is locked before mu.
	writeMu sync.Mutex
}

// NewAsyncWriter returns a buffering writer in front of out.
func NewAsyncWriter(out io.Writer) *AsyncWriter { return &AsyncWriter{out: out} }

// Write implements io.Writer; p is one line. It reports success for a dropped line too.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.buffer.Len()+len(p) > asyncBufferBytes {
		a.dropped++
		return len(p), nil
	}
	a.buffer.Write(p)
	if !a.flushScheduled {
		a.flushScheduled = true
		time.AfterFunc(asyncFlushInterval, a.Flush)
	}
	return len(p), nil
}

// Flush writes the buffered lines.
func (a *AsyncWriter) Flush() {
	a.writeMu.Lock()
	defer a.writeMu.Unlock()
	a.mu.Lock()
	text := bytes.Clone(a.buffer.Bytes())
	a.buffer.Reset()
	a.flushScheduled = false
	a.mu.Unlock()
	if len(text) > 0 {
		_, _ = a.out.Write(text) // a failure to write the log cannot be logged
	}
}

// Dropped returns the number of lines dropped since the start.
func (a *AsyncWriter) Dropped() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

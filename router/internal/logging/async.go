package logging

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// asyncRoom is how many bytes of lines may wait to be written: two seconds of the
	// busiest instance.
	asyncBufferBytes = 1 << 20
	// asyncEvery is the time between two writes: one system call takes what came in
	// between, where one for each line cost more than the lines.
	asyncFlushInterval = 250 * time.Millisecond
)

// Async writes lines in the background. It never blocks its callers: lines that find no
// room are dropped and counted.
type AsyncWriter struct {
	out io.Writer

	mu             sync.Mutex
	buffer         bytes.Buffer
	dropped        int
	flushScheduled bool
	writeMu        sync.Mutex
}

// NewAsync returns a writer in front of out.
func NewAsyncWriter(out io.Writer) *AsyncWriter { return &AsyncWriter{out: out} }

// Write implements io.Writer; p is one line.
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

// Flush writes what waits.
func (a *AsyncWriter) Flush() {
	a.writeMu.Lock()
	defer a.writeMu.Unlock()
	a.mu.Lock()
	text := bytes.Clone(a.buffer.Bytes())
	a.buffer.Reset()
	a.flushScheduled = false
	a.mu.Unlock()
	if len(text) > 0 {
		_, _ = a.out.Write(text) // a log that cannot be written has nowhere to say so
	}
}

// Dropped is the number of lines dropped so far.
func (a *AsyncWriter) Dropped() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

package passthrough

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"

	"masticplank.example/router/internal/tunnel"
)

// requestWrite is the writing of a request. It runs beside the reading of the response, since a server may respond before
// it has read a long body.
type requestWrite struct {
	done chan struct{}
	// written is how many bytes of the request were written, err why not all of them were; valid once done is closed.
	written int64
	err     error
}

// begin must be called before run.
func (w *requestWrite) begin() { w.done = make(chan struct{}) }

// run writes the request with the target.
func (w *requestWrite) run(to io.Writer, req *http.Request, target string) {
	defer close(w.done)
	const bufferSize = 16 << 10
	buffered := bufio.NewWriterSize(countingWriter{to, &w.written}, bufferSize)
	line := req.Method + " " + target + " HTTP/1.1\r\n"
	if w.err = req.Write(&requestLineWriter{Writer: buffered, line: line}); w.err == nil {
		w.err = buffered.Flush()
	}
}

// end closes the connection, which ends the writing, and returns nil if the server, or the peer that sends to it, has
// taken the whole request.
func (w *requestWrite) end(c *conn) error {
	_ = c.Close() // the server has ended it
	<-w.done
	if w.err != nil {
		return w.err
	}
	if n := tunnel.Forwarded(c, w.written); n < w.written {
		return fmt.Errorf("the peer has forwarded %d of %d bytes", n, w.written)
	}
	return nil
}

// countingWriter counts the bytes that are written.
type countingWriter struct {
	io.Writer
	n *int64
}

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	*w.n += int64(n)
	return n, err
}

// requestLineWriter writes a request with another first line than the one that it is given.
//
// Load: callers whose targets net/url would write in another way, such as one that begins with two slashes. Harm prevented:
// the server gets another path than the caller sent, or another host.
type requestLineWriter struct {
	io.Writer
	line string
	// replaced is true once the first line that was given has ended.
	replaced bool
}

// Write implements io.Writer.
func (w *requestLineWriter) Write(p []byte) (int, error) {
	if w.replaced {
		return w.Writer.Write(p)
	}
	end := bytes.IndexByte(p, '\n') + 1
	if end == 0 {
		return len(p), nil // a part of the line that is replaced
	}
	w.replaced = true
	if _, err := io.WriteString(w.Writer, w.line); err != nil {
		return 0, err
	}
	n, err := w.Writer.Write(p[end:])
	return end + n, err
}

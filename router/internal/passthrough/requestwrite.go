package passthrough

import (
	"bufio"
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

// run writes the request.
func (w *requestWrite) run(to io.Writer, req *http.Request) {
	defer close(w.done)
	const bufferSize = 16 << 10
	buffered := bufio.NewWriterSize(countingWriter{to, &w.written}, bufferSize)
	if w.err = req.Write(buffered); w.err == nil {
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

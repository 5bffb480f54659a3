package passthrough

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/connlimit"
)

const (
	// firstBodyBytes is the first buffer for a body of unknown length, in bytes.
	firstBodyBytes = 4 << 10
	// drainTimeout bounds how long the rest of a refused request's body is read, so that a caller which still sends
	// it finds the response before the connection is closed.
	drainTimeout = 500 * time.Millisecond
	// maxDrainBytes is how much of it is read.
	maxDrainBytes = 256 << 10
	// writeGrace is how long after its deadline a response is still written to a caller that reads it slowly.
	writeGrace = 2 * time.Second
)

// readBody reads the whole body, since a retry needs it again. It returns the refusal if the body is too large or does
// not fit into what may be held, or if the request has no id, else nil.
func (h *Handler) readBody(w http.ResponseWriter, c *call, body *hold) *refusal {
	if c.caller.RequestID == "" {
		return &refusal{status: http.StatusBadRequest, reason: reasonNoRequestID}
	}
	if c.request.ContentLength == 0 {
		return nil
	}
	if c.request.ContentLength > c.maxBody {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(h.wallTime(c.deadline)) // a writer of a test may have none
	var err error
	if c.request.ContentLength > 0 {
		err = c.readSized(body)
	} else {
		err = c.readUnsized(http.MaxBytesReader(w, c.request.Body, c.maxBody), body)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		c.bodyUnread = false
		return nil
	case errors.Is(err, errNoRoom):
		return &refusal{http.StatusServiceUnavailable, reasonNoRoom, retryElsewhereAfter}
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{http.StatusServiceUnavailable, passthrough.ReasonDeadline, retryElsewhereAfter}
	}
	h.telemetry.logCallerLost(c, err)
	panic(http.ErrAbortHandler) // the caller has disconnected, so no response is possible
}

// readSized reads a body of known length. Nothing is read of one that does not fit.
func (c *call) readSized(body *hold) error {
	if !body.add(c.request.ContentLength) {
		return errNoRoom
	}
	c.body = make([]byte, c.request.ContentLength)
	_, err := io.ReadFull(c.request.Body, c.body)
	return err
}

// readUnsized reads a body of unknown length, and stops once it no longer fits.
func (c *call) readUnsized(from io.Reader, body *hold) error {
	text, err := connlimit.ReadAll(from, firstBodyBytes, body.add)
	c.body = text
	return err
}

// wallTime converts a time of the clock to one of the machine's clock, which deadlines of connections use.
func (h *Handler) wallTime(at time.Time) time.Time {
	return time.Now().Add(at.Sub(h.clock.Now()))
}

// boundWrites bounds how long the response is written, so that what is held for a caller that stopped reading is given
// back.
func (h *Handler) boundWrites(w http.ResponseWriter, c *call) {
	_ = http.NewResponseController(w).SetWriteDeadline(h.wallTime(c.deadline.Add(writeGrace))) // a writer of a test may have none
}

// drain reads the rest of a refused request's body and drops it. A connection that is closed with unread bytes is reset,
// and the caller may lose the refusal. A caller that waits for the leave to send its body is not given it.
func (c *call) drain(w http.ResponseWriter) {
	if c.request.Header.Get("Expect") != "" {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout)) // a writer of a test may have none
	_, _ = io.CopyN(io.Discard, c.request.Body, maxDrainBytes)                      // what has not come by then is lost
}

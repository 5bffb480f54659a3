package passthrough

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
	"masticplank.example/router/internal/httpanswer"
)

// stream is the progress of a streamed response to the caller.
type stream struct {
	// begun is true if the head was sent.
	begun bool
	// lastEventID is the id of the last event that was sent to the caller, -1 for none.
	lastEventID int64
}

const (
	// streamBufferSize is the size of the read buffer in bytes. An event has tens to hundreds of
	// bytes.
	streamBufferSize = 4 << 10
	// intervalEvents is the number of events after which a stream's event interval is reported
	// while the stream still runs. It is large enough to average out a pause for the prefill of
	// another request's prompt, and small enough that a version that is eight times slower sends
	// that many in two seconds.
	intervalEvents = 6
	// maxEventBytes is the maximum size of an event, and of what a stream may have between two events with an id.
	maxEventBytes = 1 << 20
)

// relayStream relays a stream to the caller, unless its confidence is below the confidence threshold.
func (a *attempt) relayStream(resp *http.Response, meta seam.Response) outcome {
	x := a.exchange
	a.reportFirstByte(meta)
	if x.stream.begun || meta.Confidence < 0 {
		return a.relayEvents(resp)
	}
	threshold := x.handler.driver.confidenceThreshold(x.ticket)
	if meta.Confidence < threshold {
		return outcome{result: passthrough.Dropped, confidenceThreshold: threshold}
	}
	keptBecause := x.handler.driver.keptBecause(x.ticket, meta.Confidence)
	out := a.relayEvents(resp)
	out.keptBecause = keptBecause
	out.confidenceThreshold = threshold
	return out
}

// relayEvents relays events to the caller as they arrive. It relays whole events only, and reads no more from the server
// than the caller takes.
func (a *attempt) relayEvents(resp *http.Response) outcome {
	streams := &a.exchange.handler.streams
	streams.add(a)
	defer streams.remove(a)
	out := a.copyEvents(resp)
	if (out.connectionLost || errors.Is(out.err, errMalformedStream)) && a.stall.stalled() {
		out.connectionLost, out.callerStalled = false, true
	}
	return out
}

// copyEvents copies the events.
func (a *attempt) copyEvents(resp *http.Response) outcome {
	x := a.exchange
	var pending []byte
	unnumbered := 0
	buf := make([]byte, streamBufferSize)
	reported := false
	began := x.handler.clock.Now()
	for {
		n, err := a.readStream(resp.Body, buf)
		if n > 0 {
			if !x.holdPending(len(pending) + n) {
				return outcome{result: passthrough.Broken, err: errNoRoom, callerLost: true}
			}
			pending = append(pending, buf[:n]...)
			whole, partial := splitEvents(pending, n)
			count, orderErr := x.advanceEventID(whole)
			if unnumbered += len(whole); count > 0 {
				unnumbered = 0
			}
			if orderErr == nil && len(whole) > 0 {
				if writeErr := a.writeEvents(resp, whole); writeErr != nil {
					return outcome{result: passthrough.Broken, err: writeErr, callerLost: true}
				}
				if a.events == 0 && count > 0 {
					x.handler.driver.Handle(passthrough.FirstEvent{Request: x.ticket.id})
				}
				a.events += count
				a.pace.add(count, x.handler.clock.Now())
				if interval := a.eventInterval(began); a.events >= intervalEvents && !reported && interval > 0 {
					reported = true
					x.handler.driver.Handle(passthrough.EventIntervalMeasured{Request: x.ticket.id, EventInterval: interval})
				}
			}
			if orderErr != nil {
				return outcome{result: passthrough.Broken, err: orderErr}
			}
			pending = append(pending[:0], partial...)
		}
		switch {
		case err == nil && len(pending) <= maxEventBytes && unnumbered <= maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && len(pending) == 0 && a.events > 0:
			return outcome{result: passthrough.Completed, eventInterval: a.eventInterval(began)}
		case errors.Is(err, io.EOF):
			// Without a length or chunks, a server that crashes ends its response like this.
			return outcome{result: passthrough.Broken, err: errMalformedStream, connectionLost: httpanswer.EndsWithConnection(resp)}
		case err != nil:
			return a.brokenOutcome(err)
		default:
			return outcome{result: passthrough.Broken, err: errMalformedStream}
		}
	}
}

// readStream reads from the server, and records for how long it was waited for.
func (a *attempt) readStream(from io.Reader, buf []byte) (int, error) {
	began := a.exchange.handler.clock.Now()
	n, err := from.Read(buf)
	a.stall.endRead(a.exchange.handler.clock.Now().Sub(began))
	return n, err
}

// holdPending reserves what a stream holds beyond its fixed buffers, up to n bytes in all.
func (x *exchange) holdPending(n int) bool {
	return x.pending.add(int64(n-2*streamBufferSize) - x.pending.n)
}

// reportFirstByte reports to decision/passthrough that the response has begun, with the server's load
// and rate limit from its head.
//
// Load: streams last many seconds, at servers whose load changes within tenths of a second. Harm
// prevented: the load from the head is reported at the end of the stream, when it is as old as the
// stream, and is taken for the server's current load.
func (a *attempt) reportFirstByte(meta seam.Response) {
	x := a.exchange
	x.handler.driver.Handle(passthrough.FirstByte{
		Request: x.ticket.id, After: a.firstByte, Load: meta.Load, HasLoad: meta.HasLoad,
		Limit: meta.Limit,
	})
}

// eventInterval returns the mean time between the events of a stream that began then, 0 for fewer than two or if the caller
// has kept the stream waiting.
func (a *attempt) eventInterval(began time.Time) time.Duration {
	if a.events < 2 || a.stall.everBlocked {
		return 0
	}
	return a.exchange.handler.clock.Now().Sub(began) / time.Duration(a.events-1)
}

// writeHead sends the first backend server's response head to the caller. If another server continues the
// stream, its head is not sent.
func (x *exchange) writeHead(resp *http.Response) {
	if x.stream.begun {
		return
	}
	x.handler.shutdown.remove(x)
	x.copyHeaders(resp.Header)
	x.w.WriteHeader(resp.StatusCode)
	x.stream.begun = true
}

// writeEvents sends events to the caller and flushes them. An error means that nothing more can be sent.
func (a *attempt) writeEvents(resp *http.Response, events []byte) error {
	x, clock := a.exchange, a.exchange.handler.clock
	a.stall.beginWrite(clock.Now())
	x.writeHead(resp)
	_, err := x.w.Write(events)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	a.endWrite(clock.Now())
	if err != nil {
		x.handler.telemetry.logCallerLost(x.call, err)
	}
	return err
}

// splitEvents splits a text into whole events and the beginning of the next one. Only its last added bytes are new: no
// event ends before them.
func splitEvents(text []byte, added int) (ready, rest []byte) {
	end := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		from := max(len(text)-added-len(separator)+1, 0)
		if i := bytes.LastIndex(text[from:], separator); i >= 0 {
			end = max(end, from+i+len(separator))
		}
	}
	return text[:end], text[end:]
}

// advanceEventID checks that the events' ids continue those sent to the caller, and counts the events with
// an id. Events without an id are not checked. It returns errEventOrder for a gap, a repetition or a
// malformed id; otherwise it sets stream.lastEventID to the last id, before the events are written.
func (x *exchange) advanceEventID(events []byte) (count int, err error) {
	lastID := x.stream.lastEventID
	for line := range bytes.Lines(events) {
		text, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
		if err != nil {
			return count, errEventOrder
		}
		if (lastID >= 0 || x.stream.begun) && id != lastID+1 {
			return count, errEventOrder
		}
		lastID = id
		count++
	}
	x.stream.lastEventID = lastID
	return count, nil
}

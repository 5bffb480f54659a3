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
)

// stream is the part of a stream that went to the caller.
type stream struct {
	// begun says that the head is out.
	begun bool
	// last is the id of the last event that the caller has, -1 for none.
	lastEvent int64
}

const (
	// streamBuffer is the room for reading a stream; an event is tens to hundreds of
	// bytes long.
	streamBufferSize = 4 << 10
	// paceEvents is how many events tell a stream's pace: enough to level out a pause for
	// another request's prompt, and two seconds of a version that is eight times slower.
	intervalEvents = 6
	// eventLimit bounds one event.
	maxEventBytes = 1 << 20
)

// relay hands a stream to the caller, whole events only, as they come.
func (a *attempt) relayStream(resp *http.Response, meta seam.Response) outcome {
	x := a.exchange
	a.reportFirstByte(meta)
	if x.stream.begun || meta.Confidence < 0 {
		return a.relayEvents(resp)
	}
	threshold := x.edge.driver.confidenceThreshold(x.ticket)
	if meta.Confidence < threshold {
		return outcome{result: passthrough.Dropped, confidenceThreshold: threshold}
	}
	out := a.relayEvents(resp)
	out.confidenceThreshold = threshold
	return out
}

// pass hands on the events.
func (a *attempt) relayEvents(resp *http.Response) outcome {
	x := a.exchange
	var pending []byte
	buf := make([]byte, streamBufferSize)
	events, reported := 0, false
	began := x.edge.clock.Now()
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			pending = append(pending, buf[:n]...)
			whole, partial := splitEvents(pending)
			count, orderErr := x.checkOrder(whole)
			if orderErr == nil && len(whole) > 0 {
				x.writeHead(resp)
				x.writeEvents(whole)
				events += count
				if events >= intervalEvents && !reported {
					reported = true
					x.edge.driver.Handle(passthrough.EventIntervalMeasured{Request: x.ticket.id, EventInterval: eventInterval(x.edge.clock.Now().Sub(began), events)})
				}
			}
			if orderErr != nil {
				return outcome{result: passthrough.Broken, err: orderErr}
			}
			pending = append(pending[:0], partial...)
		}
		switch {
		case err == nil && len(pending) <= maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && len(pending) == 0 && events > 0:
			return outcome{result: passthrough.Completed, eventInterval: eventInterval(x.edge.clock.Now().Sub(began), events)}
		case errors.Is(err, io.EOF):
			return outcome{result: passthrough.Broken, err: errTruncatedEvent}
		case err != nil:
			return a.brokenOutcome(err)
		default:
			return outcome{result: passthrough.Broken, err: errTruncatedEvent}
		}
	}
}

// tellBegun tells the decision that the answer has begun, and the server's load as its head
// states it.
//
// Load: streams of many seconds, at servers whose load changes within tenths of one. Harm
// prevented: a load that is as old as the stream, taken for what the server has now.
func (a *attempt) reportFirstByte(meta seam.Response) {
	x := a.exchange
	x.edge.driver.Handle(passthrough.FirstByte{
		Request: x.ticket.id, After: a.firstByte, Load: meta.Load, HasLoad: meta.HasLoad,
		Limit: meta.Limit,
	})
}

// pace is the mean time between events.
func eventInterval(elapsed time.Duration, events int) time.Duration {
	if events < 2 {
		return 0
	}
	return elapsed / time.Duration(events-1)
}

// begin sends the first backend server's head; a stream that goes on keeps it.
func (x *exchange) writeHead(resp *http.Response) {
	if x.stream.begun {
		return
	}
	x.copyHeaders(resp.Header)
	x.w.WriteHeader(resp.StatusCode)
	x.stream.begun = true
}

// forward sends events at once.
func (x *exchange) writeEvents(events []byte) {
	writeAll(x.w, events)
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		x.edge.telemetry.callerLost(x.call, err)
	}
}

// wholeEvents splits what was read into whole events and the begin of the next.
func splitEvents(text []byte) (ready, rest []byte) {
	end := 0
	for _, mark := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(text, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return text[:end], text[end:]
}

// order checks that the events follow on what the caller has, and counts them. Events
// without an id are taken as they come.
func (x *exchange) checkOrder(events []byte) (count int, err error) {
	last := x.stream.lastEvent
	for line := range bytes.Lines(events) {
		text, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
		if err != nil {
			return count, errEventOrder
		}
		if (last >= 0 || x.stream.begun) && id != last+1 {
			return count, errEventOrder
		}
		last = id
		count++
	}
	x.stream.lastEvent = last
	return count, nil
}

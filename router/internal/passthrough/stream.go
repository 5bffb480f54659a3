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
	last int64
}

const (
	// streamBuffer is the room for reading a stream; an event is tens to hundreds of
	// bytes long.
	streamBuffer = 4 << 10
	// paceEvents is how many events tell a stream's pace: enough to level out a pause for
	// another request's prompt, and two seconds of a version that is eight times slower.
	paceEvents = 6
	// eventLimit bounds one event.
	eventLimit = 1 << 20
)

// relay hands a stream to the caller, whole events only, as they come.
func (a *attempt) relay(resp *http.Response, said seam.Response) outcome {
	x := a.exchange
	a.tellBegun(said)
	if x.stream.begun || said.Confidence < 0 {
		return a.pass(resp)
	}
	bar := x.edge.driver.bar(x.ticket)
	if said.Confidence < bar {
		return outcome{result: passthrough.Dropped, bar: bar}
	}
	out := a.pass(resp)
	out.bar = bar
	return out
}

// pass hands on the events.
func (a *attempt) pass(resp *http.Response) outcome {
	x := a.exchange
	var held []byte
	buf := make([]byte, streamBuffer)
	events, paced := 0, false
	began := x.edge.clock.Now()
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			held = append(held, buf[:n]...)
			ready, rest := wholeEvents(held)
			count, bad := x.order(ready)
			if bad == nil && len(ready) > 0 {
				x.begin(resp)
				x.forward(ready)
				events += count
				if events >= paceEvents && !paced {
					paced = true
					x.edge.driver.Tell(passthrough.EventIntervalMeasured{Request: x.ticket.id, EventInterval: pace(x.edge.clock.Now().Sub(began), events)})
				}
			}
			if bad != nil {
				return outcome{result: passthrough.Broken, err: bad}
			}
			held = append(held[:0], rest...)
		}
		switch {
		case err == nil && len(held) <= eventLimit:
			continue
		case errors.Is(err, io.EOF) && len(held) == 0 && events > 0:
			return outcome{result: passthrough.Completed, pace: pace(x.edge.clock.Now().Sub(began), events)}
		case errors.Is(err, io.EOF):
			return outcome{result: passthrough.Broken, err: errMidEvent}
		case err != nil:
			return a.broken(err)
		default:
			return outcome{result: passthrough.Broken, err: errMidEvent}
		}
	}
}

// tellBegun tells the decision that the answer has begun, and the server's load as its head
// states it.
//
// Load: streams of many seconds, at servers whose load changes within tenths of one. Harm
// prevented: a load that is as old as the stream, taken for what the server has now.
func (a *attempt) tellBegun(said seam.Response) {
	x := a.exchange
	x.edge.driver.Tell(passthrough.FirstByte{
		Request: x.ticket.id, After: a.first, Load: said.Load, HasLoad: said.HasLoad,
		Limit: said.Limit,
	})
}

// pace is the mean time between events.
func pace(took time.Duration, events int) time.Duration {
	if events < 2 {
		return 0
	}
	return took / time.Duration(events-1)
}

// begin sends the first backend server's head; a stream that goes on keeps it.
func (x *exchange) begin(resp *http.Response) {
	if x.stream.begun {
		return
	}
	x.copyHeaders(resp.Header)
	x.w.WriteHeader(resp.StatusCode)
	x.stream.begun = true
}

// forward sends events at once.
func (x *exchange) forward(events []byte) {
	writeAll(x.w, events)
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		x.edge.journal.callerLost(x.call, err)
	}
}

// wholeEvents splits what was read into whole events and the begin of the next.
func wholeEvents(text []byte) (ready, rest []byte) {
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
func (x *exchange) order(events []byte) (count int, err error) {
	last := x.stream.last
	for line := range bytes.Lines(events) {
		text, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
		if err != nil {
			return count, errDisorder
		}
		if (last >= 0 || x.stream.begun) && id != last+1 {
			return count, errDisorder
		}
		last = id
		count++
	}
	x.stream.last = last
	return count, nil
}

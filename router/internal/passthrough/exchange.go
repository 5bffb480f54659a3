package passthrough

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
)

// exchange carries one request from its admission to its final answer.
type exchange struct {
	edge   *Handler
	call   *call
	ticket *ticket
	w      http.ResponseWriter
	ctx    context.Context
	// last is the backend server's failure that was kept for the caller, if any.
	lastFailure *answer
	// ran says that the request may have run.
	mayHaveRun bool
	// stream is the part of a stream that went to the caller.
	stream stream
	// patience ends the wait in the queue, at arrival and after each attempt.
	queueTimer *time.Timer
}

// run asks for decisions and follows them until one final answer is out.
func (e *Handler) run(w http.ResponseWriter, c *call) {
	remaining := c.deadline.Sub(e.clock.Now())
	ctx, cancel := context.WithTimeout(c.request.Context(), max(remaining, 0))
	defer cancel()
	x := &exchange{edge: e, call: c, w: w, ctx: ctx, stream: stream{lastEvent: c.caller.LastEventID}}
	r := c.decisionRequest()
	x.ticket = e.driver.open(r)
	defer e.driver.close(x.ticket)
	x.queueTimer = time.AfterFunc(passthrough.MaxQueueWait(&r, e.clock.Now()), func() {
		e.driver.Handle(passthrough.QueueWaitExpired{Request: x.ticket.id})
	})
	defer x.queueTimer.Stop()
	for !x.step() {
		x.queueTimer.Reset(passthrough.MaxQueueWait(&r, e.clock.Now()))
	}
}

// step waits for one command and follows it. It says whether the request has ended.
func (x *exchange) step() bool {
	select {
	case c := <-x.ticket.commands:
		return x.execute(c)
	case <-x.ctx.Done():
		x.expire()
		return true
	}
}

func (x *exchange) execute(c passthrough.Command) bool {
	switch c := c.(type) {
	case passthrough.Dispatch:
		return x.dispatch(c)
	case passthrough.Refuse:
		x.refuse(refusal{http.StatusServiceUnavailable, c.Reason, c.RetryAfter})
	case passthrough.Finish:
		x.finish(c.Reason)
	}
	return true
}

// expired ends a request whose time has passed, or whose caller has gone.
func (x *exchange) expire() {
	if x.call.request.Context().Err() != nil {
		x.edge.telemetry.callerLost(x.call, x.ctx.Err())
		panic(http.ErrAbortHandler)
	}
	if !x.mayHaveRun {
		x.refuse(refusal{http.StatusServiceUnavailable, passthrough.ReasonDeadline, retryElsewhereAfter})
		return
	}
	x.fail(http.StatusGatewayTimeout, reasonTimeout)
}

// refuse ends a request that has not run.
func (x *exchange) refuse(refused refusal) {
	if x.stream.begun {
		x.abort(refused.reason)
	}
	x.edge.refuse(x.w, x.call, refused)
}

// finish ends a request that ran or may have run, with the backend server's own failure
// where there is one.
func (x *exchange) finish(reason passthrough.Reason) {
	if x.lastFailure == nil || x.stream.begun {
		x.fail(http.StatusBadGateway, reasonMayHaveRun)
		return
	}
	x.edge.telemetry.finished(x.call, x.lastFailure.status, reason)
	x.writeAnswer(x.lastFailure)
}

// fail ends a request that may have run, without an answer. Its status promises nothing.
func (x *exchange) fail(status int, reason passthrough.Reason) {
	if x.stream.begun {
		x.abort(reason)
	}
	x.edge.telemetry.finished(x.call, status, reason)
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	writeAll(x.w, []byte(string(reason)+"\n"))
}

// abort breaks the caller's connection, so that a part of an answer does not look whole.
func (x *exchange) abort(reason passthrough.Reason) {
	x.edge.telemetry.finished(x.call, 0, reason)
	panic(http.ErrAbortHandler)
}

// deliver hands a whole answer to the caller, unchanged.
func (x *exchange) writeAnswer(a *answer) {
	h := x.w.Header()
	x.copyHeaders(a.header)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	x.w.WriteHeader(a.status)
	writeAll(x.w, a.body)
}

// copyHeaders copies a backend server's headers. No header of our own is added: net/http
// leaves out what is set to nil.
func (x *exchange) copyHeaders(from http.Header) {
	h := x.w.Header()
	for name, values := range x.edge.headers.ResponseHeaders(from) {
		h[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
}

// dispatch runs one attempt, unless the configuration forbids it by now.
func (x *exchange) dispatch(d passthrough.Dispatch) bool {
	if _, denied := x.edge.resolve(x.call); denied != nil {
		if x.mayHaveRun {
			x.fail(http.StatusBadGateway, denied.reason)
			return true
		}
		x.refuse(*denied)
		return true
	}
	a := x.newAttempt(d)
	out := a.run(x.ctx)
	x.edge.telemetry.attempted(x.call, d, out)
	x.mayHaveRun = x.mayHaveRun || out.result.MayHaveRun()
	if out.load != nil && !out.loadReported {
		x.edge.driver.Handle(passthrough.LoadReported{Server: d.Server.ID, Load: *out.load})
	}
	limit := out.limit
	if out.loadReported {
		limit = nil
	}
	if x.ctx.Err() != nil && out.result != passthrough.Completed {
		x.edge.driver.Handle(passthrough.AttemptEnded{Request: x.ticket.id, Result: passthrough.Abandoned, Limit: limit})
		x.expire()
		return true
	}
	if out.answer != nil {
		x.lastFailure = out.answer
	}
	x.edge.driver.Handle(passthrough.AttemptEnded{
		Request: x.ticket.id, Result: out.result, Begun: x.stream.begun,
		Misdirected: out.misdirected, Leaving: out.leaving, ConnectionLost: out.connectionLost, EventInterval: out.eventInterval,
		Confidence: out.confidence, Limit: limit,
	})
	if out.result != passthrough.Completed {
		return false
	}
	x.complete(out)
	return true
}

// complete gives the caller the rest of a whole answer.
func (x *exchange) complete(out outcome) {
	status := http.StatusOK
	if out.answer != nil {
		status = out.answer.status
		x.writeAnswer(out.answer)
	}
	x.edge.telemetry.finished(x.call, status, "")
}

// attempt prepares one attempt.
func (x *exchange) newAttempt(d passthrough.Dispatch) *attempt {
	c := x.call
	team := ""
	if c.team != nil {
		team = c.team.Name
	}
	lastEvent := int64(-1)
	if x.stream.begun {
		lastEvent = x.stream.lastEvent
	}
	now := x.edge.clock.Now()
	return &attempt{
		exchange: x, server: d.Server, startedAt: now, firstByteTimeout: d.FirstByteTimeout,
		header: x.edge.headers.WriteAttempt(c.request.Header, seam.Attempt{
			Server: d.Server.ID, Team: team, Remaining: c.deadline.Sub(now), Model: d.Model,
			Priority: passthrough.EffectivePriority(c.team, c.route), LastEventID: lastEvent,
		}),
	}
}

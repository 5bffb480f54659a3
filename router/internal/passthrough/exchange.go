package passthrough

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
)

// exchange executes one request from its admission to its final response.
type exchange struct {
	handler *Handler
	call    *call
	ticket  *ticket
	w       http.ResponseWriter
	ctx     context.Context
	// lastFailure is the last complete response of a failed attempt, nil for none. The caller
	// gets it if no later attempt succeeds.
	lastFailure *response
	// mayHaveRun is true if some attempt may have run the request.
	mayHaveRun bool
	// stream is the progress of the streamed response to the caller.
	stream stream
	// responses is what is held of the backend servers' responses, pending of the stream that is relayed.
	responses, pending hold
	// queueTimer ends the request's wait in the queue. It is started on arrival and again after
	// each attempt.
	queueTimer *time.Timer
}

// run submits the request to decision/passthrough and executes the commands for it until the final
// response is written.
func (h *Handler) run(w http.ResponseWriter, c *call) {
	remaining := c.deadline.Sub(h.clock.Now())
	ctx, cancel := context.WithTimeout(c.request.Context(), max(remaining, 0))
	defer cancel()
	x := &exchange{handler: h, call: c, w: w, ctx: ctx, stream: stream{lastEventID: c.caller.LastEventID},
		responses: hold{bytes: h.held, direction: toCaller}, pending: hold{bytes: h.held, direction: toCaller}}
	defer x.responses.release()
	defer x.pending.release()
	h.shutdown.add(x, cancel)
	defer h.shutdown.remove(x)
	if !c.route.Retryable() {
		k := newRequestKey(c.caller.Key, c.caller.RequestID)
		if !h.recent.begin(k, h.clock.Now()) {
			x.fail(http.StatusBadGateway, reasonMayHaveRun)
			return
		}
		defer func() { h.recent.end(k, x.mayHaveRun, h.clock.Now()) }()
	}
	r := c.decisionRequest()
	x.ticket = h.driver.open(r)
	defer h.driver.close(x.ticket)
	x.queueTimer = time.AfterFunc(passthrough.MaxQueueWait(&r, h.clock.Now()), func() {
		h.driver.Handle(passthrough.QueueWaitExpired{Request: x.ticket.id})
	})
	defer x.queueTimer.Stop()
	for !x.step() {
		x.queueTimer.Reset(passthrough.MaxQueueWait(&r, h.clock.Now()))
	}
}

// step waits for one command and executes it. It reports whether the request has ended.
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
		if x.mayHaveRun {
			x.finish(c.Reason)
			return true
		}
		x.call.forecast, x.call.timeLeft = c.Forecast, c.TimeLeft
		x.call.admission = c.Admission
		x.refuse(refusal{http.StatusServiceUnavailable, c.Reason, c.RetryAfter})
	case passthrough.Finish:
		x.finish(c.Reason)
	}
	return true
}

// expire ends a request whose deadline has passed or whose caller has disconnected.
func (x *exchange) expire() {
	if x.call.request.Context().Err() != nil {
		x.handler.telemetry.logCallerLost(x.call, x.ctx.Err())
		panic(http.ErrAbortHandler)
	}
	if !x.mayHaveRun {
		x.refuse(refusal{http.StatusServiceUnavailable, passthrough.ReasonDeadline, retryElsewhereAfter})
		return
	}
	x.fail(http.StatusGatewayTimeout, reasonTimeout)
}

// refuse ends a request that did not run.
func (x *exchange) refuse(refused refusal) {
	if x.stream.begun {
		x.abort(refused.reason) // panics
	}
	x.handler.refuse(x.w, x.call, refused)
}

// finish ends a request that ran or may have run. The caller gets the backend server's response to
// the last failed attempt, if there is one.
func (x *exchange) finish(reason passthrough.Reason) {
	if x.lastFailure == nil || x.stream.begun {
		x.fail(http.StatusBadGateway, reasonMayHaveRun)
		return
	}
	x.handler.telemetry.logFinished(x.call, x.lastFailure.status, reason)
	x.writeResponse(x.lastFailure)
}

// fail ends a request that may have run and has no response. The status must not imply that it
// did not run.
func (x *exchange) fail(status int, reason passthrough.Reason) {
	if x.stream.begun {
		x.abort(reason) // panics
	}
	x.handler.telemetry.logFinished(x.call, status, reason)
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	writeAll(x.w, []byte(string(reason)+"\n"))
}

// abort closes the caller's connection, so that a partial response does not look complete. It does
// not return: it panics with http.ErrAbortHandler.
func (x *exchange) abort(reason passthrough.Reason) {
	x.handler.telemetry.logFinished(x.call, 0, reason)
	if !x.call.request.ProtoAtLeast(1, 1) {
		resetOnClose(x.call.request.Context()) // such a response ends with its connection
	}
	panic(http.ErrAbortHandler)
}

// writeResponse writes a complete response to the caller, unchanged.
func (x *exchange) writeResponse(resp *response) {
	h := x.w.Header()
	x.copyHeaders(resp.header)
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	x.w.WriteHeader(resp.status)
	writeAll(x.w, resp.body)
}

// copyHeaders copies a backend server's headers. Content-Type and Date are set to nil if the server
// sent none, since net/http would add its own.
func (x *exchange) copyHeaders(from http.Header) {
	h := x.w.Header()
	for name, values := range x.handler.headers.ResponseHeaders(from) {
		h[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
}

// dispatch runs one attempt, unless the configuration in force no longer permits the request. It
// reports whether the request has ended.
func (x *exchange) dispatch(d passthrough.Dispatch) bool {
	if _, denied := x.handler.resolve(x.call); denied != nil {
		if x.mayHaveRun {
			x.fail(http.StatusBadGateway, denied.reason)
			return true
		}
		x.refuse(*denied)
		return true
	}
	a := x.newAttempt(d)
	out := a.run(x.ctx)
	if a.conn != nil {
		out.peer = a.conn.peer
	}
	out.grantWait = a.grantWait
	out.heldUnread = out.connectionLost && x.handler.streams.anyStalled(d.Server, x.handler.clock.Now())
	x.handler.telemetry.logAttempt(x.call, d, out)
	x.mayHaveRun = x.mayHaveRun || out.result.MayHaveRun()
	if out.load != nil && !out.loadReported {
		x.handler.driver.Handle(passthrough.LoadReported{Server: d.Server.ID, StartTime: d.Server.StartTime, Load: *out.load})
	}
	limit := out.limit
	if out.loadReported {
		limit = nil
	}
	if (x.ctx.Err() != nil || out.callerLost) && out.result != passthrough.Completed {
		end := passthrough.AttemptEnded{Request: x.ticket.id, Result: passthrough.Abandoned, Limit: limit}
		if out.serverFailed && x.ctx.Err() == nil {
			end.Result, end.Final, end.Begun, end.ConnectionLost = out.result, true, true, out.connectionLost
		}
		x.handler.driver.Handle(end)
		x.expire()
		return true
	}
	if out.response != nil {
		x.lastFailure = out.response
	}
	x.handler.driver.Handle(passthrough.AttemptEnded{
		Request: x.ticket.id, Result: out.result, Begun: x.stream.begun,
		Misdirected: out.misdirected, Leaving: out.leaving, ConnectionLost: out.connectionLost, EventInterval: out.eventInterval,
		Confidence: out.confidence, Limit: limit, Events: out.events, GivenUp: out.givenUp,
		ViaPeer: out.peer != "", TunnelLost: out.tunnelLost, PathLost: out.pathLost, NoPermit: out.noPermit, NoGrant: out.noGrant, GrantAfter: out.grantAfter, Declined: out.declined,
		CallerStalled: out.callerStalled, HeldUnread: out.heldUnread,
	})
	if out.result != passthrough.Completed {
		return false
	}
	x.complete(out)
	return true
}

// complete ends a request that succeeded. It writes a plain response; a stream was already written.
func (x *exchange) complete(out outcome) {
	status := http.StatusOK
	if out.response != nil {
		status = out.response.status
		x.writeResponse(out.response)
	}
	x.handler.telemetry.logFinished(x.call, status, "")
}

// newAttempt prepares an attempt.
func (x *exchange) newAttempt(d passthrough.Dispatch) *attempt {
	c := x.call
	team := ""
	if c.team != nil {
		team = c.team.Name
	}
	lastEventID := int64(-1)
	if x.stream.begun {
		lastEventID = x.stream.lastEventID
	}
	now := x.handler.clock.Now()
	return &attempt{
		exchange: x, server: d.Server, startedAt: now, forecast: d.Forecast, firstByteTimeout: d.FirstByteTimeout, permitPeers: d.Peers,
		holders: d.Holders, grantRequest: d.GrantRequest, grantWait: d.GrantWait,
		statement: seam.Attempt{
			Server: d.Server.ID, Team: team, Model: d.Model,
			Priority: passthrough.EffectivePriority(c.team, c.route), LastEventID: lastEventID,
		},
	}
}

package api

import (
	"context"
	"math"
	"net/http"
	"time"

	"masticplank.example/coordination/ledger"
	"masticplank.example/decision"
	"masticplank.example/router/internal/driver"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/wire"
)

// exchange is one caller's request from arrival to its one final answer. One
// goroutine owns it.
type exchange struct {
	s      *Server
	w      http.ResponseWriter
	r      *http.Request
	caller caller
	req    decision.Request
	key    idempotencyKey
	ticket *driver.Ticket
	start  time.Time

	// chat is set for model work, call for a plain service.
	chat *wire.ChatRequest
	call *serviceCall

	// claimed is the claim of a non-idempotent request; nil before it is won.
	claimed *claim
	// held is the answer kept back until the decision says Deliver.
	heldAnswer *answer
	// bill adds up over all attempts; cost is in the manifest's unit.
	bill ledger.Bill
	cost float64
	// tokensBefore is what the attempts before the present one generated.
	tokensBefore uint64
	// rejected says that the engine held something against the request itself.
	rejectedByServer bool
	// sent says that a part of an answer went to the caller.
	responseStarted bool
	// over says that the caller has the final answer, or can get none.
	done bool

	firstToken       time.Duration
	tokenIntervals   int
	tokenIntervalSum time.Duration
}

// answer is a whole answer of one attempt, not yet with the caller.
type answer struct {
	attempt decision.AttemptID
	version decision.VersionID
	status  int
	header  http.Header
	body    []byte
	// events are a held stream's, in order.
	events []string
	text   string
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, c caller, req decision.Request, key idempotencyKey) *exchange {
	return &exchange{
		s:      s,
		w:      w,
		r:      r,
		caller: c,
		req:    req,
		key:    key,
		start:  time.Now(),
		bill:   ledger.Bill{Team: c.team.ID, RequestID: key.id},
	}
}

// run follows the decision's commands until the request has ended.
func (x *exchange) run() {
	if reason := x.s.Gate.MayRun(x.req.Idempotent); reason != "" {
		x.finish(decisionRefusal(reason, retryDelay))
		return
	}
	x.ticket = x.s.Driver.Submit(x.req)
	x.req.ID = x.ticket.ID
	defer x.ticket.Close()
	ctx, cancel := x.context()
	defer cancel()
	for !x.done {
		cmd, err := x.ticket.Next(ctx)
		if err != nil {
			x.abandon()
			return
		}
		x.execute(ctx, cmd)
	}
}

// context ends when the caller goes away; but work that may not be repeated is
// seen through once it was dispatched, so that its outcome can be recorded. It
// is bounded by the deadline in either case.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	parent := x.r.Context()
	if !x.req.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	// The decision ends requests at their deadline; this is the backstop.
	return context.WithDeadline(parent, x.req.Deadline.Add(deadlineGrace))
}

// deadlineSlack leaves the decision time to end a request by itself.
const deadlineGrace = 2 * time.Second

func (x *exchange) execute(ctx context.Context, cmd decision.Command) {
	switch c := cmd.(type) {
	case decision.Dispatch:
		x.dispatch(ctx, c)
	case decision.Deliver:
		x.deliver(ctx, c)
	case decision.Refuse:
		x.releaseClaim()
		x.finish(decisionRefusal(c.Reason, c.RetryAfter))
	case decision.Fail:
		x.finish(failure(c.Result, x.req.Idempotent))
	}
}

// failure is the outcome of a request whose last attempt ended without an
// answer. A broken connection does not tell a server that died before the effect
// from one whose reply was lost after it. For work that may not be repeated that
// is unknown: a caller who is told of a failure reserves again under a new key.
func failure(result decision.AttemptResult, idempotent bool) outcome.Outcome {
	if result == decision.AttemptCrashed && !idempotent {
		result = decision.AttemptUnknown
	}
	switch result {
	case decision.AttemptFailed:
		return outcome.Outcome{Kind: outcome.Failed, Code: "backend_server_failed", Message: "the backend server ran the request and failed"}
	case decision.AttemptCrashed:
		return outcome.Outcome{Kind: outcome.Failed, Code: "backend_server_crashed", Message: "the backend server died while it ran the request"}
	default:
		return outcome.Outcome{Kind: outcome.Unknown, Code: "outcome_unknown", Message: "the request may have run; its answer was lost"}
	}
}

// dispatch checks once more, after any wait, that the work may still run here,
// then runs the attempt. A check that fails gives the slot back as not run, and
// the decision, which has been told the same by then, says what comes next.
func (x *exchange) dispatch(ctx context.Context, d decision.Dispatch) {
	if !x.mayDispatch(d) {
		x.reportAttempt(d, decision.AttemptNotRun, false)
		return
	}
	if !x.req.Idempotent && x.claimed == nil {
		if refusal := x.acquireClaim(ctx); refusal != nil {
			x.reportAttempt(d, decision.AttemptNotRun, false)
			x.ticket.Send(decision.RequestCancelled{Request: x.req.ID})
			x.finish(*refusal)
			return
		}
		// Winning the claim took time; the manifest may have moved on.
		if !x.mayDispatch(d) {
			x.reportAttempt(d, decision.AttemptNotRun, false)
			return
		}
	}
	x.runAttempt(ctx, d)
}

// mayDispatch reads the gate and the manifest in force now.
func (x *exchange) mayDispatch(d decision.Dispatch) bool {
	if x.s.Gate.MayRun(x.req.Idempotent) != "" {
		return false
	}
	index := x.s.Manifests.Current()
	if index == nil {
		return false
	}
	if d.Version == "" {
		_, known, allowed := index.Service(x.caller.team.ID, string(x.req.Service))
		return known && allowed
	}
	v, known := index.Version(string(d.Version))
	if !known || v.State == manifest.StateWithdrawn {
		return false
	}
	return index.MayUse(x.caller.team.ID, string(d.Version))
}

// ended reports an attempt's end to the decision.
func (x *exchange) reportAttempt(d decision.Dispatch, result decision.AttemptResult, leaving bool) {
	x.ticket.Send(decision.AttemptEnded{
		Request:         x.req.ID,
		Attempt:         d.Attempt,
		Result:          result,
		Tokens:          int(x.bill.OutputTokens - x.tokensBefore),
		ResponseStarted: x.responseStarted,
		Leaving:         leaving,
	})
}

// deliver ends the request with a held answer. An answer that has flowed
// already needs nothing more.
func (x *exchange) deliver(ctx context.Context, c decision.Deliver) {
	if x.heldAnswer == nil || x.heldAnswer.attempt != c.Attempt {
		return
	}
	if !x.settleBill(ctx) {
		return
	}
	x.finishWithAnswer(x.heldAnswer)
}

// settle makes the bill durable, before the last of the answer goes out. A call
// without a price, and a request that the engine rejected, have none.
func (x *exchange) settleBill(ctx context.Context) bool {
	if x.cost == 0 && x.bill.OutputTokens == 0 {
		return true
	}
	if err := x.writeBill(ctx); err != nil {
		x.finish(outcome.Outcome{
			Kind:       outcome.Unknown,
			Code:       "bill_not_durable",
			Message:    "the request ran, but its bill could not be recorded, so its answer is not given",
			RetryAfter: retryDelay,
		})
		return false
	}
	return true
}

// record writes the bill, its cost rounded to the ledger's unit once.
func (x *exchange) writeBill(ctx context.Context) error {
	x.bill.CostMicros = int64(math.Round(x.cost * ledger.MicrosPerUnit))
	return x.s.Biller.Record(ctx, x.bill)
}

// finish ends the request with an answer of the router's own. Where a part of
// an answer is out already, it breaks the connection instead: a cut stream must
// never look complete.
func (x *exchange) finish(o outcome.Outcome) {
	if x.done {
		return
	}
	x.done = true
	x.observe(o)
	if x.responseStarted {
		panic(http.ErrAbortHandler)
	}
	x.setWriteDeadline()
	writeOutcome(x.w, o)
}

// abandon ends a request that nobody waits for: the engine's work is cancelled
// and what it generated is billed once.
func (x *exchange) abandon() {
	x.ticket.Send(decision.RequestCancelled{Request: x.req.ID})
	if x.done {
		return
	}
	if x.bill.OutputTokens > 0 {
		x.bill.Canceled = true
		// Nobody is left to be told of an error; the bill is best effort here.
		_ = x.writeBill(context.WithoutCancel(x.r.Context()))
	}
	x.finish(outcome.Outcome{Kind: outcome.Unknown, Code: "cancelled", Message: "the request was cancelled"})
}

func (x *exchange) observe(final outcome.Outcome) {
	o := Observation{
		Team:       x.caller.team.ID,
		Version:    x.bill.Version,
		Outcome:    string(final.Kind),
		Code:       final.Code,
		FirstToken: x.firstToken,
		Duration:   time.Since(x.start),
		Cost:       x.cost,
	}
	if x.tokenIntervals > 0 {
		o.InterToken = x.tokenIntervalSum / time.Duration(x.tokenIntervals)
	}
	x.s.Recorder.Observe(o)
}

package passthrough

import (
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
)

// Edge is the callers' side.
type Handler struct {
	headers   Headers
	config    *ConfigState
	driver    *Driver
	dialer    *dialer
	clock     Clock
	telemetry *telemetry
	// starting holds requests back until the process knows what it needs.
	startGate *startGate
	// stopping says how far the end of the process is.
	shutdown *shutdown
	// conns counts callers' connections.
	conns *callerConns
}

// call is one request of a caller, read whole.
type call struct {
	request *http.Request
	caller  seam.Caller
	// uri is the request's target as the caller wrote it, path its path.
	uri  string
	path string
	body []byte
	// maxBody bounds the body's bytes.
	maxBody int64
	// route is that of arrival, team the newest known.
	route *passthrough.Route
	team  *passthrough.Team
	// arrived, and deadline, when the caller must have a final answer.
	arrived  time.Time
	deadline time.Time
}

// refusal is an answer of the router's own.
type refusal struct {
	status int
	reason passthrough.Reason
	// after tells when to come back; 0 for no word on it.
	retryAfter time.Duration
}

// The reasons that the edge gives.
const (
	reasonNoConfig    passthrough.Reason = "no_configuration"
	reasonNoRoute     passthrough.Reason = "no_such_route"
	reasonKey         passthrough.Reason = "unknown_key"
	reasonTooLarge    passthrough.Reason = "body_too_large"
	reasonNoAttemptID passthrough.Reason = "attempt_id_missing"
	reasonMayHaveRun  passthrough.Reason = "may_have_run"
	reasonTimeout     passthrough.Reason = "timeout"
)

// retrySoon is told where another instance can take the request now.
const retryElsewhereAfter = 200 * time.Millisecond

// ServeHTTP implements http.Handler.
func (e *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	c := &call{request: req, caller: e.headers.ReadCaller(req.Header), arrived: e.clock.Now()}
	c.uri = req.RequestURI
	if !strings.HasPrefix(c.uri, "/") {
		c.uri = req.URL.RequestURI()
	}
	c.path, _, _ = strings.Cut(c.uri, "?")
	if e.conns.overLimit() {
		w.Header().Set("Connection", "close")
	}
	e.startGate.wait(req.Context())
	if denied := e.admit(c); denied != nil {
		e.refuse(w, c, *denied)
		return
	}
	if denied := e.readBody(w, c); denied != nil {
		e.refuse(w, c, *denied)
		return
	}
	e.run(w, c)
}

// admit finds the route and the team, by the configuration in force.
func (e *Handler) admit(c *call) *refusal {
	route, denied := e.resolve(c)
	c.route = route
	if denied != nil {
		return denied
	}
	if e.shutdown.refuses(route.Kind) {
		return &refusal{http.StatusServiceUnavailable, passthrough.ReasonStopping, retryElsewhereAfter}
	}
	wait := route.Timeout
	if c.caller.Timeout > 0 {
		wait = min(wait, c.caller.Timeout)
	}
	c.deadline = e.shutdown.capDeadline(c.arrived.Add(wait))
	return nil
}

// look finds the route and the team by the configuration as it is now, and says why the
// request must not run, if so. It is asked at arrival and before each dispatch. While the
// configuration is too old, nothing is refused for good by it.
func (e *Handler) resolve(c *call) (*passthrough.Route, *refusal) {
	index := e.config.Index()
	if index == nil {
		return nil, &refusal{http.StatusServiceUnavailable, reasonNoConfig, retryElsewhereAfter}
	}
	c.maxBody = index.Limits.MaxBodyBytes
	route := index.Route(c.request.Host, c.path)
	if route == nil {
		return nil, e.deny(http.StatusNotFound, reasonNoRoute)
	}
	c.team = index.Team(c.caller.Key)
	if !index.NeedsKey(route) {
		return route, nil
	}
	if !e.config.Fresh() {
		return route, &refusal{http.StatusServiceUnavailable, passthrough.ReasonNotFresh, retryElsewhereAfter}
	}
	if c.team == nil {
		return route, e.deny(http.StatusUnauthorized, reasonKey)
	}
	return route, nil
}

// denied refuses for good, unless the configuration may be an old one.
func (e *Handler) deny(status int, reason passthrough.Reason) *refusal {
	if !e.config.Fresh() {
		return &refusal{http.StatusServiceUnavailable, passthrough.ReasonNotFresh, retryElsewhereAfter}
	}
	return &refusal{status: status, reason: reason}
}

// readBody reads the body whole: a request that is to run again must be at hand.
func (e *Handler) readBody(w http.ResponseWriter, c *call) *refusal {
	if c.caller.RequestID == "" {
		return &refusal{status: http.StatusBadRequest, reason: reasonNoAttemptID}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, c.request.Body, c.maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	case err != nil:
		e.telemetry.callerLost(c, err)
		panic(http.ErrAbortHandler) // the caller has broken off; there is nobody to answer
	}
	c.body = body
	return nil
}

// refuse answers without having run the request.
func (e *Handler) refuse(w http.ResponseWriter, c *call, refused refusal) {
	e.telemetry.refused(c, refused)
	h := w.Header()
	if refused.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', 3, 64))
	}
	if refused.reason == passthrough.ReasonStopping {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(refused.status)
	writeAll(w, []byte(string(refused.reason)+"\n"))
}

// writeAll writes to a caller. A caller that has gone shows by its context too, and no
// other way of telling it is left.
func writeAll(w io.Writer, text []byte) { _, _ = w.Write(text) }

// fraction turns a text into a fraction of 1 that is alike at all instances.
func hashFraction(text string) float64 {
	const bits = 53
	return float64(hashOf(text)>>(64-bits)) / (1 << bits)
}

func hashOf(texts ...string) uint64 {
	h := fnv.New64a()
	for _, t := range texts {
		_, _ = io.WriteString(h, t) // a hash takes every write
		_, _ = h.Write([]byte{0})
	}
	x := h.Sum64()
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9 // spreads the last characters over all bits
	return x ^ x>>32
}

// describe makes the decision's request of a call.
func (c *call) decisionRequest() passthrough.Request {
	team := ""
	if c.team != nil {
		team = c.team.Name
	}
	key := c.caller.Session
	if key == "" {
		key = c.caller.RequestID
	}
	r := passthrough.Request{
		Route: c.route, Service: c.route.PickService(hashFraction("service" + c.caller.RequestID)),
		Team: team, Priority: passthrough.EffectivePriority(c.team, c.route), Session: c.caller.Session,
		PromptTokens: c.caller.PromptTokens, MaxTokens: c.caller.MaxTokens,
		RolloutPosition: hashFraction("roll-out" + key),
		Fingerprint:     hashOf(c.path, c.caller.Key, string(c.body)),
		TargetTime:      c.arrived.Add(c.route.TargetLatency), Deadline: c.deadline,
		ChooseModel: c.caller.ChooseModel && len(c.route.Models) > 0,
	}
	if c.caller.Prefix != "" {
		r.PrefixHash = hashOf(c.caller.Prefix)
		r.PrefixTokens = c.caller.PrefixTokens
	}
	return r
}

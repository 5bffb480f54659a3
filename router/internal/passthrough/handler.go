package passthrough

import (
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
	"masticplank.example/router/internal/grant"
)

// Handler serves callers' requests: it checks each against the configuration in force, submits it
// to the driver, and writes the final response.
type Handler struct {
	headers   Headers
	config    *ConfigState
	driver    *Driver
	dialer    *dialer
	grants    *grant.Client
	clock     Clock
	telemetry *telemetry
	// startGate delays requests until the process has read what it needs to serve them.
	startGate *startGate
	// shutdown decides what happens to new requests while the process stops.
	shutdown *shutdown
	// conns counts callers' connections.
	conns *callerConns
	// held bounds the bytes that are held for callers and backend servers.
	held *heldBytes
	// streams are the streams that are relayed now.
	streams streamSet
	// recent are the ids of requests that must not run again.
	recent *recentIDs
}

// call is one request of a caller with its whole body.
type call struct {
	request *http.Request
	caller  seam.Caller
	// uri is the request target as the caller sent it, path its path.
	uri  string
	path string
	body []byte
	// bodyUnread is true until the whole body has been read.
	bodyUnread bool
	// maxBody is the maximum size of the body in bytes.
	maxBody int64
	// route is the route found on arrival; team is the team by the newest configuration, nil for
	// none.
	route *passthrough.Route
	team  *passthrough.Team
	// admission is what a refusal for lack of room was based on; nil for none.
	admission *passthrough.AdmissionState
	// arrived is when the request arrived, deadline when the final response to the caller is
	// due.
	arrived  time.Time
	deadline time.Time
	// forecast and timeLeft are those of a refusal for passthrough.ReasonNoTime, for the log.
	forecast, timeLeft time.Duration
}

// refusal is the router's own response to a request that did not run.
type refusal struct {
	status int
	reason passthrough.Reason
	// retryAfter is the value of the Retry-After header; 0 for none.
	retryAfter time.Duration
}

// The reasons that only this package gives; decision/passthrough defines the others.
const (
	reasonNoConfig   passthrough.Reason = "no_configuration"
	reasonNoRoute    passthrough.Reason = "no_such_route"
	reasonUnknownKey passthrough.Reason = "unknown_key"
	reasonTooLarge   passthrough.Reason = "body_too_large"
	// reasonNoRoom: as many bytes are held for callers and backend servers as may be.
	reasonNoRoom      passthrough.Reason = "held_bytes_at_bound"
	reasonNoRequestID passthrough.Reason = "attempt_id_missing"
	reasonMayHaveRun  passthrough.Reason = "may_have_run"
	// reasonTimeout: the deadline passed and the request may have run.
	reasonTimeout passthrough.Reason = "timeout"
)

// retryElsewhereAfter is the Retry-After of a refusal for a reason that concerns this instance only:
// another instance may serve the request at once.
const retryElsewhereAfter = 200 * time.Millisecond

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	c := &call{request: req, caller: h.headers.ReadCaller(req.Header), arrived: h.clock.Now(), bodyUnread: req.ContentLength != 0}
	c.uri = req.RequestURI
	if !strings.HasPrefix(c.uri, "/") {
		c.uri = req.URL.RequestURI()
	}
	c.path, _, _ = strings.Cut(c.uri, "?")
	if h.conns.overLimit() || h.shutdown.closesConnections() {
		w.Header().Set("Connection", "close")
	}
	h.startGate.wait(req.Context())
	if denied := h.admit(c); denied != nil {
		h.refuse(w, c, *denied)
		return
	}
	h.boundWrites(w, c)
	body := &hold{bytes: h.held, direction: toServer}
	defer body.release()
	if denied := h.readBody(w, c, body); denied != nil {
		h.refuse(w, c, *denied)
		return
	}
	h.run(w, c)
}

// admit sets the call's route, team and deadline by the configuration in force. It returns the
// refusal if the request is refused, else nil.
func (h *Handler) admit(c *call) *refusal {
	route, denied := h.resolve(c)
	c.route = route
	if denied != nil {
		return denied
	}
	if h.shutdown.refuses(route.Kind) {
		return &refusal{http.StatusServiceUnavailable, passthrough.ReasonStopping, retryElsewhereAfter}
	}
	timeout := route.Timeout
	if c.caller.Timeout > 0 {
		timeout = min(timeout, c.caller.Timeout)
	}
	c.deadline = h.shutdown.capDeadline(c.arrived.Add(timeout))
	return nil
}

// resolve sets the call's team and body limit by the configuration in force and returns the route,
// and a refusal if the request must not run. It is called on arrival and before each dispatch. While
// the configuration is too old, it refuses nothing permanently.
func (h *Handler) resolve(c *call) (*passthrough.Route, *refusal) {
	// A configuration that is in force after a confirmation is at least as new as the confirmed one.
	fresh := h.config.Fresh()
	index := h.config.Index()
	if index == nil {
		return nil, &refusal{http.StatusServiceUnavailable, reasonNoConfig, retryElsewhereAfter}
	}
	c.maxBody = index.Limits.MaxBodyBytes
	route := index.Route(c.request.Host, c.path)
	if route == nil {
		return nil, deny(http.StatusNotFound, reasonNoRoute, fresh)
	}
	c.team = index.Team(c.caller.Key)
	if !index.NeedsKey(route) {
		return route, nil
	}
	if !fresh {
		return route, &refusal{http.StatusServiceUnavailable, passthrough.ReasonNotFresh, retryElsewhereAfter}
	}
	if c.team == nil {
		return route, deny(http.StatusUnauthorized, reasonUnknownKey, fresh)
	}
	return route, nil
}

// deny returns a permanent refusal, or a temporary one while the configuration may be outdated.
func deny(status int, reason passthrough.Reason, fresh bool) *refusal {
	if !fresh {
		return &refusal{http.StatusServiceUnavailable, passthrough.ReasonNotFresh, retryElsewhereAfter}
	}
	return &refusal{status: status, reason: reason}
}

// refuse responds to a request that did not run.
func (h *Handler) refuse(w http.ResponseWriter, c *call, refused refusal) {
	h.telemetry.logRefused(c, refused, h.held)
	header := w.Header()
	if refused.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', 3, 64))
	}
	if refused.reason == passthrough.ReasonStopping || refused.reason == passthrough.ReasonNoPath {
		header.Set("Connection", "close")
	}
	// A body for which there was no room, or that did not come in time, does not delay its refusal.
	drainFirst := c.bodyUnread && refused.reason != reasonNoRoom && refused.reason != passthrough.ReasonDeadline
	if drainFirst {
		c.drain(w)
	} else if c.bodyUnread {
		header.Set("Connection", "close")
	}
	text := string(refused.reason) + "\n"
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(refused.status)
	writeAll(w, []byte(text))
	if c.bodyUnread && !drainFirst {
		_ = http.NewResponseController(w).Flush() // a writer of a test may have none
		c.drain(w)
	}
}

// writeAll writes to a caller. A write error is ignored: the request's context reports a
// disconnected caller too, and nothing more can be sent to it.
func writeAll(w io.Writer, text []byte) { _, _ = w.Write(text) }

// hashFraction hashes a text to a number in [0, 1), the same at all instances.
func hashFraction(text string) float64 {
	const bits = 53
	return float64(hashOf(text)>>(64-bits)) / (1 << bits)
}

// hashOf hashes texts to 64 bits: FNV-1a with a final mix. All instances must compute the same value,
// also across versions of the router.
func hashOf(texts ...string) uint64 {
	h := fnv.New64a()
	for _, t := range texts {
		_, _ = io.WriteString(h, t) // a hash's Write never fails
		_, _ = h.Write([]byte{0})
	}
	x := h.Sum64()
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9 // spreads the last bytes over all bits
	return x ^ x>>32
}

// decisionRequest returns the call as a request to decision/passthrough.
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
		Team: team, Priority: passthrough.EffectivePriority(c.team, c.route), Session: shortName(c.caller.Session),
		PromptTokens: c.caller.PromptTokens, MaxTokens: c.caller.MaxTokens, ExpectedTokens: c.caller.ExpectedTokens,
		RolloutPosition: hashFraction("roll-out" + key),
		Fingerprint:     hashOf(c.path, c.caller.Key, string(c.body)),
		TargetTime:      c.arrived.Add(c.route.TargetLatency), Deadline: c.deadline,
		ChooseModel: c.caller.ChooseModel && len(c.route.Models) > 0,
	}
	for _, part := range c.caller.SharedParts[:min(len(c.caller.SharedParts), passthrough.MaxPromptParts)] {
		r.Parts = append(r.Parts, passthrough.PartOf(hashOf(r.Service, part)))
	}
	if c.caller.Prefix != "" {
		r.PrefixHash = hashOf(c.caller.Prefix)
		r.PrefixTokens = c.caller.PrefixTokens
	}
	return r
}

package grant

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/httpanswer"
)

const (
	// askTimeout bounds a question to a holder, forwardTimeout one that is passed on, which must be shorter: the
	// instance that was asked answers by itself after that.
	askTimeout     = 300 * time.Millisecond
	forwardTimeout = 120 * time.Millisecond
	// silentPause is for how long an instance that gave no answer is not asked.
	silentPause = 500 * time.Millisecond
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 4 << 10
	// maxIdleConns is how many connections to one holder are kept, idleTimeout for how long.
	maxIdleConns = 4
	idleTimeout  = 10 * time.Second
)

var (
	// ErrNoHolder means that none of the holders has answered.
	ErrNoHolder = errors.New("no holder of the backend server's rate has answered")
	// ErrDeclined means that the holder's list does not have the backend server, or not as one that may get requests.
	ErrDeclined = errors.New("the holder of the backend server's rate does not send to the server")
)

// Decider decides about grants at this instance.
type Decider interface {
	// Grant answers a question; ok is false if the server gets no requests.
	Grant(in passthrough.GrantRequest) (out passthrough.Grant, ok bool)
	// SeniorHolders returns the instances that rank before this one as holders of the server.
	SeniorHolders(server string) []string
}

// Client asks holders for grants, and answers peers as an http.Handler. It is safe for concurrent use.
type Client struct {
	self    string
	decider Decider
	// address returns the address of an instance by its name.
	address   func(name string) (string, bool)
	transport *httpanswer.Transport
	now       func() time.Time
	// onSilent is called when an instance gave no answer.
	onSilent func(holder string, err error)

	mu sync.Mutex
	// silentUntil are the instances that gave no answer, until when they are not asked.
	silentUntil map[string]time.Time
}

// NewClient returns a client of the instance with the name. address returns the address of an instance by its name;
// onSilent is called when one gave no answer.
func NewClient(self string, decider Decider, address func(name string) (string, bool), now func() time.Time, onSilent func(holder string, err error)) *Client {
	d := net.Dialer{Timeout: askTimeout}
	return &Client{
		self: self, decider: decider, address: address, now: now, onSilent: onSilent, silentUntil: map[string]time.Time{},
		transport: httpanswer.NewTransport(&http.Transport{DialContext: d.DialContext, DisableCompression: true, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxAnswerBytes}),
	}
}

// Ask asks the holders, in rank, until one answers. It returns ErrNoHolder, ErrDeclined or the context's error.
func (c *Client) Ask(ctx context.Context, holders []string, in passthrough.GrantRequest) (passthrough.Grant, error) {
	return c.ask(ctx, holders, question{GrantRequest: in}, askTimeout)
}

func (c *Client) ask(ctx context.Context, holders []string, q question, timeout time.Duration) (passthrough.Grant, error) {
	for _, name := range holders {
		if name == c.self {
			return c.decide(q.GrantRequest).unpack()
		}
		address, known := c.address(name)
		if !known || c.isSilent(name) {
			continue
		}
		out, err := c.askOne(ctx, address, q, timeout)
		if err == nil {
			return out.unpack()
		}
		if ctx.Err() != nil {
			return passthrough.Grant{}, ctx.Err()
		}
		c.setSilent(name, err)
	}
	return passthrough.Grant{}, ErrNoHolder
}

// decide answers a question at this instance.
func (c *Client) decide(in passthrough.GrantRequest) answer {
	out, ok := c.decider.Grant(in)
	return answer{Given: out.Given, WaitUS: out.Wait.Microseconds(), Declined: !ok}
}

// askOne asks one instance.
func (c *Client) askOne(ctx context.Context, address string, q question, timeout time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path+"?"+q.query(), nil)
	if err != nil {
		return answer{}, err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	var out answer
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err == nil {
		err = json.Unmarshal(body, &out)
	}
	return out, err
}

func (c *Client) isSilent(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now().Before(c.silentUntil[name])
}

// setSilent keeps an instance from being asked for a time.
//
// Load: hundreds of requests for the servers of a holder that has lost power. Harm prevented: each waits for its answer.
func (c *Client) setSilent(name string, err error) {
	c.mu.Lock()
	wasSilent := c.now().Before(c.silentUntil[name])
	c.silentUntil[name] = c.now().Add(silentPause)
	c.mu.Unlock()
	if !wasSilent {
		c.onSilent(name, err)
	}
}

// ServeHTTP implements http.Handler.
func (c *Client) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuestion(r.URL.Query())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c.answer(r.Context(), q)) // a peer that has left needs no answer
}

// answer answers a peer. The instances that rank before this one are asked first, unless the question was passed on.
func (c *Client) answer(ctx context.Context, q question) answer {
	if !q.forwarded {
		q.forwarded = true
		out, err := c.ask(ctx, c.decider.SeniorHolders(q.Server), q, forwardTimeout)
		switch {
		case err == nil:
			return answer{Given: out.Given, WaitUS: out.Wait.Microseconds()}
		case errors.Is(err, ErrDeclined):
			return answer{Declined: true}
		case ctx.Err() != nil:
			return answer{Declined: true} // nobody waits for the answer
		}
	}
	return c.decide(q.GrantRequest)
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

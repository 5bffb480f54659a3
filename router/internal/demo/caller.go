package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/wire"
)

const (
	// outcomeConnectionLost is the outcome of a request whose response was
	// missing, incomplete or malformed.
	outcomeConnectionLost = "cut"
	// callTimeout bounds one request of the load.
	callTimeout = 60 * time.Second
	// maxAnswerBytes bounds the body of a response.
	maxAnswerBytes = 16 << 20
)

// result is the result of one request as seen by its caller.
type result struct {
	request  *request
	start    time.Time
	duration time.Duration
	// firstToken is set for streams.
	firstToken time.Duration
	status     int
	// outcome is the value of wire.HeaderOutcome, or outcomeConnectionLost.
	outcome string
	// code is the code in the body of an error response.
	code    string
	version string
	// text is the text of a complete chat answer, body the body of a response
	// that was not streamed. Both are empty for an error response.
	text string
	body []byte
	err  error
}

func (r result) completed() bool { return r.outcome == string(outcome.Completed) }

// caller sends the load to the entry instances in turn, as a load balancer does.
type caller struct {
	client *http.Client
	// addrs are the instances' API addresses.
	addrs []string
	// tokens holds the session tokens by team. pins holds, for the same sessions,
	// the version that each pins, by model.
	tokens map[string][]string
	pins   map[string][]map[string]string
}

func newCaller(addrs []string) *caller {
	return &caller{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: callTimeout},
		addrs:  addrs,
		tokens: map[string][]string{},
		pins:   map[string][]map[string]string{},
	}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// openSessions opens the sessions that the load uses.
func (c *caller) openSessions(ctx context.Context) error {
	for _, t := range demoTeams() {
		for i := range sessionsPerTeam {
			var opened struct {
				Token    string            `json:"token"`
				Versions map[string]string `json:"versions"`
			}
			req, err := c.newRequest(ctx, i, t, http.MethodPost, "/v1/sessions", nil)
			if err != nil {
				return err
			}
			resp, err := c.client.Do(req)
			if err != nil {
				return trace.Wrap(err)
			}
			body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
			resp.Body.Close()
			if err != nil {
				return trace.Wrap(err)
			}
			if err := json.Unmarshal(body, &opened); err != nil || opened.Token == "" {
				return trace.BadParameter("opening a session: status %d: %s", resp.StatusCode, body)
			}
			c.tokens[t.id] = append(c.tokens[t.id], opened.Token)
			c.pins[t.id] = append(c.pins[t.id], opened.Versions)
		}
	}
	return nil
}

func (c *caller) newRequest(ctx context.Context, instance int, t team, method, path string, body []byte) (*http.Request, error) {
	url := "http://" + c.addrs[instance%len(c.addrs)] + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	// Without GetBody, net/http does not automatically retry a request that has a
	// body.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+t.key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// send sends r to an instance and reads the whole response.
func (c *caller) send(ctx context.Context, r *request, instance int) result {
	out := result{request: r, start: time.Now(), outcome: outcomeConnectionLost}
	req, err := c.buildRequest(ctx, r, instance)
	if err != nil {
		out.err = err
		return out
	}
	resp, err := c.client.Do(req)
	if err != nil {
		out.err = err
		out.duration = time.Since(out.start)
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	out.version = resp.Header.Get(wire.HeaderVersion)
	if err := out.readBody(resp); err != nil {
		out.err = err
	} else {
		out.outcome = resp.Header.Get(wire.HeaderOutcome)
	}
	out.duration = time.Since(out.start)
	return out
}

func (c *caller) buildRequest(ctx context.Context, r *request, instance int) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(r.body)
	switch r.kind {
	case kindRead:
		method, path = http.MethodGet, "/services/"+serviceShop+r.path
	case kindReserve, kindDuplicate:
		path = "/services/" + serviceShop + r.path
	default:
		encoded, err := json.Marshal(r.chat)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		body = encoded
	}
	req, err := c.newRequest(ctx, instance, r.team, method, path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(wire.HeaderIdempotencyKey, r.key)
	if r.task != "" {
		req.Header.Set(wire.HeaderTask, r.task)
	}
	if r.kind == kindSession {
		req.Header.Set(wire.HeaderSession, c.tokens[r.team.id][r.session])
	}
	return req, nil
}

// readBody reads the response's body. An error means that it was incomplete or
// malformed.
func (out *result) readBody(resp *http.Response) error {
	if resp.StatusCode >= http.StatusMultipleChoices {
		var e wire.Error
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&e); err != nil {
			return err
		}
		out.code = e.Error.Code
		return nil
	}
	if out.request.chat.Stream {
		return out.readStream(resp.Body)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	out.body = body
	if out.request.chat.Messages == nil {
		return nil
	}
	var chat wire.ChatResponse
	if err := json.Unmarshal(body, &chat); err != nil {
		return err
	}
	if len(chat.Choices) != 1 || chat.Choices[0].Message == nil {
		return errors.New("the answer has no message")
	}
	out.text = chat.Choices[0].Message.Content
	return nil
}

// readStream concatenates a stream's text. A stream without end marker is an
// error.
func (out *result) readStream(body io.Reader) error {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxAnswerBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == wire.StreamEnd {
			out.text = text.String()
			return nil
		}
		var chunk wire.ChatResponse
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return fmt.Errorf("chunk: %w", err)
		}
		if out.firstToken == 0 {
			out.firstToken = time.Since(out.start)
		}
		for _, choice := range chunk.Choices {
			if choice.Delta != nil {
				text.WriteString(choice.Delta.Content)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("the stream ended without its end marker")
}

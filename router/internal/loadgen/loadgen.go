// Package loadgen generates a bounded load of chat requests and measures the
// latency of the answers. It sends to loopback only and ends by itself.
package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/router/internal/wire"
)

// Target is the endpoint and the content of the requests.
type Target struct {
	// URL of the chat endpoint.
	URL string
	// Key is the team's API key; empty for an engine called directly.
	Key string
	// Body is the encoded wire.ChatRequest.
	Body []byte
}

// RequestSpec describes the requests to send.
type RequestSpec struct {
	// Model or version; empty leaves the choice to the cascade.
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
}

// NewTarget returns the chat endpoint below base, such as
// "http://127.0.0.1:8080". It returns an error if base is not a loopback IP
// address, so that load never reaches anything but stand-ins.
func NewTarget(base, key string, spec RequestSpec) (Target, error) {
	u, err := url.Parse(base)
	if err != nil {
		return Target{}, trace.BadParameter("address %q: %v", base, err)
	}
	ip := net.ParseIP(u.Hostname())
	if ip == nil || !ip.IsLoopback() {
		return Target{}, trace.BadParameter("address %q is not a loopback IP address: load is sent to loopback only", base)
	}
	body, err := json.Marshal(wire.ChatRequest{
		Model:     spec.Model,
		Messages:  []wire.Message{{Role: "user", Content: spec.Prompt}},
		MaxTokens: spec.MaxTokens,
		Stream:    spec.Stream,
	})
	if err != nil {
		return Target{}, trace.Wrap(err)
	}
	return Target{URL: base + "/v1/chat/completions", Key: key, Body: body}, nil
}

// Sample holds the times from the start of a request to the end of the response
// and to the first byte of its body.
type Sample struct{ Total, FirstByte time.Duration }

// TotalTime selects Sample.Total, for Result.Quantile.
func TotalTime(s Sample) time.Duration { return s.Total }

// TimeToFirstByte selects Sample.FirstByte, for Result.Quantile.
func TimeToFirstByte(s Sample) time.Duration { return s.FirstByte }

// Caller sends one request at a time on its own connection, so that callers do
// not wait for each other in a shared pool. It is not safe for concurrent use.
type Caller struct{ client *http.Client }

// NewCaller returns a caller that must be closed with Close.
func NewCaller() Caller {
	return Caller{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// Close drops the caller's connection.
func (c Caller) Close() { c.client.CloseIdleConnections() }

// Send sends one request and reads the whole response.
func (c Caller) Send(ctx context.Context, t Target) (Sample, error) {
	began := time.Now()
	resp, err := c.Open(ctx, t)
	if err != nil {
		return Sample{}, err
	}
	defer resp.Body.Close()
	var one [1]byte
	if _, err := io.ReadFull(resp.Body, one[:]); err != nil {
		return Sample{}, trace.Wrap(err)
	}
	first := time.Since(began)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return Sample{}, trace.Wrap(err)
	}
	return Sample{Total: time.Since(began), FirstByte: first}, nil
}

// maxErrorBytes bounds the part of an error response that is kept in the error.
const maxErrorBytes = 512

// Open sends one request and returns the response with its body unread. Any
// status other than 200 is an error.
func (c Caller) Open(ctx context.Context, t Target) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL, bytes.NewReader(t.Body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if t.Key != "" {
		req.Header.Set("Authorization", "Bearer "+t.Key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		resp.Body.Close()
		return nil, trace.Errorf("%s: %s", resp.Status, body)
	}
	return resp, nil
}

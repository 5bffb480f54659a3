// Package adminclient queries instances and publishes manifests over their admin
// listeners, for the operators' tool.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/router/internal/admin"
	"masticplank.example/router/internal/manifest"
)

const (
	// requestTimeout bounds one request. It is long because publishing waits for
	// the log.
	requestTimeout = 15 * time.Second
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 32 << 20
)

// Client calls the admin listener of one instance. It is safe for concurrent use.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client of the admin listener at base, such as
// "http://10.0.0.7:9090" or "10.0.0.7:9090". key is the operator's key; it may be
// empty, except for Publish.
func New(base, key string) *Client {
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &Client{base: strings.TrimRight(base, "/"), key: key, http: &http.Client{Timeout: requestTimeout}}
}

// Base returns the base URL of the instance's admin listener.
func (c *Client) Base() string { return c.base }

// Get requests path and decodes the JSON body into out. For a status of 400 or above it
// decodes the body and returns an error.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	_, err := c.do(ctx, http.MethodGet, path, nil, out)
	return err
}

// Publish sends a manifest. A response with an outcome is returned whatever its
// status; an error means that no response with an outcome was received.
func (c *Client) Publish(ctx context.Context, m manifest.Manifest, rebase bool) (admin.PublishResponse, error) {
	body, err := manifest.Encode(m)
	if err != nil {
		return admin.PublishResponse{}, trace.Wrap(err)
	}
	path := "/manifest"
	if rebase {
		path += "?rebase=true"
	}
	var response admin.PublishResponse
	status, err := c.do(ctx, http.MethodPost, path, body, &response)
	if err != nil && response.Outcome == "" {
		return response, trace.Wrap(err, "status %d", status)
	}
	return response, nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, trace.BadParameter("address %s: %v", c.base, err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, trace.ConnectionProblem(err, "no answer from %s", c.base)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return resp.StatusCode, trace.ConnectionProblem(err, "the connection to %s broke before the end of its answer", c.base)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return resp.StatusCode, trace.BadParameter("%s answered %s with a body that cannot be decoded: %s", c.base, resp.Status, strings.TrimSpace(string(data)))
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return resp.StatusCode, trace.Errorf("%s answered %s", c.base, resp.Status)
	}
	return resp.StatusCode, nil
}

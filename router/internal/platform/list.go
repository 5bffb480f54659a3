package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"masticplank.example/router/internal/wire"
)

// Limits of the list client.
const (
	listTimeout  = 3 * time.Second
	maxListBytes = 32 << 20
)

// ListClient fetches the platform's list over HTTP. It implements InstanceLister
// and is safe for concurrent use.
type ListClient struct {
	base   string
	client *http.Client

	mu   sync.Mutex
	etag string
	last wire.InstanceList
}

var _ InstanceLister = (*ListClient)(nil)

// NewListClient returns a client of the list service at base, an http URL.
func NewListClient(base string) *ListClient {
	return &ListClient{base: strings.TrimRight(base, "/"), client: newClient()}
}

// Fetch implements InstanceLister. After an error the caller should keep the list
// that it has. The request carries the ETag of the last list, so that an unchanged
// list is not sent again: a long list fetched every second would be most of an
// instance's traffic.
func (c *ListClient) Fetch(ctx context.Context) (wire.InstanceList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/instances", nil)
	if err != nil {
		return wire.InstanceList{}, err
	}
	tag, last := c.cached()
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return wire.InstanceList{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && tag != "" {
		return last, nil
	}
	body, err := readAll(resp.Body, maxListBytes)
	if err != nil {
		return wire.InstanceList{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return wire.InstanceList{}, statusError(resp.StatusCode, body)
	}
	var list wire.InstanceList
	if err := json.Unmarshal(body, &list); err != nil {
		return wire.InstanceList{}, fmt.Errorf("platform: malformed list: %w", err)
	}
	c.store(resp.Header.Get("ETag"), list)
	return list, nil
}

func (c *ListClient) cached() (tag string, list wire.InstanceList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.last
}

func (c *ListClient) store(tag string, list wire.InstanceList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.last = tag, list
}

package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"masticplank.example/coordination/platformlog"
	"masticplank.example/router/internal/wire"
)

// Limits of the log client.
const (
	// DefaultAppendTimeout bounds an append, in addition to its context's
	// deadline.
	DefaultAppendTimeout = 5 * time.Second
	// longPollMargin is added to the wait of a long poll, so that its answer has
	// time to arrive.
	longPollMargin = 5 * time.Second
	// maxPageBytes bounds the answer to one read: it has room for the largest
	// entry in base64 and for a page of ordinary ones.
	maxPageBytes = 64 << 20
)

// LogClient is a client of the platform's log service over HTTP. It implements
// platformlog.Log and is safe for concurrent use.
type LogClient struct {
	base          string
	client        *http.Client
	appendTimeout time.Duration
}

var _ platformlog.Log = (*LogClient)(nil)

// NewLogClient returns a client of the log service at base, an http URL.
func NewLogClient(base string) *LogClient {
	return &LogClient{
		base:          strings.TrimRight(base, "/"),
		client:        newClient(),
		appendTimeout: DefaultAppendTimeout,
	}
}

// Append implements platformlog.Log.
//
// An error wraps ErrNotAppended in two cases only: there was no connection, so
// that no byte can have left this process, or the service itself refused with the
// code not_appended. Every other error wraps ErrUnknown: a request that was
// written, even in part, may take effect later.
func (c *LogClient) Append(ctx context.Context, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.appendTimeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/append", bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", platformlog.ErrNotAppended, err)
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := c.client.Do(req)
	if err != nil {
		if connected.Load() {
			return 0, fmt.Errorf("%w: %w", platformlog.ErrUnknown, err)
		}
		return 0, fmt.Errorf("%w: %w", platformlog.ErrNotAppended, err)
	}
	defer resp.Body.Close()
	body, err := readAll(resp.Body, maxShortBodyBytes)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", platformlog.ErrUnknown, err)
	}
	return decodeAppended(resp.StatusCode, body)
}

// Read implements platformlog.Log.
func (c *LogClient) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platformlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+longPollMargin)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/read?"+query.Encode(), nil)
	if err != nil {
		return platformlog.Page{}, fmt.Errorf("%w: %w", platformlog.ErrUnavailable, err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return platformlog.Page{}, fmt.Errorf("%w: %w", platformlog.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	body, err := readAll(resp.Body, maxPageBytes)
	if err != nil {
		return platformlog.Page{}, fmt.Errorf("%w: %w", platformlog.ErrUnavailable, err)
	}
	return decodePage(resp.StatusCode, body, from)
}

// decodeAppended decodes the answer to an append and returns the entry's offset.
func decodeAppended(status int, body []byte) (uint64, error) {
	if status == http.StatusOK {
		var appended struct {
			Offset *uint64 `json:"offset"`
		}
		if err := json.Unmarshal(body, &appended); err != nil || appended.Offset == nil {
			return 0, fmt.Errorf("%w: malformed answer", platformlog.ErrUnknown)
		}
		return *appended.Offset, nil
	}
	if e, ok := errorBody(body); ok && e.Code == wire.CodeNotAppended {
		return 0, fmt.Errorf("%w: %w", platformlog.ErrNotAppended, statusError(status, body))
	}
	return 0, fmt.Errorf("%w: %w", platformlog.ErrUnknown, statusError(status, body))
}

// decodePage decodes the answer to a read from offset from. It accepts only a page
// whose entries have no gaps, start at from and lie from the first kept offset to
// below the head: a reader that folded anything else would differ from the other
// readers permanently. If from has been trimmed, it returns ErrTrimmed and a page
// that states only the first kept offset and the head.
func decodePage(status int, body []byte, from uint64) (platformlog.Page, error) {
	if status != http.StatusOK && status != http.StatusGone {
		return platformlog.Page{}, fmt.Errorf("%w: %w", platformlog.ErrUnavailable, statusError(status, body))
	}
	var page wire.LogPage
	if err := json.Unmarshal(body, &page); err != nil {
		return platformlog.Page{}, fmt.Errorf("%w: malformed page: %w", platformlog.ErrUnavailable, err)
	}
	if page.First > page.Head {
		return platformlog.Page{}, fmt.Errorf("%w: page with first offset %d beyond head %d",
			platformlog.ErrUnavailable, page.First, page.Head)
	}
	if status == http.StatusGone {
		out := platformlog.Page{Head: page.Head, First: page.First}
		return out, fmt.Errorf("%w: offset %d, first kept is %d", platformlog.ErrTrimmed, from, page.First)
	}
	return convertPage(page, from)
}

// convertPage converts a page and checks the offsets of its entries.
func convertPage(page wire.LogPage, from uint64) (platformlog.Page, error) {
	out := platformlog.Page{Head: page.Head, First: page.First}
	for i, entry := range page.Entries {
		want := from + uint64(i)
		if entry.Offset != want || entry.Offset >= page.Head || entry.Offset < page.First {
			return platformlog.Page{}, fmt.Errorf("%w: page with offset %d where %d was expected (first %d, head %d)",
				platformlog.ErrUnavailable, entry.Offset, want, page.First, page.Head)
		}
		out.Entries = append(out.Entries, platformlog.Entry{
			Offset: entry.Offset,
			Time:   entry.Time,
			Data:   entry.Data,
		})
	}
	return out, nil
}

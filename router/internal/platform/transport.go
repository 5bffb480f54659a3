package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"masticplank.example/router/internal/httpanswer"
	"masticplank.example/router/internal/wire"
)

// Limits of the clients. maxHeadBytes bounds the heads of answers, maxShortBodyBytes
// the answers to appends and ratings.
const (
	maxHeadBytes      = 64 << 10
	dialTimeout       = 2 * time.Second
	idleTimeout       = 90 * time.Second
	maxIdlePerHost    = 64
	maxShortBodyBytes = 64 << 10
)

// newClient returns an HTTP client that neither follows redirects nor uses a
// proxy: only an answer that comes directly from the platform's service proves
// what happened to a request.
func newClient() *http.Client {
	return &http.Client{
		Transport: httpanswer.NewTransport(&http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost:    maxIdlePerHost,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// readAll reads a body of at most limit bytes; a longer one is an error.
func readAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("platform: answer longer than %d bytes", limit)
	}
	return data, nil
}

// statusError returns the error of an answer whose status is not a success.
func statusError(status int, body []byte) error {
	if e, ok := errorBody(body); ok {
		return fmt.Errorf("platform: status %d: %s: %s", status, e.Code, e.Message)
	}
	return fmt.Errorf("platform: status %d", status)
}

// errorBody decodes the error body that all services use.
func errorBody(body []byte) (wire.ErrorBody, bool) {
	var e wire.Error
	if err := json.Unmarshal(body, &e); err != nil || e.Error.Code == "" {
		return wire.ErrorBody{}, false
	}
	return e.Error, true
}

// Package standintest calls stand-ins in tests without a socket, so that the
// tests can run in a synctest bubble.
package standintest

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
)

// Call is one request to a handler.
type Call struct {
	Method string
	Path   string
	Body   string
	Header http.Header
	// Context of the request; nil means context.Background().
	Context context.Context
}

// Response is the response to a Call.
type Response struct {
	// Status is 200 if the handler aborted before it set one.
	Status int
	Header http.Header
	Body   string
	// Aborted is true if the handler closed the connection without completing
	// the response; Body then holds what was written before.
	Aborted bool
}

// Do sends c to h and returns the response.
func Do(h http.Handler, c Call) (reply Response) {
	if c.Context == nil {
		c.Context = context.Background()
	}
	r := httptest.NewRequestWithContext(c.Context, c.Method, c.Path, strings.NewReader(c.Body))
	for name, values := range c.Header {
		r.Header[name] = values
	}
	w := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			reply.Aborted = true
		}
		reply.Status = w.Code
		reply.Header = w.Header()
		reply.Body = w.Body.String()
	}()
	h.ServeHTTP(w, r)
	return reply
}

// SetFaults replaces the faults of the stand-in h by those in json.
func SetFaults(h http.Handler, json string) Response {
	return Do(h, Call{Method: http.MethodPut, Path: "/faults", Body: json})
}

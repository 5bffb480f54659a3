package api

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"masticplank.example/decision"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/upstream"
	"masticplank.example/router/internal/wire"
)

// serviceCall is a call of a plain service.
type serviceCall struct {
	service manifest.Service
	method  string
	// path and query are sent to the service; /services/{name} is stripped.
	path       string
	query      string
	header     http.Header
	body       []byte
	idempotent bool
}

// forwardedHeaders are the caller's headers that are sent on to the service; all
// others are dropped or set by the router.
var forwardedHeaders = []string{"Accept", "Content-Type", "Accept-Language"}

// service serves /services/{service}/...
func (s *Server) service(w http.ResponseWriter, r *http.Request, c caller) {
	name := mux.Vars(r)["service"]
	svc, known, allowed := c.index.Service(c.team.ID, name)
	switch {
	case !known:
		writeOutcome(w, routerRefusal("unknown_service", "no service "+name))
		return
	case !allowed:
		writeOutcome(w, routerRefusal("service_not_allowed", "the team may not call service "+name))
		return
	}
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		writeOutcome(w, *refusal)
		return
	}
	call := newServiceCall(r, svc, body)
	key, refusal := readIdempotencyKey(r, !call.idempotent)
	if refusal != nil {
		writeOutcome(w, *refusal)
		return
	}
	req, refusal := s.newRequest(r, c, key, body)
	if refusal != nil {
		writeOutcome(w, *refusal)
		return
	}
	req.Service = decision.ServiceID(name)
	req.Idempotent = call.idempotent
	call.header.Set(wire.HeaderIdempotencyKey, key.id)
	x := s.newExchange(w, r, c, req, key)
	x.serviceCall = call
	x.bill.Service = name
	x.run()
}

func newServiceCall(r *http.Request, svc manifest.Service, body []byte) *serviceCall {
	path := strings.TrimPrefix(r.URL.Path, "/services/"+svc.ID)
	call := &serviceCall{
		service:    svc,
		method:     r.Method,
		path:       path,
		query:      r.URL.RawQuery,
		header:     http.Header{},
		body:       body,
		idempotent: svc.Idempotent(r.Method, path),
	}
	for _, name := range forwardedHeaders {
		if v := r.Header.Get(name); v != "" {
			call.header.Set(name, v)
		}
	}
	return call
}

func (c *serviceCall) newCall(addr, nonce string) upstream.Call {
	url := "http://" + addr + c.path
	if c.query != "" {
		url += "?" + c.query
	}
	return upstream.Call{
		Method:     c.method,
		URL:        url,
		Header:     c.header.Clone(),
		Body:       c.body,
		Nonce:      nonce,
		Idempotent: c.idempotent,
	}
}

// readService reads a service's whole answer. Any status below 500 is the
// service's answer, which costs the service's price if the status is below 300;
// from 500 on the call ran and failed.
func (x *exchange) readService(ctx context.Context, d decision.Dispatch, resp *http.Response) (*answer, error) {
	body, err := upstream.ReadAll(ctx, resp, x.held.add)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return nil, &upstream.Failure{Result: decision.AttemptFailed, Err: errors.New(resp.Status)}
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		x.cost = x.serviceCall.service.Price
	}
	x.markFirstToken()
	return &answer{attempt: d.Attempt, status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// Package faults injects faults into stand-ins: a typed set of faults that is
// read and replaced over HTTP while the stand-in runs.
package faults

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"masticplank.example/router/internal/wire"
)

// Path is where every HTTP stand-in serves its faults: GET reads, PUT replaces.
const Path = "/faults"

// maxBodyBytes bounds the body of a PUT.
const maxBodyBytes = 1 << 20

// Always is the Count of a fault that is injected every time until it is replaced.
const Always Count = -1

// Count is how many more times a fault is injected: 0 means never; a negative
// number means always and is not decremented.
type Count int

// Common are the faults that every HTTP stand-in has.
type Common struct {
	// Down aborts the connection of each request, except those to Path, before the
	// request has any effect.
	Down bool `json:"down,omitempty"`
	// DelayMS delays the handling of each request, except those to Path, in
	// milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
}

// Delay returns DelayMS as a duration.
func (c Common) Delay() time.Duration {
	return time.Duration(c.DelayMS) * time.Millisecond
}

// Injector holds the faults T of one stand-in. The zero value injects none. It
// is safe for concurrent use.
type Injector[T any] struct {
	mu     sync.Mutex
	active T
}

// Get returns the current faults.
func (i *Injector[T]) Get() T {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.active
}

// Set replaces the faults.
func (i *Injector[T]) Set(set T) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.active = set
}

// Take reports whether to inject a fault now. pick returns the count of that
// fault, which Take decrements if it is positive.
func (i *Injector[T]) Take(pick func(*T) *Count) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	remaining := pick(&i.active)
	if *remaining == 0 {
		return false
	}
	if *remaining > 0 {
		*remaining--
	}
	return true
}

// ServeHTTP reads and replaces the faults as JSON. A malformed body or an
// unknown fault is refused with status 400 and changes nothing.
func (i *Injector[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		WriteJSON(w, http.StatusOK, i.Get())
	case http.MethodPut:
		i.put(w, r)
	default:
		WriteError(w, http.StatusMethodNotAllowed, "method_not_allowed", "use GET or PUT")
	}
}

func (i *Injector[T]) put(w http.ResponseWriter, r *http.Request) {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	var set T
	if err := dec.Decode(&set); err != nil {
		WriteError(w, http.StatusBadRequest, "malformed_faults", err.Error())
		return
	}
	i.Set(set)
	WriteJSON(w, http.StatusOK, set)
}

// AbortConnection closes the connection without completing the response, as if
// the process had died. It panics with http.ErrAbortHandler.
func AbortConnection() { panic(http.ErrAbortHandler) }

// Sleep waits for d. It returns false if the request's context ended first.
func Sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// WriteJSON answers with v as JSON. Write errors are ignored: the caller has
// disconnected.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError answers with the error body common to all services.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	body := wire.Error{Error: wire.ErrorBody{Code: code, Message: message}}
	WriteJSON(w, status, body)
}

// Middleware applies the common faults before next. Path stays reachable, so
// that the faults can be switched off again.
func Middleware(common func() Common, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path {
			next.ServeHTTP(w, r)
			return
		}
		if common().Down {
			AbortConnection()
		}
		if !Sleep(r, common().Delay()) {
			return
		}
		// Down may have been set during the delay.
		if common().Down {
			AbortConnection()
		}
		next.ServeHTTP(w, r)
	})
}

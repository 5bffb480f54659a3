// Package faults holds the switches of a stand-in: a typed set of faults that
// is read and replaced over HTTP while the stand-in runs.
package faults

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"masticplank.example/router/internal/wire"
)

// Path is where every stand-in serves its switches: GET reads, PUT replaces.
const Path = "/faults"

// maxBody bounds the body of a PUT.
const maxBody = 1 << 20

// Always as a Count means every time, until the switch is set again.
const Always Count = -1

// Count is how many more times a fault strikes: 0 never, Always each time.
type Count int

// Common are the faults that every stand-in has.
type Common struct {
	// Down cuts every connection before the request has any effect.
	Down bool `json:"down,omitempty"`
	// DelayMS is waited before each request is handled.
	DelayMS int `json:"delay_ms,omitempty"`
}

// Delay is DelayMS as a duration.
func (c Common) Delay() time.Duration {
	return time.Duration(c.DelayMS) * time.Millisecond
}

// Board holds the faults T of one stand-in. The zero value has no fault
// switched on. It is safe for concurrent use.
type Board[T any] struct {
	mu  sync.Mutex
	set T
}

// Get returns the faults as they are now.
func (b *Board[T]) Get() T {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.set
}

// Set replaces the faults.
func (b *Board[T]) Set(set T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set = set
}

// Take uses up one strike of the count that pick points at, and says whether
// the fault strikes now.
func (b *Board[T]) Take(pick func(*T) *Count) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := pick(&b.set)
	if *left == 0 {
		return false
	}
	if *left > 0 {
		*left--
	}
	return true
}

// ServeHTTP reads and replaces the faults as JSON. A malformed body or an
// unknown fault is refused with status 400 and changes nothing.
func (b *Board[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		WriteJSON(w, http.StatusOK, b.Get())
	case http.MethodPut:
		b.put(w, r)
	default:
		WriteError(w, http.StatusMethodNotAllowed, "method_not_allowed", "use GET or PUT")
	}
}

func (b *Board[T]) put(w http.ResponseWriter, r *http.Request) {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	var set T
	if err := dec.Decode(&set); err != nil {
		WriteError(w, http.StatusBadRequest, "malformed_faults", err.Error())
		return
	}
	b.Set(set)
	WriteJSON(w, http.StatusOK, set)
}

// Cut ends the connection without an answer, as a process that dies would.
func Cut() { panic(http.ErrAbortHandler) }

// Sleep waits for d, and reports false where the request ended first.
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

// WriteJSON answers with v. A caller that has gone is no fault of the stand-in.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError answers with the error body that all services share.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	body := wire.Error{Error: wire.ErrorBody{Code: code, Message: message}}
	WriteJSON(w, status, body)
}

// Guard puts the common faults before next: Down cuts, DelayMS waits. The
// switches themselves stay reachable, so that a fault can be ended again.
func Guard(common func() Common, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path {
			next.ServeHTTP(w, r)
			return
		}
		if common().Down {
			Cut()
		}
		if !Sleep(r, common().Delay()) {
			return
		}
		// It may have gone down during the wait.
		if common().Down {
			Cut()
		}
		next.ServeHTTP(w, r)
	})
}

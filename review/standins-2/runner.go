package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// run is one run of a request at a backend server.
type run struct {
	server, id, tenant string
	began              time.Time
}

// runs are all runs.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// plainServer is a sound backend server of plain requests.
func (b *bed) plainServer(id string, work time.Duration, all *runs) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		attempt := r.Header.Get("Attempt-Id")
		if r.Header.Get("Expected-Instance") != id {
			h.Set("Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		all.add(run{server: id, id: attempt, tenant: r.Header.Get("Tenant"), began: time.Now()})
		b.rec.printf("server %s runs %s of tenant %q", id, attempt, r.Header.Get("Tenant"))
		time.Sleep(work)
		h.Set("Attempt-Id", attempt)
		h.Set("Response-Signature", "signed."+id)
		h.Set("Instance-Load", "1,0,6")
		_, _ = fmt.Fprintf(w, "answer of %s to %s", id, attempt)
	})
}

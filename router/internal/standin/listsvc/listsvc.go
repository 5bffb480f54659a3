// Package listsvc is a stand-in for the platform's list of live and leaving
// instances and backend servers.
//
//	GET    /instances             the list as of LagMS ago
//	PUT    /instances             replaces the list
//	PUT    /servers/{id}          adds or replaces one backend server
//	DELETE /servers/{id}          removes it
//	PUT    /instances/{id}        adds or replaces one entry instance
//	DELETE /instances/{id}        removes it
//	GET    /faults, PUT /faults   see Faults
package listsvc

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"masticplank.example/router/internal/standin/faults"
	"masticplank.example/router/internal/wire"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 32 << 20
	// maxHistory is how many lists, with the one in force, are kept for the
	// fault LagMS.
	maxHistory = 1024
)

// Config of the service.
type Config struct {
	// List is the initial list.
	List wire.InstanceList
	// Now is the service's clock; nil means time.Now.
	Now func() time.Time
}

// Faults of the list service.
type Faults struct {
	faults.Common
	// LagMS is the age of the list that readers get, in milliseconds.
	LagMS int `json:"lag_ms,omitempty"`
}

// snapshot is a list and the time from which it was in force.
type snapshot struct {
	since time.Time
	list  wire.InstanceList
}

// Server is the service. It is safe for concurrent use.
type Server struct {
	Faults  faults.Injector[Faults]
	now     func() time.Time
	handler http.Handler

	mu sync.Mutex
	// history holds the lists in order of time; the last one is in force.
	history []snapshot
}

// New returns a service with cfg.List in force.
func New(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Server{now: cfg.Now}
	s.history = []snapshot{{since: s.now(), list: cfg.List}}
	r := mux.NewRouter()
	r.Handle(faults.Path, &s.Faults)
	r.HandleFunc("/instances", s.getList).Methods(http.MethodGet)
	r.HandleFunc("/instances", s.putList).Methods(http.MethodPut)
	r.HandleFunc("/servers/{id}", s.putServer).Methods(http.MethodPut)
	r.HandleFunc("/servers/{id}", s.deleteServer).Methods(http.MethodDelete)
	r.HandleFunc("/instances/{id}", s.putInstance).Methods(http.MethodPut)
	r.HandleFunc("/instances/{id}", s.deleteInstance).Methods(http.MethodDelete)
	s.handler = faults.Middleware(func() faults.Common { return s.Faults.Get().Common }, r)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Update changes the list: edit gets a copy that it may modify, except for the
// slices inside the entries, which former lists share.
func (s *Server) Update(edit func(*wire.InstanceList)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.history[len(s.history)-1].list
	next := wire.InstanceList{
		Servers:   slices.Clone(last.Servers),
		Instances: slices.Clone(last.Instances),
	}
	edit(&next)
	s.history = append(s.history, snapshot{since: s.now(), list: next})
	if len(s.history) > maxHistory {
		s.history = slices.Delete(s.history, 0, len(s.history)-maxHistory)
	}
}

// asOf returns the list that was in force at t, or the oldest one kept.
func (s *Server) asOf(t time.Time) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].since.After(t) {
			return s.history[i]
		}
	}
	return s.history[0]
}

// getList answers with the list, or with 304 if If-None-Match names its ETag.
func (s *Server) getList(w http.ResponseWriter, r *http.Request) {
	lag := time.Duration(s.Faults.Get().LagMS) * time.Millisecond
	lagged := s.asOf(s.now().Add(-lag))
	tag := fmt.Sprintf(`"%d"`, lagged.since.UnixNano())
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	faults.WriteJSON(w, http.StatusOK, lagged.list)
}

func (s *Server) putList(w http.ResponseWriter, r *http.Request) {
	var list wire.InstanceList
	if !decode(w, r, &list) {
		return
	}
	s.Update(func(l *wire.InstanceList) { *l = list })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putServer(w http.ResponseWriter, r *http.Request) {
	var server wire.ListedServer
	if !decode(w, r, &server) {
		return
	}
	server.ID = mux.Vars(r)["id"]
	s.Update(func(l *wire.InstanceList) {
		l.Servers = append(slices.DeleteFunc(l.Servers, serverIs(server.ID)), server)
	})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteServer(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	s.Update(func(l *wire.InstanceList) {
		l.Servers = slices.DeleteFunc(l.Servers, serverIs(id))
	})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance wire.ListedInstance
	if !decode(w, r, &instance) {
		return
	}
	instance.ID = mux.Vars(r)["id"]
	s.Update(func(l *wire.InstanceList) {
		l.Instances = append(slices.DeleteFunc(l.Instances, instanceIs(instance.ID)), instance)
	})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteInstance(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	s.Update(func(l *wire.InstanceList) {
		l.Instances = slices.DeleteFunc(l.Instances, instanceIs(id))
	})
	w.WriteHeader(http.StatusNoContent)
}

func serverIs(id string) func(wire.ListedServer) bool {
	return func(s wire.ListedServer) bool { return s.ID == id }
}

func instanceIs(id string) func(wire.ListedInstance) bool {
	return func(i wire.ListedInstance) bool { return i.ID == id }
}

// decode decodes a JSON body and rejects unknown fields. On an error it answers
// 400 itself and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		faults.WriteError(w, http.StatusBadRequest, "malformed_request", err.Error())
		return false
	}
	return true
}

// Package logsvc is a stand-in for the platform's append-only log service.
//
//	POST /append                        body is the entry's data -> {"offset":N}
//	GET  /read?from=&limit=&wait_ms=    -> wire.LogPage; 410 if from is trimmed
//	POST /trim?before=                  trims the entries before an offset
//	GET  /faults, PUT /faults           see Faults
package logsvc

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"masticplank.example/router/internal/standin/faults"
	"masticplank.example/router/internal/wire"
)

// Limits of one request.
const (
	// MaxAppendBytes is the maximum size of an entry's data in bytes.
	MaxAppendBytes = 8 << 20
	// MaxReadEntries is the maximum number of entries in one response.
	MaxReadEntries = 1000
	// MaxLongPoll is the maximum wait of a read.
	MaxLongPoll = 30 * time.Second
)

// Config of the service. The zero value has no limits.
type Config struct {
	// Retention is how long an entry is kept; 0 means forever.
	Retention time.Duration
	// MaxEntries is the maximum number of entries kept; 0 means no limit.
	MaxEntries int
	// AppendRate is the rate, in appends per second, and the size of the token
	// bucket that limits appends; 0 means no limit.
	AppendRate int
	// Now is the service's clock; nil means time.Now.
	Now func() time.Time
}

// Faults of the log service.
type Faults struct {
	faults.Common
	// RefuseAppends answers appends with 503 and the code not_appended.
	RefuseAppends bool `json:"refuse_appends,omitempty"`
	// FailAppends answers appends with 500 after they took effect, without the
	// code not_appended.
	FailAppends faults.Count `json:"fail_appends,omitempty"`
	// LostReply aborts the connection after the append took effect.
	LostReply faults.Count `json:"lost_reply,omitempty"`
	// LostBefore aborts the connection before the append takes effect.
	LostBefore faults.Count `json:"lost_before,omitempty"`
	// LateEffectMS delays the effect of an append, in milliseconds, even after
	// the caller has timed out: its entry then appears later.
	LateEffectMS int `json:"late_effect_ms,omitempty"`
}

// Server is the service's HTTP handler. It is safe for concurrent use.
type Server struct {
	Faults  faults.Injector[Faults]
	store   *store
	limiter *rate.Limiter
	handler http.Handler
}

// New returns a service with an empty log.
func New(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	limit := rate.Inf
	if cfg.AppendRate > 0 {
		limit = rate.Limit(cfg.AppendRate)
	}
	s := &Server{
		store:   newStore(cfg.Now, cfg.Retention, cfg.MaxEntries),
		limiter: rate.NewLimiter(limit, max(1, cfg.AppendRate)),
	}
	r := mux.NewRouter()
	r.Handle(faults.Path, &s.Faults)
	r.HandleFunc("/append", s.serveAppend).Methods(http.MethodPost)
	r.HandleFunc("/read", s.serveRead).Methods(http.MethodGet)
	r.HandleFunc("/trim", s.serveTrim).Methods(http.MethodPost)
	s.handler = faults.Middleware(func() faults.Common { return s.Faults.Get().Common }, r)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Trim removes all entries before offset.
func (s *Server) Trim(offset uint64) { s.store.trimBefore(offset) }

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxAppendBytes))
	if err != nil {
		faults.WriteError(w, http.StatusRequestEntityTooLarge, wire.CodeNotAppended, err.Error())
		return
	}
	if s.Faults.Get().RefuseAppends {
		faults.WriteError(w, http.StatusServiceUnavailable, wire.CodeNotAppended, "appends are refused")
		return
	}
	if !s.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		faults.WriteError(w, http.StatusTooManyRequests, wire.CodeNotAppended, "too many appends")
		return
	}
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.LostBefore }) {
		faults.AbortConnection()
	}
	// Not bound to the request's context: an append that was received takes
	// effect even if the caller has disconnected.
	time.Sleep(time.Duration(s.Faults.Get().LateEffectMS) * time.Millisecond)
	offset := s.store.append(data)
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.LostReply }) {
		faults.AbortConnection()
	}
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.FailAppends }) {
		faults.WriteError(w, http.StatusInternalServerError, "internal", "failed after the append")
		return
	}
	faults.WriteJSON(w, http.StatusOK, wire.LogAppended{Offset: offset})
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	query, err := parseRead(r)
	if err != nil {
		faults.WriteError(w, http.StatusBadRequest, "malformed_request", err.Error())
		return
	}
	timer := time.NewTimer(query.wait)
	defer timer.Stop()
	for {
		page, kept, appended := s.store.read(query.from, query.limit)
		if !kept {
			faults.WriteJSON(w, http.StatusGone, page)
			return
		}
		if len(page.Entries) > 0 || query.wait == 0 {
			faults.WriteJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-appended:
		case <-timer.C:
			query.wait = 0
		case <-r.Context().Done():
			return
		}
		if s.Faults.Get().Down {
			faults.AbortConnection()
		}
	}
}

func (s *Server) serveTrim(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.ParseUint(r.URL.Query().Get("before"), 10, 64)
	if err != nil {
		faults.WriteError(w, http.StatusBadRequest, "malformed_request", err.Error())
		return
	}
	s.Trim(before)
	w.WriteHeader(http.StatusNoContent)
}

// readQuery holds the parameters of GET /read.
type readQuery struct {
	from  uint64
	limit int
	wait  time.Duration
}

func parseRead(r *http.Request) (readQuery, error) {
	values := r.URL.Query()
	from, err := strconv.ParseUint(values.Get("from"), 10, 64)
	if err != nil {
		return readQuery{}, err
	}
	query := readQuery{from: from, limit: MaxReadEntries}
	if text := values.Get("limit"); text != "" {
		limit, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return readQuery{}, err
		}
		query.limit = min(int(limit), MaxReadEntries)
	}
	if text := values.Get("wait_ms"); text != "" {
		wait, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return readQuery{}, err
		}
		query.wait = min(time.Duration(wait)*time.Millisecond, MaxLongPoll)
	}
	return query, nil
}

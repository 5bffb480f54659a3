package engine

import (
	"net/http"
	"strconv"
	"sync"

	"masticplank.example/router/internal/standin/faults"
	"masticplank.example/router/internal/wire"
)

// reportCache keeps the last load report until it is as old as ReportLag.
type reportCache struct {
	mu   sync.Mutex
	last wire.LoadReport
}

// loadReport returns a report that is at most ReportLag old, without cache
// events.
func (s *Server) loadReport() wire.LoadReport {
	s.report.mu.Lock()
	defer s.report.mu.Unlock()
	now := s.now()
	if !s.report.last.At.IsZero() && now.Sub(s.report.last.At) < s.cfg.ReportLag {
		return s.report.last
	}
	running, queued := s.slots.load()
	active := s.Faults.Get()
	s.report.last = wire.LoadReport{
		Running:  running,
		Queued:   queued,
		Slots:    s.cfg.Slots,
		Versions: s.orders.versions(),
		Leaving:  active.Leaving && !active.SilentLeaving,
		At:       now,
		CacheSeq: s.cache.lastSeq(),
	}
	return s.report.last
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	var since uint64
	if text := r.URL.Query().Get("since"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			faults.WriteError(w, http.StatusBadRequest, "malformed_request", err.Error())
			return
		}
		since = number
	}
	report := s.loadReport()
	report.Cache = s.cache.eventsBetween(since, report.CacheSeq)
	faults.WriteJSON(w, http.StatusOK, report)
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, id := range s.orders.versions() {
		list.Data = append(list.Data, modelItem{ID: id, Object: "model"})
	}
	faults.WriteJSON(w, http.StatusOK, list)
}

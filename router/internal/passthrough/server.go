package passthrough

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/metrics"
)

const (
	// idleMost is how long a connection stays open without a request: far longer than the
	// 15 s for which the operators' configurations let callers use it, since one that is
	// closed under a request on its way is an answer lost.
	idleMost = 2 * time.Minute
	// headerMost bounds the reading of a request's head; configurations allow 3 s.
	headerMost = 5 * time.Second
	// leaveRotation is how long after SIGTERM new requests are still served: the balancer
	// asks once a second and needs two misses, or three where one gets lost.
	leaveRotation = 3 * time.Second
	// stopMargin is the end of the grace time that is left for closing down.
	stopMargin = 600 * time.Millisecond
	// answerMargin is the part before that by which plain calls that came late have their
	// final answers.
	answerMargin = 200 * time.Millisecond
)

// server listens for callers, readiness and metrics.
type server struct {
	settings seam.Settings
	edge     *Edge
	known    *Knowledge
	driver   *Driver
	journal  *journal
	reg      gometrics.Registry
	log      *logging.Async

	ready   atomic.Bool
	callers *http.Server
	others  []*http.Server
	failed  func(error)
}

// start opens the listeners; readyPath is what the balancer asks.
func (s *server) start(readyPath, metricsAddress string) error {
	s.callers = &http.Server{
		Handler: s.edge, IdleTimeout: idleMost, ReadHeaderTimeout: headerMost, ConnState: s.edge.conns.track,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	if err := s.listen(s.callers, s.settings.FrontendAddr); err != nil {
		return err
	}
	ready := mux.NewRouter()
	ready.HandleFunc(readyPath, s.isReady).Methods(http.MethodGet)
	if err := s.open(ready, s.settings.ReadinessAddr); err != nil {
		return err
	}
	if metricsAddress == "" {
		return nil
	}
	page := mux.NewRouter()
	page.HandleFunc("/metrics", s.writeMetrics).Methods(http.MethodGet)
	return s.open(page, metricsAddress)
}

func (s *server) open(h http.Handler, address string) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerMost}
	s.others = append(s.others, srv)
	return s.listen(srv, address)
}

func (s *server) listen(srv *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.journal.emit(logging.EventListening, slog.String("addr", l.Addr().String()))
	go func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.journal.emit(logging.EventServeFailed, slog.String(logging.KeyError, err.Error()))
			s.failed(err)
		}
	}()
	return nil
}

// isReady answers the balancer.
func (s *server) isReady(w http.ResponseWriter, _ *http.Request) {
	stopping := s.edge.stopping.begun()
	ready := s.known.Ready() && !stopping
	if s.ready.Swap(ready) != ready {
		ev := logging.EventNotReady
		if ready {
			ev = logging.EventReady
		}
		s.journal.emit(ev, slog.Int64(keyAge, s.known.Age().Milliseconds()), slog.Bool("stopping", stopping))
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop takes the instance out of rotation, lets requests in progress end, and closes.
//
// Load: replacement of all instances, one after the other, while busy. Harm prevented:
// answers that are cut off, and requests that find a closed port. New requests are served
// until the balancer has noticed, and plain calls for as long as streams go on; then the
// connections are closed with an answer each.
func (s *server) stop(began time.Time) {
	grace := s.settings.Bounds.Grace - stopMargin
	answered := began.Add(grace - answerMargin)
	s.edge.stopping.leave(answered)
	_, running := s.driver.Load()
	s.journal.emit(logging.EventDrainBegin, slog.Int("running", running))
	s.driver.Tell(passthrough.Stopping{At: began.Add(grace)})
	time.Sleep(min(leaveRotation, grace/2))
	s.edge.stopping.enter(phaseFinishing)
	s.callers.SetKeepAlivesEnabled(false)
	left := grace - s.edge.clock.Now().Sub(began)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
	defer cancel()
	s.waitStreams(ctx, answered)
	s.edge.stopping.enter(phaseClosing)
	s.waitIdle(ctx)
	_, running = s.driver.Load()
	_ = s.callers.Close() // what is still open has had the whole grace time
	for _, srv := range s.others {
		_ = srv.Close()
	}
	if running > 0 {
		s.journal.emit(logging.EventDrainCut, slog.Int("running", running))
	} else {
		s.journal.emit(logging.EventDrainEnd)
	}
}

// waitStreams waits until no stream is in progress, or until the end of the time for new
// calls.
func (s *server) waitStreams(ctx context.Context, end time.Time) {
	for s.driver.Streams() > 0 && s.edge.clock.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, idlePoll, nil)
	}
}

// idlePoll is how often the end of the last request is looked for.
const idlePoll = 50 * time.Millisecond

// waitIdle waits until no request is in progress and a moment more, in which requests
// that crossed are answered.
func (s *server) waitIdle(ctx context.Context) {
	const quietPolls = 6
	for quiet := 0; quiet < quietPolls && ctx.Err() == nil; {
		waiting, running := s.driver.Load()
		quiet++
		if waiting+running > 0 {
			quiet = 0
		}
		sleep(ctx, idlePoll, nil)
	}
}

// writeMetrics writes all metrics as text.
func (s *server) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	waiting, running := s.driver.Load()
	gometrics.GetOrRegisterGauge("passthrough.waiting", s.reg).Update(int64(waiting))
	gometrics.GetOrRegisterGauge("passthrough.running", s.reg).Update(int64(running))
	gometrics.GetOrRegisterGauge("passthrough.config_age_ms", s.reg).Update(s.known.Age().Milliseconds())
	gometrics.GetOrRegisterGauge("log.dropped", s.reg).Update(int64(s.log.Dropped()))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err := metrics.Write(w, s.reg); err != nil {
		s.journal.emit(logging.EventServeFailed, slog.String(logging.KeyError, err.Error()))
	}
}

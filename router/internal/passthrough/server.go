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
	idleTimeout = 2 * time.Minute
	// headerMost bounds the reading of a request's head; configurations allow 3 s.
	readHeaderTimeout = 5 * time.Second
	// leaveRotation is how long after SIGTERM new requests are still served: the balancer
	// asks once a second and needs two misses, or three where one gets lost.
	rotationDelay = 3 * time.Second
	// stopMargin is the end of the grace time that is left for closing down.
	closeMargin = 600 * time.Millisecond
	// answerMargin is the part before that by which plain calls that came late have their
	// final answers.
	answerMargin = 200 * time.Millisecond
)

// server listens for callers, readiness and metrics.
type server struct {
	settings  seam.Settings
	edge      *Handler
	config    *ConfigState
	driver    *Driver
	telemetry *telemetry
	registry  gometrics.Registry
	log       *logging.AsyncWriter

	ready        atomic.Bool
	callers      *http.Server
	auxServers   []*http.Server
	onServeError func(error)
}

// start opens the listeners; readyPath is what the balancer asks.
func (s *server) start(readyPath, metricsAddress string) error {
	s.callers = &http.Server{
		Handler: s.edge, IdleTimeout: idleTimeout, ReadHeaderTimeout: readHeaderTimeout, ConnState: s.edge.conns.track,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	if err := s.listen(s.callers, s.settings.FrontendAddr); err != nil {
		return err
	}
	ready := mux.NewRouter()
	ready.HandleFunc(readyPath, s.serveReadiness).Methods(http.MethodGet)
	if err := s.open(ready, s.settings.ReadinessAddr); err != nil {
		return err
	}
	if metricsAddress == "" {
		return nil
	}
	metricsPage := mux.NewRouter()
	metricsPage.HandleFunc("/metrics", s.serveMetrics).Methods(http.MethodGet)
	return s.open(metricsPage, metricsAddress)
}

func (s *server) open(h http.Handler, address string) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	s.auxServers = append(s.auxServers, srv)
	return s.listen(srv, address)
}

func (s *server) listen(srv *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.telemetry.emit(logging.EventListening, slog.String("addr", l.Addr().String()))
	go func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.telemetry.emit(logging.EventServeFailed, slog.String(logging.KeyError, err.Error()))
			s.onServeError(err)
		}
	}()
	return nil
}

// isReady answers the balancer.
func (s *server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	stopping := s.edge.shutdown.begun()
	ready := s.config.Ready() && !stopping
	if s.ready.Swap(ready) != ready {
		ev := logging.EventNotReady
		if ready {
			ev = logging.EventReady
		}
		s.telemetry.emit(ev, slog.Int64(keyAge, s.config.Age().Milliseconds()), slog.Bool("stopping", stopping))
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
	grace := s.settings.Bounds.Grace - closeMargin
	answerBy := began.Add(grace - answerMargin)
	s.edge.shutdown.begin(answerBy)
	_, running := s.driver.Load()
	s.telemetry.emit(logging.EventDrainBegin, slog.Int("running", running))
	s.driver.Handle(passthrough.Stopping{At: began.Add(grace)})
	time.Sleep(min(rotationDelay, grace/2))
	s.edge.shutdown.enter(phaseFinishing)
	s.callers.SetKeepAlivesEnabled(false)
	remaining := grace - s.edge.clock.Now().Sub(began)
	ctx, cancel := context.WithTimeout(context.Background(), max(remaining, 0))
	defer cancel()
	s.waitStreams(ctx, answerBy)
	s.edge.shutdown.enter(phaseClosing)
	s.waitIdle(ctx)
	_, running = s.driver.Load()
	_ = s.callers.Close() // what is still open has had the whole grace time
	for _, srv := range s.auxServers {
		_ = srv.Close()
	}
	if running > 0 {
		s.telemetry.emit(logging.EventDrainCut, slog.Int("running", running))
	} else {
		s.telemetry.emit(logging.EventDrainEnd)
	}
}

// waitStreams waits until no stream is in progress, or until the end of the time for new
// calls.
func (s *server) waitStreams(ctx context.Context, end time.Time) {
	for s.driver.Streams() > 0 && s.edge.clock.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, drainPollInterval, nil)
	}
}

// idlePoll is how often the end of the last request is looked for.
const drainPollInterval = 50 * time.Millisecond

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
		sleep(ctx, drainPollInterval, nil)
	}
}

// writeMetrics writes all metrics as text.
func (s *server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	waiting, running := s.driver.Load()
	gometrics.GetOrRegisterGauge("passthrough.waiting", s.registry).Update(int64(waiting))
	gometrics.GetOrRegisterGauge("passthrough.running", s.registry).Update(int64(running))
	gometrics.GetOrRegisterGauge("passthrough.config_age_ms", s.registry).Update(s.config.Age().Milliseconds())
	gometrics.GetOrRegisterGauge("log.dropped", s.registry).Update(int64(s.log.Dropped()))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err := metrics.Write(w, s.registry); err != nil {
		s.telemetry.emit(logging.EventServeFailed, slog.String(logging.KeyError, err.Error()))
	}
}

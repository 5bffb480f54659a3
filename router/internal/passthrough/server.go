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
	"masticplank.example/router/internal/connlimit"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/metrics"
	"masticplank.example/router/internal/tunnel"
)

const (
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// rotationDelay is how long after SIGTERM new requests are still served: the load balancer
	// checks readiness once a second and needs two failed checks, or three if one gets lost.
	rotationDelay = 3 * time.Second
	// closeMargin is the part of the grace period, at its end, that is reserved for closing
	// connections.
	closeMargin = 600 * time.Millisecond
	// responseMargin is how long before the start of closeMargin the last response must be
	// complete.
	responseMargin = 200 * time.Millisecond
)

// server listens for callers, readiness checks and metrics requests.
type server struct {
	settings  seam.Settings
	handler   *Handler
	config    *ConfigState
	driver    *Driver
	telemetry *telemetry
	registry  gometrics.Registry
	log       *logging.AsyncWriter
	// tunnels serves peers that have no path to the backend servers.
	tunnels *tunnel.Server

	// overload decides which callers' connections are closed unread.
	overload overload

	// plan is what the listeners may use; listeners are those that are open, by name.
	plan      connlimit.Plan
	listeners map[string]*connlimit.Listener

	ready        atomic.Bool
	callers      *http.Server
	auxServers   []*http.Server
	onServeError func(error)
}

// start opens the listeners. readyPath is the path of readiness checks; metricsAddress is empty
// for no metrics.
func (s *server) start(readyPath, metricsAddress string) error {
	s.callers = newCallerServer(s.handler)
	if err := s.listenForCallers(); err != nil {
		return err
	}
	ready := mux.NewRouter()
	ready.HandleFunc(readyPath, s.serveReadiness).Methods(http.MethodGet)
	if err := s.open("readiness", ready, s.settings.ReadinessAddr); err != nil {
		return err
	}
	if err := s.openTunnels(); err != nil {
		return err
	}
	if metricsAddress == "" {
		return nil
	}
	metricsPage := mux.NewRouter()
	metricsPage.HandleFunc("/metrics", s.serveMetrics).Methods(http.MethodGet)
	return s.open("metrics", metricsPage, metricsAddress)
}

// newCallerServer returns the HTTP server for callers.
func newCallerServer(h *Handler) *http.Server {
	return connlimit.HTTPServer(h, h.conns.track)
}

// auxLimits bound what clients of auxiliary listeners may do.
var auxLimits = connlimit.Limits{HeadBytes: 16 << 10, HeadTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// open serves h on an auxiliary listener.
func (s *server) open(name string, h http.Handler, address string) error {
	l, err := connlimit.Listen(address, s.plan.Aux, func() connlimit.Limits { return auxLimits })
	if err != nil {
		return err
	}
	srv := connlimit.HTTPServer(h, nil)
	s.auxServers = append(s.auxServers, srv)
	s.listeners[name] = l
	s.serve(srv, l)
	return nil
}

// openTunnels serves peers' tunnels, if this instance has an address for them.
func (s *server) openTunnels() error {
	if s.settings.TunnelAddr == "" {
		return nil
	}
	srv := s.tunnels.HTTPServer()
	s.auxServers = append(s.auxServers, srv)
	l, err := tunnel.Listen(s.settings.TunnelAddr, s.plan.Tunnels)
	if err != nil {
		return err
	}
	s.listeners["tunnels"] = l.Listener
	s.serve(srv, l)
	return nil
}

// listenForCallers serves callers, of whose connections some are closed unread while the process is overloaded.
func (s *server) listenForCallers() error {
	l, err := connlimit.Listen(s.settings.FrontendAddr, s.plan.Callers, s.config.callerLimits)
	if err != nil {
		return err
	}
	l.Refuse = s.shed
	s.listeners["callers"] = l
	s.serve(s.callers, l)
	return nil
}

// shed reports whether a new connection of a caller is closed unread.
func (s *server) shed() bool {
	if !s.overload.sheds() {
		return false
	}
	s.telemetry.count("connections_shed")
	return true
}

// serve serves the listener in the background.
func (s *server) serve(srv *http.Server, l net.Listener) {
	s.telemetry.emit(logging.EventListening, slog.String("addr", l.Addr().String()))
	go func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.telemetry.emit(logging.EventServeFailed, slog.String(logging.KeyError, err.Error()))
			s.onServeError(err)
		}
	}()
}

// serveReadiness responds to the load balancer's readiness check.
func (s *server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	stopping := s.handler.shutdown.begun()
	ready := s.config.Ready() && !stopping
	if s.ready.Swap(ready) != ready {
		ev := logging.EventNotReady
		if ready {
			ev = logging.EventReady
		}
		s.telemetry.emit(ev, slog.Int64(keyConfigAge, s.config.Age().Milliseconds()), slog.Bool("stopping", stopping))
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop takes the instance out of rotation, lets requests in progress end, and closes.
//
// Load: all instances are replaced, one after the other, while they are busy. Harm prevented:
// responses are truncated, and requests find a closed port. So new requests are served until
// the load balancer has noticed. After that, plain requests are served for as long as streams run,
// and each connection is closed after a response.
func (s *server) stop(began time.Time) {
	grace := s.settings.Bounds.Grace - closeMargin
	respondBy := began.Add(grace - responseMargin)
	s.handler.shutdown.begin(respondBy)
	s.tunnels.Drain()
	_, running := s.driver.Load()
	s.telemetry.emit(logging.EventDrainBegin, slog.Int("running", running))
	s.driver.Handle(passthrough.Stopping{At: respondBy})
	time.Sleep(min(rotationDelay, grace/2))
	s.handler.shutdown.enter(phaseFinishing)
	remaining := grace - s.handler.clock.Now().Sub(began)
	ctx, cancel := context.WithTimeout(context.Background(), max(remaining, 0))
	defer cancel()
	end := time.AfterFunc(max(remaining-responseMargin/2, 0), s.handler.shutdown.giveUp)
	defer end.Stop()
	s.waitStreams(ctx, respondBy)
	s.handler.shutdown.enter(phaseClosing)
	s.waitIdle(ctx)
	_, running = s.driver.Load()
	s.closeCallers()
	for _, srv := range s.auxServers {
		_ = srv.Close()
	}
	if running > 0 {
		s.telemetry.emit(logging.EventDrainCut, slog.Int("running", running))
	} else {
		s.telemetry.emit(logging.EventDrainEnd)
	}
}

// closeTimeout is how long requests that come while connections are closed have for their refusal.
const closeTimeout = closeMargin / 4

// closeCallers closes the connections of callers: those without a request first. Requests still in progress after closeTimeout
// have had the whole grace period.
func (s *server) closeCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = s.callers.Shutdown(ctx) // what is left is closed now
	_ = s.callers.Close()
}

// waitStreams waits until no stream and no tunnel of a peer is in progress, or until end, after which new
// requests could not get a response in time.
func (s *server) waitStreams(ctx context.Context, end time.Time) {
	for s.driver.Streams()+s.tunnels.Open() > 0 && s.handler.clock.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, drainPollInterval, nil)
	}
}

// drainPollInterval is the time between two checks for requests in progress.
const drainPollInterval = 50 * time.Millisecond

// waitIdle waits until no request was in progress at quietPolls checks in a row, so that requests that
// were already on their way get a response. A request is in progress until its caller has taken the response.
func (s *server) waitIdle(ctx context.Context) {
	const quietPolls = 6
	for idle := 0; idle < quietPolls && ctx.Err() == nil; {
		waiting, running := s.driver.Load()
		idle++
		if waiting+running+s.handler.conns.activeCount() > 0 {
			idle = 0
		}
		sleep(ctx, drainPollInterval, nil)
	}
}

// serveMetrics writes all metrics as text.
func (s *server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	waiting, running := s.driver.Load()
	gometrics.GetOrRegisterGauge("passthrough.waiting", s.registry).Update(int64(waiting))
	gometrics.GetOrRegisterGauge("passthrough.running", s.registry).Update(int64(running))
	gometrics.GetOrRegisterGauge("passthrough.config_age_ms", s.registry).Update(s.config.Age().Milliseconds())
	held := s.handler.held.sums()
	gometrics.GetOrRegisterGauge("passthrough.held_request_bytes", s.registry).Update(held[toServer])
	gometrics.GetOrRegisterGauge("passthrough.held_response_bytes", s.registry).Update(held[toCaller])
	unreached, sinceDialed := s.handler.dialer.reachability()
	gometrics.GetOrRegisterGauge("passthrough.servers_unreached", s.registry).Update(int64(unreached))
	gometrics.GetOrRegisterGauge("passthrough.server_dialed_ms_ago", s.registry).Update(sinceDialed.Milliseconds())
	gometrics.GetOrRegisterGauge("passthrough.tunnels_open", s.registry).Update(int64(s.tunnels.Open()))
	for name, l := range s.listeners {
		s.telemetry.gaugeConnections(name, l.Usage())
	}
	gometrics.GetOrRegisterGauge("log.dropped", s.registry).Update(int64(s.log.Dropped()))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err := metrics.Write(w, s.registry); err != nil {
		s.telemetry.emit(logging.EventServeFailed, slog.String(logging.KeyError, err.Error()))
	}
}

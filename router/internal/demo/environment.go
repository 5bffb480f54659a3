package demo

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/fx"

	"masticplank.example/router/internal/daemon"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/settings"
	"masticplank.example/router/internal/standin/engine"
	"masticplank.example/router/internal/standin/listsvc"
	"masticplank.example/router/internal/standin/logsvc"
	"masticplank.example/router/internal/standin/rating"
	"masticplank.example/router/internal/standin/service"
	"masticplank.example/router/internal/wire"
)

const (
	engineCount   = 3
	instanceCount = 2
	engineSlots   = 16
	// ratingNoise is the maximum deviation of a score (0 to 1).
	ratingNoise = 0.05
	// operatorKey is used by the demo only.
	operatorKey = "demo-operator-key"
	// graceMS (shutdown.grace_ms) is short, since there is no load balancer that
	// has to notice a failing readiness check.
	graceMS = 50
	// stopTimeout bounds the shutdown of all instances.
	stopTimeout = 30 * time.Second
)

// environment holds the stand-ins and the entry instances, all of which run in
// this process on loopback.
type environment struct {
	log     *logsvc.Server
	list    *listsvc.Server
	rating  *rating.Server
	shop    *service.Server
	engines []*engine.Server

	logURL  string
	servers []*http.Server
	apps    []*fx.App
	// instances holds the addresses of the entry instances.
	instances []daemon.Addresses
}

// newEnvironment starts the stand-ins, then the entry instances. On an error it
// stops what it has started.
func newEnvironment(ctx context.Context, out io.Writer) (*environment, error) {
	s := &environment{
		log:    logsvc.New(logsvc.Config{AppendRate: 500}),
		rating: rating.New(rating.Config{Noise: ratingNoise}),
		shop:   service.New(service.Config{Name: serviceShop, Work: time.Millisecond}),
	}
	if err := s.start(ctx, out); err != nil {
		s.stop()
		return nil, trace.Wrap(err)
	}
	return s, nil
}

func (s *environment) start(ctx context.Context, out io.Writer) error {
	servers, err := s.startBackends()
	if err != nil {
		return err
	}
	s.list = listsvc.New(listsvc.Config{List: wire.InstanceList{Servers: servers}})
	urls := settings.Platform{}
	for _, p := range []struct {
		handler http.Handler
		url     *string
	}{{s.log, &urls.LogURL}, {s.list, &urls.ListURL}, {s.rating, &urls.RatingURL}} {
		addr, err := s.serve(p.handler)
		if err != nil {
			return err
		}
		*p.url = "http://" + addr
	}
	s.logURL = urls.LogURL
	for i := range instanceCount {
		if err := s.startInstance(ctx, i, urls, out); err != nil {
			return err
		}
	}
	return nil
}

// startBackends starts the engines and the shop, and returns their entries for
// the platform's list.
func (s *environment) startBackends() ([]wire.ListedServer, error) {
	var rows []wire.ListedServer
	for i := range engineCount {
		e := engine.New(engine.Config{
			Versions:  engineVersions(),
			Slots:     engineSlots,
			ReportLag: 100 * time.Millisecond,
			Seed:      uint64(i),
		})
		s.engines = append(s.engines, e)
		addr, err := s.serve(e)
		if err != nil {
			return nil, err
		}
		row := wire.ListedServer{ID: fmt.Sprintf("engine-%d", i), Addr: addr, Domain: domains[i%len(domains)], Slots: engineSlots}
		for _, v := range engineVersions() {
			row.Versions = append(row.Versions, v.ID)
		}
		rows = append(rows, row)
	}
	addr, err := s.serve(s.shop)
	if err != nil {
		return nil, err
	}
	return append(rows, wire.ListedServer{
		ID: "shop-0", Addr: addr, Domain: domains[0], Service: serviceShop, Slots: service.DefaultSlots,
	}), nil
}

// serve serves h on a free loopback port and returns the address.
func (s *environment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	srv := &http.Server{Handler: h}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *environment) startInstance(ctx context.Context, i int, urls settings.Platform, out io.Writer) error {
	app, self := daemon.New(instanceSettings(i, urls), out)
	if err := app.Err(); err != nil {
		return trace.Wrap(err)
	}
	s.apps = append(s.apps, app)
	if err := app.Start(ctx); err != nil {
		return trace.Wrap(err, "starting entry instance %d", i)
	}
	s.instances = append(s.instances, *self)
	s.list.Update(func(l *wire.InstanceList) {
		l.Instances = append(l.Instances, wire.ListedInstance{
			ID:     instanceName(i),
			Peer:   self.Peer,
			Admin:  self.Admin,
			Domain: domains[i%len(domains)],
		})
	})
	return nil
}

func instanceName(i int) string { return fmt.Sprintf("entry-%d", i) }

func instanceSettings(i int, urls settings.Platform) settings.Settings {
	cfg := settings.Default()
	cfg.Instance = instanceName(i)
	cfg.Domain = domains[i%len(domains)]
	cfg.Platform.LogURL = urls.LogURL
	cfg.Platform.ListURL = urls.ListURL
	cfg.Platform.RatingURL = urls.RatingURL
	cfg.Platform.ListIntervalMS = 100
	cfg.Platform.LoadIntervalMS = 100
	cfg.Shutdown.GraceMS = graceMS
	cfg.OperatorKeyHashes = []string{manifest.HashKey(operatorKey)}
	// All instances have the same keys, so that each accepts the session tokens
	// of the others.
	secret := base64.StdEncoding.EncodeToString([]byte("demo-session-secret-of-32-bytes!"))
	cfg.Session.Keys = []settings.SessionKey{{ID: "demo", Secret: secret}}
	return cfg
}

// stop stops the instances gracefully, then the stand-ins.
func (s *environment) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, app := range s.apps {
		_ = app.Stop(ctx)
	}
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}

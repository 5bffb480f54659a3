package daemon

import (
	gometrics "github.com/rcrowley/go-metrics"

	"masticplank.example/coordination/freshness"
	"masticplank.example/coordination/node"
	"masticplank.example/router/internal/api"
	"masticplank.example/router/internal/billing"
	"masticplank.example/router/internal/driver"
	"masticplank.example/router/internal/gate"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/peer"
	"masticplank.example/router/internal/settings"
)

// recorder counts ended requests by outcome, with go-metrics.
type recorder struct{ registry gometrics.Registry }

func newRecorder(r gometrics.Registry) api.Recorder { return &recorder{registry: r} }

// Observe implements api.Recorder.
func (r *recorder) Observe(o api.Observation) {
	gometrics.GetOrRegisterCounter("requests."+o.Outcome, r.registry).Inc(1)
	gometrics.GetOrRegisterTimer("request.whole", r.registry).Update(o.Whole)
	if o.FirstToken > 0 {
		gometrics.GetOrRegisterTimer("request.first_token", r.registry).Update(o.FirstToken)
	}
}

func burnOf(api.Recorder) any { return nil }

// status is what /status shows.
type status struct {
	cfg    settings.Settings
	node   *node.Node
	gate   *gate.Gate
	holder *manifest.Holder
	driver *driver.Driver
	peers  *peer.Node
	fleet  *fleet
}

func newStatus(cfg settings.Settings, n *node.Node, g *gate.Gate, h *manifest.Holder, d *driver.Driver, p *peer.Node, f *fleet) *status {
	return &status{cfg: cfg, node: n, gate: g, holder: h, driver: d, peers: p, fleet: f}
}

// statusReport is the body of /status.
type statusReport struct {
	Instance   string      `json:"instance"`
	Domain     string      `json:"domain"`
	Generation uint64      `json:"generation"`
	Mode       string      `json:"mode"`
	Open       int         `json:"open"`
	HeldBills  int         `json:"held_bills"`
	ShutOff    []string    `json:"shut_off,omitempty"`
	Log        node.Status `json:"log"`
}

var modeNames = map[freshness.Mode]string{
	freshness.ModeStale:  "stale",
	freshness.ModeFresh:  "fresh",
	freshness.ModeOutage: "outage",
}

func (s *status) report() statusReport {
	return statusReport{
		Instance:   s.cfg.Instance,
		Domain:     s.cfg.Domain,
		Generation: s.holder.Generation(),
		Mode:       modeNames[s.gate.Mode()],
		Open:       s.driver.Open(),
		HeldBills:  s.peers.Held(),
		ShutOff:    s.fleet.ShutOff(),
		Log:        s.node.Status(),
	}
}

func newBiller(store node.Store, p *peer.Node) *billing.Biller { return billing.New(store, p) }

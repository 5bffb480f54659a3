package daemon

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"masticplank.example/coordination/freshness"
	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/router/internal/api"
	"masticplank.example/router/internal/billing"
	"masticplank.example/router/internal/driver"
	"masticplank.example/router/internal/gate"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/peer"
	"masticplank.example/router/internal/report"
	"masticplank.example/router/internal/settings"
)

func newBurnRecorder() *report.Recorder { return report.NewRecorder(time.Now) }

// requestRecorder passes each ended request on to the metrics and the burn report.
type requestRecorder struct {
	registry gometrics.Registry
	report   *report.Recorder
}

func newRequestRecorder(r gometrics.Registry, burn *report.Recorder) api.Recorder {
	return &requestRecorder{registry: r, report: burn}
}

// Observe implements api.Recorder.
func (r *requestRecorder) Observe(o api.Observation) {
	gometrics.GetOrRegisterCounter("requests."+o.Outcome, r.registry).Inc(1)
	gometrics.GetOrRegisterTimer("request.whole", r.registry).Update(o.Duration)
	if o.FirstToken > 0 {
		gometrics.GetOrRegisterTimer("request.first_token", r.registry).Update(o.FirstToken)
	}
	r.report.Record(report.Sample{
		Team:       o.Team,
		Version:    o.Version,
		Outcome:    outcome.Kind(o.Outcome),
		Code:       o.Code,
		FirstToken: o.FirstToken,
		InterToken: o.InterToken,
		Cost:       o.Cost,
	})
}

// status produces the bodies of /status and /burn.
type status struct{ params statusParams }

type statusParams struct {
	fx.In

	Settings settings.Settings
	Node     *node.Node
	Gate     *gate.Gate
	Holder   *manifest.Holder
	Driver   *driver.Driver
	Peers    *peer.Node
	Fleet    *fleetLink
	Report   *report.Recorder
}

func newStatus(p statusParams) *status { return &status{params: p} }

var modeNames = map[freshness.Mode]string{
	freshness.ModeStale:  "stale",
	freshness.ModeFresh:  "fresh",
	freshness.ModeOutage: "outage",
}

// report returns the body of /status.
func (s *status) report() report.StatusReport {
	nodeStatus := s.params.Node.Status()
	badVersions, ejectedServers := s.params.Fleet.badAndEjected()
	return report.StatusReport{
		Instance:       s.params.Settings.Instance,
		Domain:         s.params.Settings.Domain,
		Generation:     s.params.Holder.Generation(),
		Mode:           modeNames[s.params.Gate.Mode()],
		OpenRequests:   s.params.Driver.OpenRequests(),
		Offset:         nodeStatus.NextOffset,
		Head:           nodeStatus.Head,
		Lag:            max(nodeStatus.Head, nodeStatus.NextOffset) - nodeStatus.NextOffset,
		LogReachable:   nodeStatus.LogReachable,
		HeldBills:      s.params.Peers.HeldBills(),
		BadVersions:    badVersions,
		EjectedServers: ejectedServers,
	}
}

// burn returns the body of /burn. If a histogram cannot be encoded or decoded, which
// should never happen, the body has the instance's name only, so that the report lists
// this instance without counts.
func (s *status) burn() report.Snapshot {
	snapshot, err := s.params.Report.Snapshot(s.params.Settings.Instance)
	if err != nil {
		return report.Snapshot{Instance: s.params.Settings.Instance}
	}
	return snapshot
}

func newBiller(log ledger.BillLog, p *peer.Node) *billing.Biller { return billing.New(log, p) }

package faultmatrix

import (
	"context"
	"io"
	"time"

	"masticplank.example/coordination/freshness"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
	"masticplank.example/decision"
	"masticplank.example/router/internal/api"
	"masticplank.example/router/internal/wire"
)

// The hooks below wrap parts of an instance and report the steps of a request or
// publication to the testbed.

// hookStore wraps the node, as the store of package api, of billing and of the
// publisher.
type hookStore struct{ *instance }

// Status is the first call of billing, and thus the step "bill".
func (s hookStore) Status() node.Status {
	s.b.reachStep(s.instance, "bill")
	return s.Node.Status()
}

// Put is the steps "claim" and "publish" before it writes the record, and "claimed",
// "final frame" and "push" after the record has won.
func (s hookStore) Put(ctx context.Context, r record.Record) node.Result {
	switch r.Key.Class() {
	case record.ClassClaim:
		s.b.reachStep(s.instance, "claim")
	case record.ClassManifest:
		s.b.reachStep(s.instance, "publish")
	}
	res := s.Node.Put(ctx, r)
	if res.Outcome != node.OutcomeWon {
		return res
	}
	switch r.Key.Class() {
	case record.ClassClaim:
		s.b.reachStep(s.instance, "claimed")
	case record.ClassBill:
		s.b.reachStep(s.instance, "final frame")
	case record.ClassManifest:
		s.b.reachStep(s.instance, "push")
	}
	return res
}

// hookHolder wraps the peer node, as the holder of bills.
type hookHolder struct{ *instance }

// Hold is the step "final frame" of a bill that the instance and a peer hold while
// the log does not take it.
func (h hookHolder) Hold(ctx context.Context, r record.Record) error {
	err := h.peers.Hold(ctx, r)
	if err == nil {
		h.b.reachStep(h.instance, "final frame")
	}
	return err
}

// hookGate wraps the gate, for package api.
type hookGate struct{ *instance }

// MayRun is called first at the admission of a request, which is the step "admit",
// and then when package decision has dispatched the request, which is the step
// "dispatch". Later calls, after a reservation's claim and before another attempt, are
// no steps.
func (g hookGate) MayRun(idempotent bool) decision.RefusalReason {
	g.b.mu.Lock()
	g.b.gateChecks++
	gateChecks := g.b.gateChecks
	g.b.mu.Unlock()
	switch gateChecks {
	case 1:
		g.b.reachStep(g.instance, "admit")
	case 2:
		g.b.reachStep(g.instance, "dispatch")
	}
	return g.gate.MayRun(idempotent)
}

// hookLog wraps the instance's connection to the log.
type hookLog struct {
	*logtest.Client
	in *instance
}

// Append is the step "read back": the record is in the log, and its writer does
// not read it before the fault has been injected.
func (l hookLog) Append(ctx context.Context, data []byte) (uint64, error) {
	if !l.in.b.isPlanned(l.in, "read back") {
		return l.Client.Append(ctx, data)
	}
	l.in.readsFail.Store(true)
	offset, err := l.Client.Append(ctx, data)
	l.in.b.reachStep(l.in, "read back")
	l.in.readsFail.Store(false)
	return offset, err
}

// Read fails while readsFail is set, after the read itself.
func (l hookLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platformlog.Page, error) {
	page, err := l.Client.Read(ctx, from, limit, wait)
	if l.in.readsFail.Load() {
		return platformlog.Page{}, platformlog.ErrUnavailable
	}
	return page, err
}

// A frozen instance ignores the calls of node's observer and the vouches of its
// peers.

func (in *instance) HeadRead(at time.Time, head uint64) {
	if !in.frozen.Load() {
		in.gate.HeadRead(at, head)
	}
}

func (in *instance) Folded(next uint64) {
	if !in.frozen.Load() {
		in.gate.Folded(next)
	}
}

func (in *instance) ReadFailed(at time.Time) {
	if !in.frozen.Load() {
		in.gate.ReadFailed(at)
	}
}

func (in *instance) Vouched(v freshness.Vouch) {
	if !in.frozen.Load() {
		in.gate.Vouched(v)
	}
}

// noSink ignores the commands of package decision that are not for a request.
type noSink struct{}

func (noSink) ShareVerdict(decision.VersionVerdict)   {}
func (noSink) ShareLeaving(decision.ServerID)         {}
func (noSink) ReportEjection(decision.ReportEjection) {}
func (noSink) Quarantine(decision.Quarantine)         {}

// noRecorder ignores the observations of requests.
type noRecorder struct{}

func (noRecorder) Observe(api.Observation) {}

// noRater fails to rate any answer.
type noRater struct{}

func (noRater) Rate(context.Context, wire.RateRequest) (float64, error) { return 0, io.EOF }

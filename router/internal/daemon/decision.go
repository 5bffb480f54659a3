package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/fx"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
	"masticplank.example/decision"
	"masticplank.example/router/internal/driver"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/peer"
	"masticplank.example/router/internal/report"
	"masticplank.example/router/internal/settings"
)

// quarantineTimeout bounds the write of a quarantine to the log.
const quarantineTimeout = 5 * time.Second

// newDriver returns the driver that runs the state machine of package decision. Each
// instance has a random seed of its own, so that the instances do not all pick the same
// backend servers at the same time.
func newDriver(cfg settings.Settings, f *fleetLink) *driver.Driver {
	c := decision.DefaultConfig()
	c.Seed = randomSeed()
	c.Domain = decision.DomainID(cfg.Domain)
	c.QueueLimit = cfg.Decision.QueueLimit
	c.RetryRatio = cfg.Decision.RetryBudget
	c.MaxEjected = cfg.Decision.MaxEjected
	c.OverloadWait = cfg.Decision.OverloadWait
	c.RatingTimeout = ms(cfg.Decision.RateBudgetMS)
	c.DefaultDeadline = ms(cfg.Limits.DefaultDeadlineMS)
	return driver.New(decision.NewWorld(c), f)
}

func randomSeed() uint64 {
	var b [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

func startDriver(lc fx.Lifecycle, d *driver.Driver) { runInBackground(lc, d.Run) }

// fleetLink is the driver's FleetSink. It passes verdicts, leaving servers and
// quarantines on to the other instances, and logs verdicts, ejections and quarantines.
// It keeps the bad versions and the ejected servers for /status, and passes verdicts to
// the burn report.
type fleetLink struct {
	log    *logging.Logger
	report *report.Recorder

	mu    sync.Mutex
	store node.Store
	peers *peer.Node
	// badVersions are the versions judged bad here or at a peer.
	badVersions map[string]bool
	// ejectedServers are the backend servers that this instance has ejected.
	ejectedServers map[string]bool
}

func newFleetLink(log *logging.Logger, r *report.Recorder) *fleetLink {
	return &fleetLink{log: log, report: r, badVersions: map[string]bool{}, ejectedServers: map[string]bool{}}
}

// setLinks sets the store and the peers to send through. They are not parameters of
// newFleetLink because they are created later: the driver needs the fleetLink, and the
// peers need the driver.
func (f *fleetLink) setLinks(store node.Store, peers *peer.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store, f.peers = store, peers
}

func (f *fleetLink) links() (node.Store, *peer.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store, f.peers
}

// peerEvents passes events from peers on to package decision, and records the verdicts
// among them.
type peerEvents struct {
	fleet  *fleetLink
	driver *driver.Driver
}

// Send implements peer.Events.
func (p peerEvents) Send(ev decision.Event) {
	if v, ok := ev.(decision.VersionVerdict); ok {
		p.fleet.recordVerdict(v)
	}
	p.driver.Send(ev)
}

// ShareVerdict implements driver.FleetSink.
func (f *fleetLink) ShareVerdict(v decision.VersionVerdict) {
	f.recordVerdict(v)
	if _, peers := f.links(); peers != nil {
		peers.ShareVerdict(v)
	}
}

// recordVerdict logs a verdict of this instance or of a peer and keeps it for
// /status and /burn.
func (f *fleetLink) recordVerdict(v decision.VersionVerdict) {
	f.log.Emit(context.Background(), logging.EventVersionVerdict,
		slog.String("version", string(v.Version)), slog.Bool("bad", v.Bad))
	f.report.SetVerdict(string(v.Version), v.Bad)
	f.setMember(f.badVersions, string(v.Version), v.Bad)
}

// ReportEjection implements driver.FleetSink.
func (f *fleetLink) ReportEjection(c decision.ReportEjection) {
	f.log.Emit(context.Background(), logging.EventServerEjected,
		slog.String("server", string(c.Server)), slog.Bool("ejected", c.Ejected))
	f.setMember(f.ejectedServers, string(c.Server), c.Ejected)
}

func (f *fleetLink) setMember(set map[string]bool, name string, member bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if member {
		set[name] = true
	} else {
		delete(set, name)
	}
}

// badAndEjected lists the versions judged bad and the backend servers ejected, each
// sorted.
func (f *fleetLink) badAndEjected() (badVersions, ejectedServers []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.badVersions)), slices.Sorted(maps.Keys(f.ejectedServers))
}

// ShareLeaving implements driver.FleetSink.
func (f *fleetLink) ShareLeaving(id decision.ServerID) {
	if _, peers := f.links(); peers != nil {
		peers.ShareLeaving(id)
	}
}

// Quarantine implements driver.FleetSink. A register in the log makes the
// fingerprint known to all instances, also to those that start later; the message
// to the peers makes it known to running ones while the log is unreachable.
func (f *fleetLink) Quarantine(q decision.Quarantine) {
	f.log.Emit(context.Background(), logging.EventQuarantine,
		slog.String("fingerprint", fmt.Sprintf("%016x", uint64(q.Fingerprint))),
		slog.Time("until", q.Until))
	store, peers := f.links()
	if peers != nil {
		peers.ShareQuarantine(q)
	}
	if store != nil {
		go putQuarantine(store, q)
	}
}

// putQuarantine writes a quarantine to the log, as a record that expires when the
// quarantine ends. The write is given up after quarantineTimeout.
func putQuarantine(store node.Store, q decision.Quarantine) {
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	rec := record.Record{
		Kind:     record.KindPut,
		Key:      record.Key(fmt.Sprintf("%s/%016x", record.ClassQuarantine, uint64(q.Fingerprint))),
		Nonce:    record.NewNonce(),
		Lifetime: time.Until(q.Until),
	}
	store.Put(ctx, rec)
}

// parseQuarantine reads a quarantine from a change in the log. It returns false for a
// malformed key and for a record that did not take effect.
func parseQuarantine(c fold.Change) (decision.RequestQuarantined, bool) {
	_, digits, _ := strings.Cut(string(c.Register.Key), "/")
	n, err := strconv.ParseUint(digits, 16, 64)
	ok := err == nil && c.Verdict == fold.VerdictWon
	return decision.RequestQuarantined{Fingerprint: decision.Fingerprint(n), Until: c.Register.Expires}, ok
}

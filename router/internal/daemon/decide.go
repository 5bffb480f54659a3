package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"go.uber.org/fx"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
	"masticplank.example/decision"
	"masticplank.example/router/internal/driver"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/settings"
)

// quarantineTimeout bounds the write of a quarantine to the log.
const quarantineTimeout = 5 * time.Second

// newDriver seeds each instance's decision apart from the others', so that all
// instances do not send the same picks to the same backend servers.
func newDriver(cfg settings.Settings, f *fleet) *driver.Driver {
	c := decision.DefaultConfig()
	c.Seed = randomSeed()
	c.Domain = decision.DomainID(cfg.Domain)
	c.QueueLimit = cfg.Decision.QueueLimit
	c.RetryRatio = cfg.Decision.RetryBudget
	c.RateBudget = ms(cfg.Decision.RateBudgetMS)
	c.DefaultDeadline = ms(cfg.Limits.DefaultDeadlineMS)
	return driver.New(decision.NewWorld(c), f)
}

func randomSeed() uint64 {
	var b [8]byte
	// crypto/rand.Read never fails on the systems that this runs on.
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

func startDriver(lc fx.Lifecycle, d *driver.Driver) { background(lc, d.Run) }

// fleet carries the decision's words to the other instances.
type fleet struct {
	log *logging.Logger

	mu    sync.Mutex
	store node.Store
	// shutOff are the versions judged bad here or at a peer.
	shutOff map[decision.VersionID]time.Time
}

func newFleet(log *logging.Logger) *fleet {
	return &fleet{log: log, shutOff: map[decision.VersionID]time.Time{}}
}

// ShareVerdict implements driver.FleetSink.
func (f *fleet) ShareVerdict(v decision.VersionVerdict) {
	f.log.Emit(context.Background(), logging.EventVersionVerdict,
		slog.String("version", string(v.Version)), slog.Bool("bad", v.Bad))
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.Bad {
		f.shutOff[v.Version] = v.Until
	} else {
		delete(f.shutOff, v.Version)
	}
}

// ShareLeaving implements driver.FleetSink.
func (f *fleet) ShareLeaving(decision.ServerID) {}

// Quarantine implements driver.FleetSink: the register makes the fingerprint
// known everywhere, also to instances that start later.
func (f *fleet) Quarantine(q decision.Quarantine) {
	f.log.Emit(context.Background(), logging.EventQuarantine,
		slog.String("fingerprint", fmt.Sprintf("%016x", uint64(q.Fingerprint))),
		slog.Time("until", q.Until))
	f.mu.Lock()
	store := f.store
	f.mu.Unlock()
	if store == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
		defer cancel()
		store.Put(ctx, quarantineRecord(q))
	}()
}

func quarantineRecord(q decision.Quarantine) record.Record {
	rec := record.Record{
		Kind:     record.KindPut,
		Key:      record.Key(fmt.Sprintf("%s/%016x", record.ClassQuarantine, uint64(q.Fingerprint))),
		Lifetime: time.Until(q.Until),
	}
	_, _ = rand.Read(rec.Nonce[:])
	return rec
}

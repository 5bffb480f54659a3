package daemon

import (
	"context"
	"log/slog"
	"net"

	"github.com/gravitational/trace"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
	"masticplank.example/router/internal/connlimit"
	"masticplank.example/router/internal/directory"
	"masticplank.example/router/internal/driver"
	"masticplank.example/router/internal/gate"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/peer"
	"masticplank.example/router/internal/settings"
	"masticplank.example/router/internal/wire"
)

// peerParams are the dependencies of the connections to the other instances.
type peerParams struct {
	fx.In

	Settings  settings.Settings
	Store     node.Store
	Bills     ledger.BillLog
	Directory *directory.Directory
	Gate      *gate.Gate
	Driver    *driver.Driver
	Fleet     *fleetLink
	Registry  gometrics.Registry
	Log       *logging.Logger
}

// newPeers returns the node that exchanges messages with the other instances. It also
// connects the node to the gate and the fleetLink, which are created before it.
func newPeers(p peerParams) (*peer.Node, error) {
	tls, err := peer.TLSConfig(p.Settings.Peer)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n := peer.New(peer.Config{
		Self:     wire.ListedInstance{ID: p.Settings.Instance, Domain: p.Settings.Domain},
		TLS:      tls,
		Interval: ms(p.Settings.Peer.IntervalMS),
		Seed:     randomSeed(),
	}, peer.Deps{
		Store:     p.Store,
		Bills:     p.Bills,
		Instances: p.Directory.Instances,
		Vouches:   p.Gate,
		Events:    peerEvents{p.Fleet, p.Driver},
		Log:       p.Log,
		Registry:  p.Registry,
	})
	p.Gate.SetHeldBillsFull(func() bool { return n.HeldBillsFull(p.Driver.OpenRequests()) })
	p.Fleet.setLinks(p.Store, n)
	return n, nil
}

// startPeers opens the listener for the other instances, serves them, and passes the
// quarantines in the log on to package decision.
func startPeers(lc fx.Lifecycle, p peerParams, n *peer.Node, addrs *Addresses) {
	p.Store.Watch(record.ClassQuarantine, func(c fold.Change) {
		if ev, ok := parseQuarantine(c); ok {
			p.Driver.Send(ev)
		}
	})
	var ln net.Listener
	lc.Append(fx.StartHook(func(ctx context.Context) error {
		var err error
		ln, err = connlimit.Listen(p.Settings.Listen.Peer, connPlan(p.Settings).Peers, nil)
		if err != nil {
			return trace.Wrap(err, "opening the peer listener")
		}
		addrs.Peer = ln.Addr().String()
		p.Log.Emit(ctx, logging.EventListening, slog.String("listener", "peer"), slog.String("addr", addrs.Peer))
		return nil
	}))
	runInBackground(lc, func(ctx context.Context) {
		if err := n.Run(ctx, ln); err != nil {
			p.Log.Emit(ctx, logging.EventPeerRejected, logging.Err(err))
		}
	})
}

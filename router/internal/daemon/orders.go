package daemon

import (
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/fx"

	"masticplank.example/coordination/lease"
	"masticplank.example/coordination/node"
	"masticplank.example/router/internal/directory"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/orders"
	"masticplank.example/router/internal/settings"
)

// newOrders makes the sender of orders for the own failure domain. Every
// instance has one; the lease says whose sends.
func newOrderSender(lc fx.Lifecycle, cfg settings.Settings, n *node.Node, dir *directory.Directory, h *manifest.Holder, log *logging.Logger) (*orders.Sender, error) {
	l, err := lease.New(n, lease.Config{Name: "orders-" + cfg.Domain, Holder: cfg.Instance}, time.Now)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	lc.Append(fx.StopHook(l.Close))
	return orders.NewSender(cfg.Domain, l, dir, h, log), nil
}

func startOrderSender(lc fx.Lifecycle, s *orders.Sender) { runInBackground(lc, s.Run) }

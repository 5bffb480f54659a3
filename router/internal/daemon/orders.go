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

// newOrderSender returns the sender of orders to the engines of this failure
// domain. Every instance has one; only the holder of the domain's lease sends.
func newOrderSender(lc fx.Lifecycle, cfg settings.Settings, n *node.Node, dir *directory.Directory, h *manifest.Holder, log *logging.Logger) (*orders.Sender, error) {
	l, err := lease.New(n, lease.Config{Name: "orders-" + cfg.Domain, Holder: cfg.Instance}, time.Now)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	lc.Append(fx.StopHook(l.Close))
	return orders.NewSender(cfg.Domain, l, dir, h, log), nil
}

func startOrderSender(lc fx.Lifecycle, s *orders.Sender) { runInBackground(lc, s.Run) }

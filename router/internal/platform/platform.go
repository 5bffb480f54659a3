// Package platform defines the interfaces of the platform's services, except for
// that of the log (coordination/platformlog), and the HTTP clients of all of them.
package platform

import (
	"context"

	"masticplank.example/router/internal/wire"
)

// InstanceLister fetches the platform's list of live and leaving instances and
// backend servers. The list lags behind the actual state.
type InstanceLister interface {
	Fetch(ctx context.Context) (wire.InstanceList, error)
}

// Rater is the service that rates answers. It may be slow, wrong or unreachable.
type Rater interface {
	// Rate returns a score from 0 to 1.
	Rate(ctx context.Context, r wire.RateRequest) (float64, error)
}

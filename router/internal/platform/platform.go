// Package platform holds the seams to the platform's services, beside the log
// (coordination/platformlog), and their HTTP clients.
package platform

import (
	"context"

	"masticplank.example/router/internal/wire"
)

// List is the platform's list of live and leaving instances and backend
// servers. It lags.
type InstanceLister interface {
	Fetch(ctx context.Context) (wire.InstanceList, error)
}

// Rater is the service that rates answers. It may be slow, wrong or down.
type Rater interface {
	Rate(ctx context.Context, r wire.RatingRequest) (float64, error)
}

package daemon

import (
	"io"
	"testing"

	"go.uber.org/fx"

	"masticplank.example/router/internal/settings"
)

// TestGraphIsComplete guards against a dependency that no constructor provides, which
// would make every instance fail at its start.
func TestGraphIsComplete(t *testing.T) {
	if err := fx.ValidateApp(options(settings.Default(), &Addresses{}, io.Discard)); err != nil {
		t.Error(err)
	}
}

// TestStopTimeoutCoversTheDrain guards against a stop timeout that ends before the
// drain does, which would cut off requests in progress.
func TestStopTimeoutCoversTheDrain(t *testing.T) {
	cfg := settings.Default()
	app, _ := New(cfg, io.Discard)
	if least := ms(cfg.Shutdown.GraceMS) + ms(cfg.Shutdown.DrainMS); app.StopTimeout() <= least {
		t.Errorf("stop timeout %v, want more than %v", app.StopTimeout(), least)
	}
}

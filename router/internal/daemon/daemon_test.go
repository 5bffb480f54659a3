package daemon

import (
	"io"
	"testing"

	"go.uber.org/fx"

	"masticplank.example/router/internal/settings"
)

// TestGraphIsComplete finds a part that nobody provides, without starting any.
func TestGraphIsComplete(t *testing.T) {
	if err := fx.ValidateApp(options(settings.Default(), &Addresses{}, io.Discard)); err != nil {
		t.Error(err)
	}
}

func TestStopTimeoutCoversTheDrain(t *testing.T) {
	cfg := settings.Default()
	app, _ := New(cfg, io.Discard)
	if least := ms(cfg.Shutdown.GraceMS) + ms(cfg.Shutdown.DrainMS); app.StopTimeout() <= least {
		t.Errorf("%v for a drain of %v", app.StopTimeout(), least)
	}
}

package settings

import (
	"embed"

	"github.com/gravitational/trace"
)

//go:embed examples/*.jsonc
var exampleFiles embed.FS

// Deployments with a documented example.
const (
	ExampleCoop   = "coop"
	ExampleAgency = "agency"
)

// Example returns the documented settings file of a deployment; a trace.NotFound
// error for an unknown one.
func Example(deployment string) ([]byte, error) {
	data, err := exampleFiles.ReadFile("examples/" + deployment + ".jsonc")
	if err != nil {
		return nil, trace.NotFound("no example %q: want %s or %s", deployment, ExampleCoop, ExampleAgency)
	}
	return data, nil
}

package settings

import (
	"embed"

	"github.com/gravitational/trace"
)

//go:embed examples/*.jsonc
var exampleFiles embed.FS

// The deployments that have an example.
const (
	ExampleCoop   = "coop"
	ExampleAgency = "agency"
)

// Example returns the documented settings file of a deployment.
func Example(deployment string) ([]byte, error) {
	data, err := exampleFiles.ReadFile("examples/" + deployment + ".jsonc")
	if err != nil {
		return nil, trace.NotFound("no example %q: there are %s and %s", deployment, ExampleCoop, ExampleAgency)
	}
	return data, nil
}

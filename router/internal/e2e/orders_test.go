package e2e

import (
	"strings"
	"testing"

	"masticplank.example/router/internal/manifest"
)

// If the placements in the manifest change, the engines must unload a version and
// load it again: a version without placement gets no requests, and one that is placed
// again gets them.
func TestOrders(t *testing.T) {
	f := readyFleet(t)
	publishPlacements := func(publication string, versions ...string) {
		m := testManifest(publication)
		m.Orders = &manifest.Orders{FencedDomains: domains}
		for _, v := range versions {
			m.Orders.Placements = append(m.Orders.Placements, manifest.Placement{Version: v, Servers: 1})
		}
		if out, err := f.publish(m, "--rebase"); err != nil {
			t.Fatalf("%s: %v: %s", publication, err, out)
		}
	}
	publishPlacements("small-only", "small@1")
	eventually(t, "large@1 unloaded everywhere", func() bool {
		return strings.Contains(f.chat(f.instances[0]).body, "no_backend_server")
	})
	publishPlacements("both", "small@1", "large@1")
	for _, i := range f.instances {
		eventually(t, "large@1 loaded again", func() bool { return outcomeOf(f.chat(i)) == "completed" })
	}
}

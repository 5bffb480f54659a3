package demo

import (
	"time"

	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/standin/engine"
)

// Names and prices of the scenario.
const (
	serviceShop  = "shop"
	modelSmall   = "small"
	modelLarge   = "large"
	versionSmall = "small@1"
	// versionOld is withdrawn halfway through the load and replaced by versionNew.
	versionOld = "large@1"
	versionNew = "large@2"
	// shopCallPrice is billed for each completed call of the shop, in the
	// manifest's unit of cost.
	shopCallPrice = 0.01
)

// domains are the failure domains.
var domains = []string{"salle-rimouski", "salle-matane", "salle-riviere"}

// team is a team with its API key, which is used by the demo only.
type team struct {
	id  string
	key string
	// models that the team may request.
	models []string
	// quality is the team's target for the mean quality of its answers.
	quality float64
}

func demoTeams() []team {
	return []team{
		{id: "weavers", key: "demo-key-weavers", models: []string{modelSmall, modelLarge}, quality: 0.8},
		{id: "dyers", key: "demo-key-dyers", models: []string{modelSmall}, quality: 0.5},
		{id: "clerks", key: "demo-key-clerks", models: []string{modelSmall, modelLarge}, quality: 0.55},
	}
}

// engineVersions returns the versions that each engine stand-in can run.
func engineVersions() []engine.Version {
	small := engine.Version{
		ID:         versionSmall,
		Quality:    0.65,
		FirstToken: 2 * time.Millisecond,
		PerBlock:   100 * time.Microsecond,
		InterToken: 300 * time.Microsecond,
	}
	old := engine.Version{
		ID:         versionOld,
		Quality:    0.88,
		FirstToken: 6 * time.Millisecond,
		PerBlock:   300 * time.Microsecond,
		InterToken: time.Millisecond,
	}
	next := old
	next.ID = versionNew
	next.Quality = 0.92
	return []engine.Version{small, old, next}
}

// firstManifest serves the old version and does not contain the new one.
func firstManifest() manifest.Manifest {
	return scenarioManifest("demo-1",
		manifest.Version{ID: versionOld, Model: modelLarge, State: manifest.StateServing, Share: 1, Cost: 2, Quality: 0.88},
	)
}

// secondManifest withdraws the old version and serves the new one.
func secondManifest() manifest.Manifest {
	return scenarioManifest("demo-2",
		manifest.Version{ID: versionOld, Model: modelLarge, State: manifest.StateWithdrawn, Cost: 2, Quality: 0.88},
		manifest.Version{ID: versionNew, Model: modelLarge, State: manifest.StateServing, Share: 1, Predecessor: versionOld, Cost: 2, Quality: 0.92},
	)
}

func scenarioManifest(publication string, large ...manifest.Version) manifest.Manifest {
	small := manifest.Version{ID: versionSmall, Model: modelSmall, State: manifest.StateServing, Share: 1, Cost: 0.2, Quality: 0.65}
	m := manifest.Manifest{
		Publication: publication,
		Versions:    append([]manifest.Version{small}, large...),
		Services: []manifest.Service{{
			ID:    serviceShop,
			Price: shopCallPrice,
			Routes: []manifest.Route{
				{Method: "GET", Path: "/stock/*", Idempotent: true},
				{Method: "POST", Path: "/reservations", Idempotent: false},
			},
		}},
	}
	for _, t := range demoTeams() {
		m.Teams = append(m.Teams, manifestTeam(t, m.Versions))
	}
	return m
}

func manifestTeam(t team, versions []manifest.Version) manifest.Team {
	row := manifest.Team{
		ID:            t.id,
		KeyHashes:     []string{manifest.HashKey(t.key)},
		Weight:        1,
		QualityTarget: t.quality,
		Services:      []string{serviceShop},
	}
	for _, v := range versions {
		if t.allows(v.Model) {
			row.Allowed = append(row.Allowed, v.ID)
		}
	}
	return row
}

func (t team) allows(model string) bool {
	for _, m := range t.models {
		if m == model {
			return true
		}
	}
	return false
}

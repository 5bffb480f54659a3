package policytest

import (
	"fmt"
	"time"

	"masticplank.example/decision"
)

// The models: a cheap one, an expensive one, and a new version of the cheap one
// that is rolled out to half of its requests.
const (
	smallOld decision.VersionID = "small@1"
	smallNew decision.VersionID = "small@2"
	large    decision.VersionID = "large@1"

	smallModel decision.ModelID = "small"
	largeModel decision.ModelID = "large"

	records decision.ServiceID = "records"
)

// The classes of requests.
const (
	lookup decision.TaskClass = "lookup"
	draft  decision.TaskClass = "draft"
)

// speed is the speed at which an engine runs a model.
type speed struct {
	// prefill is the rate of prefill, in prompt tokens a second.
	prefill float64
	// tokenTime is the time per generated token of a request that runs alone.
	tokenTime time.Duration
}

// batchSlowdown is the relative increase of tokenTime for each further request in
// the batch.
const batchSlowdown = 0.05

var speeds = map[decision.ModelID]speed{
	smallModel: {prefill: 8000, tokenTime: 10 * time.Millisecond},
	largeModel: {prefill: 2500, tokenTime: 25 * time.Millisecond},
}

// Deployment describes one deployment: its instances, its backend servers by kind
// and their failure domains.
type Deployment struct {
	Name      string
	Instances int
	Small     int
	Large     int
	Records   int
	Domains   []decision.DomainID
	// Saturation is the arrival rate, in requests a second, at which the real
	// policy starts to refuse requests.
	Saturation float64
	// Deadlines holds the time allowed for a request of each class.
	Deadlines map[decision.TaskClass]time.Duration
}

// Coop is the weaving co-ops' deployment.
func Coop() Deployment {
	return Deployment{
		Name:       "co-op",
		Instances:  8,
		Small:      4,
		Large:      8,
		Records:    3,
		Domains:    []decision.DomainID{"salle-rimouski", "salle-matane", "salle-riviere"},
		Saturation: 18,
		Deadlines:  map[decision.TaskClass]time.Duration{lookup: 8 * time.Second, draft: 25 * time.Second},
	}
}

// Agency is the lending agency's deployment.
func Agency() Deployment {
	return Deployment{
		Name:       "agency",
		Instances:  8,
		Small:      6,
		Large:      12,
		Records:    3,
		Domains:    []decision.DomainID{"nyarugenge", "gasabo", "kicukiro"},
		Saturation: 27,
		Deadlines:  map[decision.TaskClass]time.Duration{lookup: 8 * time.Second, draft: 25 * time.Second},
	}
}

// modelSlots and recordSlots are the numbers of requests that a model's server
// and a server of the plain service run at once.
const (
	modelSlots  = 8
	recordSlots = 16
)

// servers returns the deployment's backend servers.
func (d Deployment) servers() []decision.Server {
	var out []decision.Server
	add := func(n int, prefix string, s decision.Server) {
		for i := range n {
			s.ID = decision.ServerID(fmt.Sprintf("%s-%02d", prefix, i))
			s.Domain = d.Domains[i%len(d.Domains)]
			out = append(out, s)
		}
	}
	add(d.Small, "small", decision.Server{Versions: []decision.VersionID{smallOld, smallNew}, Slots: modelSlots})
	add(d.Large, "large", decision.Server{Versions: []decision.VersionID{large}, Slots: modelSlots})
	add(d.Records, "records", decision.Server{Service: records, Slots: recordSlots})
	return out
}

// teamShares are the shares of ten teams in the load, a few of them large.
var teamShares = [10]float64{0.34, 0.22, 0.14, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02}

// targets are the teams' quality targets.
var targets = [10]float64{0.80, 0.80, 0.80, 0.88, 0.70, 0.80, 0.80, 0.85, 0.80, 0.80}

func teamID(i int) decision.TeamID { return decision.TeamID(fmt.Sprintf("team-%d", i)) }

// teams returns the teams. The large ones have twice the weight of the small
// ones.
func teams() []decision.Team {
	var out []decision.Team
	for i := range teamShares {
		weight := 1
		if i < 3 {
			weight = 2
		}
		out = append(out, decision.Team{
			ID:            teamID(i),
			Weight:        weight,
			QualityTarget: targets[i],
			Allowed:       []decision.VersionID{smallOld, smallNew, large},
			Services:      []decision.ServiceID{records},
		})
	}
	return out
}

// versions returns the versions as the manifest states them. The stated quality
// is the publisher's estimate, and differs from the true one by some hundredths.
func versions() []decision.Version {
	return []decision.Version{
		{ID: smallOld, Model: smallModel, State: decision.VersionServing, Share: 1, Cost: 1, Quality: 0.80},
		{ID: smallNew, Model: smallModel, State: decision.VersionServing, Share: 0.5, Predecessor: smallOld, Cost: 1, Quality: 0.82},
		{ID: large, Model: largeModel, State: decision.VersionServing, Share: 1, Cost: 10, Quality: 0.90},
	}
}

// prices are the versions' cost per 1000 tokens.
var prices = map[decision.VersionID]float64{smallOld: 1, smallNew: 1, large: 10}

// trueQuality is the mean rating of a version's answers without noise, for
// requests of class lookup and for easy and hard ones of class draft.
type trueQuality struct{ lookup, easy, hard float64 }

var trueQualities = map[decision.VersionID]trueQuality{
	smallOld: {lookup: 0.91, easy: 0.86, hard: 0.50},
	smallNew: {lookup: 0.92, easy: 0.87, hard: 0.52},
	large:    {lookup: 0.95, easy: 0.92, hard: 0.87},
}

// Package manifest defines the manifest that an operator's pipeline generates, and
// its validation. Validation is pure, so that every reader has the same result.
package manifest

// Manifest is the configuration that an operator publishes: teams, versions,
// services, orders and objectives.
type Manifest struct {
	// Generation is this manifest's number, its parent's plus 1.
	Generation uint64 `json:"generation"`
	// Parent is the hex digest of the manifest that this one replaces; empty
	// for generation 1.
	Parent string `json:"parent,omitempty"`
	// Publication identifies one pipeline run, so that publishing is idempotent.
	Publication string    `json:"publication"`
	Teams       []Team    `json:"teams"`
	Versions    []Version `json:"versions"`
	Services    []Service `json:"services,omitempty"`
	// Orders states which versions engines are to load; without it they are sent
	// no orders.
	Orders     *Orders     `json:"orders,omitempty"`
	Objectives []Objective `json:"objectives,omitempty"`
}

// Orders is the desired state of the engines.
type Orders struct {
	Placements []Placement `json:"placements"`
	// FencedDomains are the failure domains whose engines refuse an order with
	// an old fencing number. Engines of all others are taken to ignore it.
	FencedDomains []string `json:"fenced_domains,omitempty"`
}

// Placement states on how many engines of each failure domain a version is loaded.
type Placement struct {
	Version string `json:"version"`
	Servers int    `json:"servers"`
}

// Team is a team of callers and what it may use.
type Team struct {
	ID string `json:"id"`
	// KeyHashes are the SHA-256 sums of the team's API keys; see HashKey.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the team's relative share of the capacity under saturation, at
	// least 1.
	Weight int `json:"weight"`
	// QueueLimit bounds the team's queue in requests; 0 means the default.
	QueueLimit int `json:"queue_limit,omitempty"`
	// QualityTarget is the mean rating to reach, 0 to 1.
	QualityTarget float64 `json:"quality_target"`
	// Allowed are the IDs of versions, Services those of services.
	Allowed  []string `json:"allowed"`
	Services []string `json:"services,omitempty"`
}

// Version is a version of a model; ID has the form "model@version".
type Version struct {
	ID    string `json:"id"`
	Model string `json:"model"`
	State string `json:"state"`
	// Share is the fraction (0 to 1) of the model's new sessions and requests that
	// this version takes.
	Share float64 `json:"share"`
	// Predecessor is the version that this one replaces; empty for none.
	Predecessor string `json:"predecessor,omitempty"`
	// Cost per 1000 generated tokens, in the manifest's unit of cost.
	Cost float64 `json:"cost"`
	// Quality is the expected rating before any was received, 0 to 1.
	Quality float64 `json:"quality"`
}

// The states of a version.
const (
	StateServing   = "serving"
	StateDraining  = "draining"
	StateWithdrawn = "withdrawn"
)

// Service is a plain service, one that is not a model.
type Service struct {
	ID string `json:"id"`
	// Price of one call that succeeded (status below 300), in the unit of
	// Version.Cost; calls with price 0 are not billed.
	Price float64 `json:"price,omitempty"`
	// Routes state which calls are idempotent; see Service.Idempotent.
	Routes []Route `json:"routes"`
}

// Route is one method and path pattern (path.Match) of a service.
type Route struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Objective is a team's service-level objective.
type Objective struct {
	Team string `json:"team"`
	// Availability is the target availability, such as 0.999.
	Availability float64 `json:"availability"`
	// FirstTokenMS and InterTokenMS are targets for the 95th percentile, in
	// milliseconds.
	FirstTokenMS int `json:"first_token_ms,omitempty"`
	InterTokenMS int `json:"inter_token_ms,omitempty"`
	// CostPerRequest is the budget for the mean cost of a request, in the unit of
	// Version.Cost.
	CostPerRequest float64 `json:"cost_per_request,omitempty"`
	// BadExposure is the largest share of requests that may run on a version
	// that is judged bad later.
	BadExposure float64 `json:"bad_exposure,omitempty"`
}

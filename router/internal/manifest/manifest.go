// Package manifest defines the manifest that an operator's pipeline generates,
// and its validation, which is pure: the same at every reader.
package manifest

// Manifest is what an operator publishes.
type Manifest struct {
	// Generation is this manifest's number: its parent's plus 1.
	Generation uint64 `json:"generation"`
	// Parent is the digest (hex) of the manifest that it replaces; empty for
	// generation 1.
	Parent string `json:"parent,omitempty"`
	// Publication identifies one pipeline run, so that publishing is idempotent.
	Publication string    `json:"publication"`
	Teams       []Team    `json:"teams"`
	Versions    []Version `json:"versions"`
	Services    []Service `json:"services,omitempty"`
	// Orders says what backend servers are told to load; without it they are
	// told nothing.
	Orders     *Orders     `json:"orders,omitempty"`
	Objectives []Objective `json:"objectives,omitempty"`
}

// Orders is the wanted state of the engines.
type Orders struct {
	Placements []Placement `json:"placements"`
	// FencedDomains are the failure domains whose engines refuse an order with
	// an old fencing number. All others are taken to ignore the number.
	FencedDomains []string `json:"fenced_domains,omitempty"`
}

// Placement says on how many engines of each failure domain a version is loaded.
type Placement struct {
	Version string `json:"version"`
	Servers int    `json:"servers"`
}

// Team may use versions and services.
type Team struct {
	ID            string   `json:"id"`
	KeyHashes     []string `json:"key_hashes"`
	Weight        int      `json:"weight"`
	QueueLimit    int      `json:"queue_limit,omitempty"`
	QualityTarget float64  `json:"quality_target"`
	Allowed       []string `json:"allowed"`
	Services      []string `json:"services,omitempty"`
}

// Version of a model; ID is "model@version".
type Version struct {
	ID          string  `json:"id"`
	Model       string  `json:"model"`
	State       string  `json:"state"`
	Share       float64 `json:"share"`
	Predecessor string  `json:"predecessor,omitempty"`
	// Cost per 1000 tokens generated.
	Cost    float64 `json:"cost"`
	Quality float64 `json:"quality"`
}

// The states of a version.
const (
	StateServing   = "serving"
	StateDraining  = "draining"
	StateWithdrawn = "withdrawn"
)

// Service is a plain service beside the engines.
type Service struct {
	ID string `json:"id"`
	// Price of one completed call; 0 is not billed.
	Price float64 `json:"price,omitempty"`
	// Routes say which calls are idempotent; a call that matches none is not.
	Routes []Route `json:"routes"`
}

// Route is one method and path pattern (path.Match) of a service.
type Route struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Objective is a team's service level.
type Objective struct {
	Team string `json:"team"`
	// Availability wanted, such as 0.999.
	Availability float64 `json:"availability"`
	// FirstTokenMS and InterTokenMS are met for 95 in 100.
	FirstTokenMS int `json:"first_token_ms,omitempty"`
	InterTokenMS int `json:"inter_token_ms,omitempty"`
	// CostPerRequest is the budget for the mean cost.
	CostPerRequest float64 `json:"cost_per_request,omitempty"`
	// BadExposure is the part of requests that may run on a version later
	// judged bad.
	BadExposure float64 `json:"bad_exposure,omitempty"`
}

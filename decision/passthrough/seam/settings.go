package seam

import "time"

// Settings are what a platform provides to a process about itself and its environment.
type Settings struct {
	// Instance is the name of this instance.
	Instance string
	// FirstStart is true if the whole system is starting for the first time.
	FirstStart bool
	// Domain is the instance's failure domain.
	Domain string
	// Domains are all failure domains.
	Domains []string
	// RegionDomains are the failure domains of the instance's own region.
	RegionDomains []string
	// FrontendAddr and ReadinessAddr are the addresses to listen on for callers and for
	// readiness checks.
	FrontendAddr  string
	ReadinessAddr string
	// PeerAddr is the address to listen on for other instances; empty for none.
	PeerAddr string
	// TunnelAddr is the address to listen on for tunnels of other instances; empty for none.
	TunnelAddr string
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	// Cores is how many CPU cores the process may use, which may be a fraction; MemoryBytes is
	// its memory limit.
	Cores       float64
	MemoryBytes int64
	// MaxFiles is the limit of file descriptors; 0 if unknown.
	MaxFiles int
	// Heartbeat is the interval at which backend servers write their entries; 0 if unknown.
	Heartbeat time.Duration
	// SharedAdmission is true if the instances decide together which requests get a service's room.
	SharedAdmission bool
	Bounds          Bounds
}

// Bounds are the limits that the platform holds its services to.
type Bounds struct {
	// RevocationDelay bounds how long an API key still works after a configuration without it
	// has been written.
	RevocationDelay time.Duration
	// Drain is how long a leaving backend server may still get requests.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all instances.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// CanaryShare is the fraction of a service's requests that a bad version may get.
	CanaryShare float64
	// CanaryTolerance is the number of requests that it may get in addition.
	CanaryTolerance float64
	// All instances together may send a server in slow start at most its rate times
	// SlowStartBurst, plus SlowStartSlack, in any second.
	SlowStartBurst float64
	SlowStartSlack float64
	// SessionTTL is how long a session lives after its last request.
	SessionTTL time.Duration
}

package seam

import "time"

// Settings is what a platform tells a process of itself and of its surroundings.
type Settings struct {
	// Instance names this instance.
	Instance string
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// Zone is its failure domain.
	Domain string
	// Zones are all failure domains.
	Domains []string
	// Frontend and Readiness are the addresses to listen on.
	FrontendAddr  string
	ReadinessAddr string
	// Peers is the address to listen on for other instances; empty for none.
	PeerAddr string
	// Store is the address of the platform's store.
	StoreAddr string
	// Cores is the part of a core that the process may use, MemoryBytes its memory.
	Cores       float64
	MemoryBytes int64
	// Files is the number of descriptors that the process may have, 0 where not known.
	MaxFiles int
	Bounds   Bounds
}

// Bounds are the figures that the platform holds its services to.
type Bounds struct {
	// Revoke bounds how long a key works after a configuration without it.
	RevocationDelay time.Duration
	// Drain is how long a leaving backend server may still get requests.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound repeats over all instances.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// CanaryShare is the part of a service's requests that a bad version may get.
	CanaryShare float64
	// CanaryTolerance is the number of requests that it may get beside that.
	CanaryTolerance float64
	// WarmUpBurst times a cold server's rate, and WarmUpSlack beside that, is what it may get in
	// one second from all instances.
	SlowStartBurst float64
	SlowStartSlack float64
	// SessionLife is how long after its last request a session goes on.
	SessionTTL time.Duration
}

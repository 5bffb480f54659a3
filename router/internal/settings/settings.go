// Package settings reads an instance's settings from a file of JSON with
// comments. All faults of a file are reported together, each with file, line and
// column.
package settings

// Settings of one entry instance. Default returns the default values; Fields
// documents each setting with its unit and range.
type Settings struct {
	// Instance is this process's name, unique in the fleet.
	Instance string `json:"instance"`
	// Domain is the failure domain that it runs in.
	Domain string `json:"domain"`
	// Listen addresses are IP:port; with port 0 the system picks the port, which
	// the event "listening" logs.
	Listen    Listen    `json:"listen"`
	Platform  Platform  `json:"platform"`
	Limits    Limits    `json:"limits"`
	Log       Log       `json:"log"`
	Freshness Freshness `json:"freshness"`
	Shutdown  Shutdown  `json:"shutdown"`
	Session   Session   `json:"session"`
	Peer      Peer      `json:"peer"`
	Decision  Decision  `json:"decision"`
	// OperatorKeyHashes are SHA-256 sums (hex) of operators' API keys.
	OperatorKeyHashes []string `json:"operator_key_hashes"`
}

// Listen holds the addresses of the three listeners.
type Listen struct {
	API   string `json:"api"`
	Admin string `json:"admin"`
	Peer  string `json:"peer"`
}

// Platform holds the base URLs of the platform's services and how often they are
// called.
type Platform struct {
	LogURL string `json:"log_url"`
	// BillLogURL is a log for bills alone; empty for LogURL.
	BillLogURL string `json:"bill_log_url"`
	ListURL    string `json:"list_url"`
	RatingURL  string `json:"rating_url"`
	// AppendBudget is appends per second for the whole fleet. Default 200.
	AppendBudget int `json:"append_budget"`
	// LingerMS is the shortest group commit interval. Default 20.
	LingerMS int `json:"linger_ms"`
	// ListIntervalMS is how often the list is fetched. Default 1000.
	ListIntervalMS int `json:"list_interval_ms"`
	// LoadIntervalMS is how often each backend server's load is fetched. Default 250.
	LoadIntervalMS int `json:"load_interval_ms"`
}

// Limits apply to callers' requests and connections. The admin listener applies
// ReadTimeoutMS, to request headers, and IdleTimeoutMS too. The connections of all
// listeners share MemoryBytes and MaxFiles.
type Limits struct {
	MemoryBytes       int64 `json:"memory_bytes"`
	MaxFiles          int   `json:"max_files"`
	MaxBodyBytes      int64 `json:"max_body_bytes"`
	MaxHeaderBytes    int   `json:"max_header_bytes"`
	ReadTimeoutMS     int   `json:"read_timeout_ms"`
	WriteTimeoutMS    int   `json:"write_timeout_ms"`
	IdleTimeoutMS     int   `json:"idle_timeout_ms"`
	DefaultDeadlineMS int   `json:"default_deadline_ms"`
}

// Log sets the format ("json" or "text") and level of the log.
type Log struct {
	Format string `json:"format"`
	Level  string `json:"level"`
}

// Freshness holds the freshness bound: the maximum age of the last confirmation of
// the manifest, past which an instance refuses new work.
type Freshness struct {
	BoundMS int `json:"bound_ms"`
}

// Shutdown holds the times of a graceful shutdown, in the order of its phases.
type Shutdown struct {
	// GraceMS is how long readiness fails before new requests are refused.
	GraceMS int `json:"grace_ms"`
	// DrainMS bounds the wait for requests in progress.
	DrainMS int `json:"drain_ms"`
}

// Session holds the key ring for session tokens; the first key signs.
type Session struct {
	Keys []SessionKey `json:"keys"`
	// TTLSeconds is the lifetime of a session token.
	TTLSeconds int `json:"ttl_seconds"`
}

// SessionKey is one HMAC key with its id. Secret is in base64.
type SessionKey struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

// Peer configures the connections between instances. With empty files they are
// plaintext, which is allowed on loopback only; otherwise mutual TLS.
type Peer struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
	// IntervalMS is the time between two exchanges of digests with peers.
	IntervalMS int `json:"interval_ms"`
}

// Decision holds the limits of package decision that operators may set.
type Decision struct {
	QueueLimit   int     `json:"queue_limit"`
	RetryBudget  float64 `json:"retry_budget"`
	RateBudgetMS int     `json:"rate_budget_ms"`
	MaxEjected   float64 `json:"max_ejected"`
	// OverloadWait is the fraction of the time to its deadline that a request may
	// wait in an overloaded queue.
	OverloadWait float64 `json:"overload_wait"`
}

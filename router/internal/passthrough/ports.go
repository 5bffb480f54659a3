package passthrough

import (
	"net/http"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
)

// Headers reads and writes the headers of requests and answers.
type Headers interface {
	ReadCaller(h http.Header) seam.Caller
	WriteAttempt(caller http.Header, a seam.Attempt) http.Header
	ReadResponse(status int, h http.Header) seam.Response
	ResponseHeaders(h http.Header) http.Header
}

// Records decodes and encodes the records of the platform's topics.
type Records interface {
	// Config decodes the configuration; ok is false for a record of another kind.
	Config(r keyedlog.Record) (c passthrough.Config, ok bool, err error)
	// Order decodes a roll-out order; ok is false for a record of another kind.
	Order(r keyedlog.Record) (o passthrough.Order, ok bool, err error)
	// DrainedDomain gives the failure domain that the record asks to drain, or takes back where
	// its value is empty; ok is false for a record of another kind.
	DrainedDomain(r keyedlog.Record) (domain string, ok bool)
	// Server decodes a backend server's entry.
	Server(r keyedlog.Record) (passthrough.Server, error)
	// Status decodes how far a service's roll-out is; ok is false for a record of
	// another kind.
	Status(r keyedlog.Record) (service, target string, phase passthrough.Phase, ok bool, err error)
	// StatusRecord encodes how far a service's roll-out is.
	StatusRecord(service, target string, phase passthrough.Phase) (keyedlog.Record, error)
}

// Store gives the platform's topics.
type Store interface {
	// Operator holds the configuration and the roll-out orders.
	Operator() keyedlog.Log
	// Servers holds the backend servers' entries.
	Servers() keyedlog.Log
	// Status holds the roll-outs' states.
	Status() keyedlog.Log
	// Observations is what instances tell each other.
	Observations() keyedlog.Log
	// Instances is where those of a failure domain find each other.
	Instances(domain string) keyedlog.Log
}

// Clock tells the time since some fixed moment. It must go on while the machine is
// suspended, and must not follow changes of the time of day.
type Clock interface{ Now() time.Time }

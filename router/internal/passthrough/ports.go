package passthrough

import (
	"net/http"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
)

// Headers reads and writes the headers of requests and responses.
type Headers interface {
	// ReadCaller decodes the headers of a caller's request.
	ReadCaller(h http.Header) seam.Caller
	// WriteAttempt returns the headers of an attempt, made from the caller's.
	WriteAttempt(caller http.Header, a seam.Attempt) http.Header
	// ReadResponse decodes the status and headers of a backend server's response.
	ReadResponse(status int, h http.Header) seam.Response
	// ResponseHeaders returns the headers of a backend server's response that are passed on to
	// the caller.
	ResponseHeaders(h http.Header) http.Header
}

// Records decodes and encodes the records of the platform's topics. Decoding a malformed record
// returns an error.
type Records interface {
	// Config decodes the configuration; ok is false for a record of another kind.
	Config(r keyedlog.Record) (c passthrough.Config, ok bool, err error)
	// Order decodes a roll-out order; ok is false for a record of another kind.
	Order(r keyedlog.Record) (o passthrough.Order, ok bool, err error)
	// DrainedDomain decodes a drain order: the failure domain to drain or, if the record's value
	// is empty, the one whose drain ends; ok is false for a record of another kind.
	DrainedDomain(r keyedlog.Record) (domain string, ok bool)
	// Server decodes a backend server's entry.
	Server(r keyedlog.Record) (passthrough.Server, error)
	// Status decodes the phase of a service's roll-out; ok is false for a record of
	// another kind.
	Status(r keyedlog.Record) (service, target string, phase passthrough.Phase, ok bool, err error)
	// StatusRecord encodes the phase of a service's roll-out.
	StatusRecord(service, target string, phase passthrough.Phase) (keyedlog.Record, error)
}

// Store provides the platform's topics.
type Store interface {
	// Operator holds the configuration, the roll-out orders and the drain orders.
	Operator() keyedlog.Log
	// Servers holds the backend servers' entries.
	Servers() keyedlog.Log
	// Status holds the phases of roll-outs. This topic is called the register in this package.
	Status() keyedlog.Log
	// Observations holds the instances' observation sets and crash records.
	Observations() keyedlog.Log
	// Instances holds the entries of a failure domain's instances, by which they find each
	// other.
	Instances(domain string) keyedlog.Log
}

// Clock measures time since a fixed moment. It must advance while the machine is suspended, and
// must not follow changes of the time of day.
type Clock interface{ Now() time.Time }

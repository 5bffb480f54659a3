package passthrough

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a route's requests, which determines whether they may run again.
type Kind uint8

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota + 1
	// KindAtMostOnce requests run at most once.
	KindAtMostOnce
	// KindStream responses are streams of events, forwarded as they arrive.
	KindStream
)

// Route maps the requests of a host below a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable streams may continue at another backend server.
	Resumable bool
	// Public routes need no API key.
	Public bool
	// MaxAttempts bounds the attempts of a request that reach a backend server.
	MaxAttempts int
	// Timeout bounds how long a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which a response has its full value: until the whole
	// response, or until the first event of a stream.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events that still meets the target.
	TargetGap time.Duration
	// Priority is the default priority of requests; 0 is the highest.
	Priority int
	// Models are the models that the router chooses from, smallest first; empty if the caller
	// names the model.
	Models []string
	// Backends are the services and their weights.
	Backends []Backend
}

// Backend is a service with its weight in a route.
type Backend struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request of the route may run again after it may have run.
func (r *Route) Retryable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// Slots is how many requests an engine runs at once; 0 for a plain service, which runs no
	// models.
	Slots int
	// TokenCapacity is how many tokens of prompts and responses an engine holds, TokensPerEvent how many tokens an
	// event of its streams has; 0 if unknown.
	TokenCapacity  int
	TokensPerEvent int
	// MaxConns is how many connections a server takes from all instances together, 0 if unknown.
	MaxConns int
	// SlowStartDuration is how long after its start a server takes only SlowStartRate requests
	// per second; 0 if the service needs no slow start.
	SlowStartDuration time.Duration
	SlowStartRate     float64
}

// Team is a customer with its API keys.
type Team struct {
	Name string
	Keys []string
	// Priority replaces the route's if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds the size of callers' requests, the time that callers may take to send the
// headers, and the time for which they may leave a connection idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one complete version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Index finds routes and teams of one configuration. It is read-only once built.
type Index struct {
	Config
	hosts map[string][]*Route
	keys  map[string]*Team
}

// NewIndex builds the index of a configuration.
func NewIndex(c Config) *Index {
	x := &Index{Config: c, hosts: map[string][]*Route{}, keys: map[string]*Team{}}
	for i := range x.Routes {
		r := &x.Routes[i]
		host := strings.ToLower(r.Host)
		x.hosts[host] = append(x.hosts[host], r)
	}
	for _, list := range x.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range x.Teams {
		for _, key := range x.Teams[i].Keys {
			x.keys[key] = &x.Teams[i]
		}
	}
	return x
}

// Route returns the route with the longest matching path prefix, or nil. Host may include a
// port.
func (x *Index) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that owns the key, or nil.
func (x *Index) Team(key string) *Team { return x.keys[key] }

// NeedsKey reports whether the route's requests need an API key.
func (x *Index) NeedsKey(r *Route) bool { return len(x.Teams) > 0 && !r.Public }

// EffectivePriority is the team's priority if it has one, else the route's.
func EffectivePriority(t *Team, r *Route) int {
	if t != nil && t.HasPriority {
		return t.Priority
	}
	return r.Priority
}

// PickService chooses a service by weight, given a random number draw in [0, 1). It returns "" if
// no backend has a weight.
func (r *Route) PickService(draw float64) string {
	sum := 0.0
	for _, b := range r.Backends {
		sum += max(b.Weight, 0)
	}
	if sum <= 0 {
		return ""
	}
	draw *= sum
	last := ""
	for _, b := range r.Backends {
		if b.Weight <= 0 {
			continue
		}
		last = b.Service
		if draw < b.Weight {
			return last
		}
		draw -= b.Weight
	}
	return last
}

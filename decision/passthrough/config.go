package passthrough

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota + 1
	// KindOnce requests run at most once.
	KindAtMostOnce
	// KindStream answers are events that flow as they come.
	KindStream
)

// Route sends the requests of a host below a path prefix to a service.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable streams may go on at another backend server.
	Resumable bool
	// Public routes need no key.
	Public bool
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Timeout bounds how long a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer has its full worth: to the whole
	// answer, or to a stream's first event.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events of a stream that is in time.
	TargetGap time.Duration
	// Priority is the rank, 0 first.
	Priority int
	// Sizes are the models that the router chooses from, smallest first; none where
	// the caller names the model.
	Models []string
	// Backends are the services with their weights.
	Backends []Backend
}

// Backend is a service's part of a route.
type Backend struct {
	Service string
	Weight  float64
}

// Repeatable says whether a request of the route may run again after it may have run.
func (r *Route) Retryable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service is a group of alike backend servers.
type Service struct {
	Name string
	// Slots is how many requests an engine runs at once; 0 for a plain service.
	Slots int
	// WarmUp is how long after its start a server takes little, WarmUpRate how many requests a
	// second it takes then; 0 where a start makes no difference.
	SlowStartDuration time.Duration
	SlowStartRate     float64
}

// Team is a customer with its keys.
type Team struct {
	Name string
	Keys []string
	// Priority takes the place of the route's where Ranked is set.
	Priority    int
	HasPriority bool
}

// Limits bounds what a caller may send, and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration, whole.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Index finds routes and teams of one configuration. It is read-only once made.
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

// Route returns the route with the longest prefix that begins the path, or nil. Host
// may carry a port.
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

// Team returns the team that holds the key, or nil.
func (x *Index) Team(key string) *Team { return x.keys[key] }

// NeedsKey says whether the route's requests need a key.
func (x *Index) NeedsKey(r *Route) bool { return len(x.Teams) > 0 && !r.Public }

// Rank is the priority of the team's requests on the route: the team's where it has
// one, else the route's.
func EffectivePriority(t *Team, r *Route) int {
	if t != nil && t.HasPriority {
		return t.Priority
	}
	return r.Priority
}

// Pick chooses a service by weight; at is a fraction of 1. It returns "" where no
// backend has a weight.
func (r *Route) PickService(at float64) string {
	sum := 0.0
	for _, b := range r.Backends {
		sum += max(b.Weight, 0)
	}
	if sum <= 0 {
		return ""
	}
	at *= sum
	last := ""
	for _, b := range r.Backends {
		if b.Weight <= 0 {
			continue
		}
		last = b.Service
		if at < b.Weight {
			return last
		}
		at -= b.Weight
	}
	return last
}

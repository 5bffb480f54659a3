// Package directory keeps the platform's list of instances and backend servers,
// and polls the load of the backend servers that this instance uses, a subset in
// a large fleet. The list lags behind; a backend server's own report that it is
// leaving takes effect at once.
package directory

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"masticplank.example/decision"
	"masticplank.example/router/internal/httpanswer"
	"masticplank.example/router/internal/platform"
	"masticplank.example/router/internal/wire"
)

const (
	// loadTimeout bounds one request for a load report; an older report would
	// be of little use.
	loadTimeout = 2 * time.Second
	// reportedPollFactor is the factor by which the poll interval is lengthened
	// for a server that states its load in its responses. It is still polled,
	// to learn that it is leaving, its loaded versions and its cache events.
	reportedPollFactor = 8
	// maxLoadReportBytes bounds a report's body.
	maxLoadReportBytes = 4 << 20
)

// Sender takes events for package decision; *driver.Driver implements it.
type Sender interface{ Send(decision.Event) }

// Directory holds the list and the state of each backend server's polling. It
// is safe for concurrent use.
type Directory struct {
	instance     string
	list         platform.InstanceLister
	sender       Sender
	client       *http.Client
	listInterval time.Duration
	loadInterval time.Duration

	mu        sync.RWMutex
	servers   map[decision.ServerID]wire.ListedServer
	instances []wire.ListedInstance
	// listed is the last list, reduced to this instance's subset. servers holds
	// the same servers by ID, with their reported versions.
	listed []wire.ListedServer
	// reportedVersions are the versions that backend servers reported as loaded.
	// They are newer than those in the list.
	reportedVersions map[decision.ServerID][]string
	// loadReportedAt is when a server last stated its load in a response.
	loadReportedAt map[decision.ServerID]time.Time
	// pollers holds the function that stops each server's load poller.
	pollers map[decision.ServerID]context.CancelFunc
	hasList bool
}

// New returns the directory of an instance; Run starts it.
func New(instance string, list platform.InstanceLister, sender Sender, listInterval, loadInterval time.Duration) *Directory {
	return &Directory{
		instance:         instance,
		list:             list,
		sender:           sender,
		client:           httpanswer.NewClient(loadTimeout),
		listInterval:     listInterval,
		loadInterval:     loadInterval,
		servers:          map[decision.ServerID]wire.ListedServer{},
		reportedVersions: map[decision.ServerID][]string{},
		loadReportedAt:   map[decision.ServerID]time.Time{},
		pollers:          map[decision.ServerID]context.CancelFunc{},
	}
}

// Addr returns the address of a backend server; false if the server is not
// listed or not in this instance's subset.
func (d *Directory) Addr(id decision.ServerID) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s, ok := d.servers[id]
	return s.Addr, ok
}

// Instances returns the router instances of the last list.
func (d *Directory) Instances() []wire.ListedInstance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.instances
}

// HasList reports whether the list was read at least once.
func (d *Directory) HasList() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.hasList
}

// Run reads the list every listInterval until ctx ends. While the list cannot
// be read, the last one stays in force: otherwise an outage of the list would
// remove every backend server.
func (d *Directory) Run(ctx context.Context) {
	defer d.stopPollers()
	ticker := time.NewTicker(d.listInterval)
	defer ticker.Stop()
	for {
		d.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Directory) refresh(ctx context.Context) {
	got, err := d.list.Fetch(ctx)
	if err != nil {
		return
	}
	d.mu.Lock()
	d.listed = Subset(d.instance, got.Servers)
	d.instances = got.Instances
	d.mu.Unlock()
	d.publish()
	d.mu.Lock()
	d.hasList = true
	d.mu.Unlock()
	d.syncPollers(ctx)
}

// publish sends the servers of this instance's subset to package decision.
// Versions that engines report themselves replace the listed ones: after an
// order the list lags behind the engines' reports.
func (d *Directory) publish() {
	d.mu.Lock()
	rows := make([]decision.Server, 0, len(d.listed))
	byID := make(map[decision.ServerID]wire.ListedServer, len(d.listed))
	for _, s := range d.listed {
		id := decision.ServerID(s.ID)
		if versions, reported := d.reportedVersions[id]; reported && s.Service == "" {
			s.Versions = versions
		}
		rows = append(rows, toServer(s))
		byID[id] = s
	}
	d.servers = byID
	d.mu.Unlock()
	d.sender.Send(decision.ServersListed{Servers: rows})
}

// Engines returns the engines of this instance's subset that are in a failure
// domain, with their loaded versions.
func (d *Directory) Engines(domain string) []wire.ListedServer {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []wire.ListedServer
	for _, listed := range d.listed {
		s := d.servers[decision.ServerID(listed.ID)]
		if s.Domain == domain && s.Service == "" {
			out = append(out, s)
		}
	}
	return out
}

// updateVersions records the versions that a server reports as loaded, and
// publishes the list again if they changed.
func (d *Directory) updateVersions(id decision.ServerID, versions []string) {
	d.mu.Lock()
	changed := !slices.Equal(d.servers[id].Versions, versions)
	d.reportedVersions[id] = versions
	d.mu.Unlock()
	if changed {
		d.publish()
	}
}

func toServer(s wire.ListedServer) decision.Server {
	row := decision.Server{
		ID:      decision.ServerID(s.ID),
		Domain:  decision.DomainID(s.Domain),
		Service: decision.ServiceID(s.Service),
		Slots:   s.Slots,
		Leaving: s.Leaving,
	}
	for _, v := range s.Versions {
		row.Versions = append(row.Versions, decision.VersionID(v))
	}
	return row
}

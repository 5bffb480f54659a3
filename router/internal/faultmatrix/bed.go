package faultmatrix

import (
	"context"
	"sync"
	"testing"
	"time"

	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/router/internal/wire"
)

// bound is the freshness bound of all instances.
const bound = 5 * time.Second

// bed is a fleet on one in-memory log, with its backend servers.
type bed struct {
	t   *testing.T
	log *logtest.Log
	net *network

	mu        sync.Mutex
	instances map[string]*instance
	// all has also those that a later instance of the same name replaced.
	all []*instance
	// faults holds what happens at a step of the first request or publication
	// at instance a, once.
	faults map[string]func()
	// asked counts the questions to a's gate since the request began.
	asked int
	// leaving are backend servers that leave; nextLeaves marks whichever is
	// called next; behaviour is what the next run does.
	leaving    map[string]time.Time
	nextLeaves bool
	nobodyRuns bool
	behaviour  string
	serving    string
	// kind and key are those of the cell's request.
	kind, key string
	// hangUp makes its caller leave.
	hangUp  context.CancelFunc
	runs    []run
	answers []answer
	// withdrawn has when a version's withdrawal was in force everywhere.
	withdrawn map[string]time.Time
	// slack is the bound in cells in which an instance may not have heard.
	slack time.Duration
	// startsCut: the next instance starts cut off from the log.
	startsCut bool
	// drained is told how many bills a planned stop left at the instance.
	drained chan int
}

// run is one run at a backend server.
type run struct {
	request, version, server string
	at                       time.Time
}

// fleet is the list of live instances.
var fleet = []wire.ListedInstance{
	{ID: "a", Peer: "a:81", Domain: "salle-rimouski"},
	{ID: "b", Peer: "b:81", Domain: "salle-matane"},
	{ID: "c", Peer: "c:81", Domain: "salle-riviere"},
}

func newBed(t *testing.T) *bed {
	b := &bed{
		t:         t,
		log:       logtest.New(),
		net:       newNetwork(),
		instances: map[string]*instance{},
		faults:    map[string]func(){},
		leaving:   map[string]time.Time{},
		withdrawn: map[string]time.Time{},
		drained:   make(chan int, 1),
	}
	for _, name := range []string{"e1", "e2", "s1", "s2"} {
		b.serve(name)
	}
	t.Cleanup(b.stop)
	return b
}

// begun is a bed with three instances and the first manifest in force.
func begun(t *testing.T) *bed {
	b := newBed(t)
	for _, l := range fleet {
		b.start(l.ID)
	}
	if r := b.instances["b"].publisher.Publish(t.Context(), first(), true); r.Outcome.Code != "accepted" {
		t.Fatalf("the first manifest: %+v", r)
	}
	time.Sleep(time.Second)
	return b
}

func (b *bed) stop() {
	for _, in := range b.all {
		b.kill(in)
	}
	for _, in := range b.all {
		in.ended.Wait()
	}
	for _, name := range []string{"e1", "e2", "s1", "s2"} {
		b.net.lose(name)
	}
	b.net.close()
}

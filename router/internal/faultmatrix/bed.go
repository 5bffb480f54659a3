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
const freshnessBound = 5 * time.Second

// bed is a fleet on one in-memory log, with its backend servers.
type testbed struct {
	t   *testing.T
	log *logtest.Log
	net *network

	mu        sync.Mutex
	instances map[string]*instance
	// all has also those that a later instance of the same name replaced.
	allInstances []*instance
	// faults holds what happens at a step of the first request or publication
	// at instance a, once.
	faults map[string]func()
	// asked counts the questions to a's gate since the request began.
	gateChecks int
	// leaving are backend servers that leave; nextLeaves marks whichever is
	// called next; behaviour is what the next run does.
	leaving           map[string]time.Time
	nextLeaving       bool
	allServersLeaving bool
	behaviour         string
	servingServer     string
	// kind and key are those of the cell's request.
	kind, key string
	// hangUp makes its caller leave.
	cancelCaller context.CancelFunc
	runs         []run
	answers      []answer
	// withdrawn has when a version's withdrawal was in force everywhere.
	withdrawn map[string]time.Time
	// slack is the bound in cells in which an instance may not have heard.
	withdrawalSlack time.Duration
	// startsCut: the next instance starts cut off from the log.
	startDisconnected bool
	// drained is told how many bills a planned stop left at the instance.
	heldAfterDrain chan int
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

func newTestbed(t *testing.T) *testbed {
	b := &testbed{
		t:              t,
		log:            logtest.New(),
		net:            newNetwork(),
		instances:      map[string]*instance{},
		faults:         map[string]func(){},
		leaving:        map[string]time.Time{},
		withdrawn:      map[string]time.Time{},
		heldAfterDrain: make(chan int, 1),
	}
	for _, name := range []string{"e1", "e2", "s1", "s2"} {
		b.serveBackend(name)
	}
	t.Cleanup(b.stop)
	return b
}

// begun is a bed with three instances and the first manifest in force.
func readyTestbed(t *testing.T) *testbed {
	b := newTestbed(t)
	for _, l := range fleet {
		b.start(l.ID)
	}
	if r := b.instances["b"].publisher.Publish(t.Context(), initialManifest(), true); r.Outcome.Code != "accepted" {
		t.Fatalf("the first manifest: %+v", r)
	}
	time.Sleep(time.Second)
	return b
}

func (b *testbed) stop() {
	for _, in := range b.allInstances {
		b.kill(in)
	}
	for _, in := range b.allInstances {
		in.goroutines.Wait()
	}
	for _, name := range []string{"e1", "e2", "s1", "s2"} {
		b.net.takeDown(name)
	}
	b.net.close()
}

package faultmatrix

import (
	"context"
	"sync"
	"testing"
	"time"

	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/router/internal/wire"
)

// freshnessBound is the freshness bound of all instances.
const freshnessBound = 5 * time.Second

// testbed is a fleet of instances on one in-memory log, with backend servers.
type testbed struct {
	t   *testing.T
	log *logtest.Log
	net *network

	mu        sync.Mutex
	instances map[string]*instance
	// allInstances includes those that a later instance of the same name
	// replaced.
	allInstances []*instance
	// faults holds, by step, the fault that is injected once when the request or
	// publication at instance a reaches the step.
	faults map[string]func()
	// gateChecks counts the calls of the gates' MayRun since the last request
	// was sent.
	gateChecks int
	// leaving holds, by backend server, the time at which it began to leave.
	leaving map[string]time.Time
	// nextLeaving makes the next backend server that is called begin to leave.
	nextLeaving bool
	// allServersLeaving makes all backend servers refuse as leaving.
	allServersLeaving bool
	// behaviour of the next run at a backend server; empty is normal.
	behaviour string
	// servingServer is the backend server of the last run.
	servingServer string
	// kind and key are those of the cell's request.
	kind, key string
	// cancelCaller makes the caller of the last request to instance a
	// disconnect.
	cancelCaller context.CancelFunc
	runs         []run
	answers      []answer
	// withdrawn holds, by version, the time at which its withdrawal was in force
	// everywhere.
	withdrawn map[string]time.Time
	// withdrawalSlack is how long after that time runs are still allowed: the
	// freshness bound in cells where an instance cannot learn of the withdrawal,
	// else 0.
	withdrawalSlack time.Duration
	// startDisconnected makes instances that are launched from now on start
	// disconnected from the log.
	startDisconnected bool
	// heldAfterDrain receives the number of bills that only the instance still
	// held at the end of its planned stop.
	heldAfterDrain chan int
}

// run is one execution of a request at a backend server.
type run struct {
	request, version, server string
	at                       time.Time
}

// fleet is the platform's list of instances. It stays the same while an
// instance is down.
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

// readyTestbed returns a testbed with three instances and the initial manifest
// in force.
func readyTestbed(t *testing.T) *testbed {
	b := newTestbed(t)
	for _, l := range fleet {
		b.start(l.ID)
	}
	if r := b.instances["b"].publisher.Publish(t.Context(), initialManifest(), true); r.Outcome.Code != "accepted" {
		t.Fatalf("publishing the initial manifest: %+v", r)
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

package billing

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// scripted answers each call with the next step and repeats the last one.
type scripted struct {
	reachable bool
	puts      []node.Outcome
	holds     []error
	nput      int
	nhold     int
}

func (s *scripted) Reachable() bool { return s.reachable }

func (s *scripted) Put(context.Context, record.Record) node.Result {
	s.nput++
	return node.Result{Outcome: s.puts[min(s.nput, len(s.puts))-1]}
}

func (s *scripted) Hold(context.Context, record.Record) error {
	s.nhold++
	return s.holds[min(s.nhold, len(s.holds))-1]
}

// TestRecord walks what the log and the peers can say. A nil error means that
// the bill is in the log or held twice; nothing else may give one.
func TestRecord(t *testing.T) {
	noPeer := errors.New("no peer")
	for name, c := range map[string]struct {
		log     scripted
		durable bool
		puts    int
		holds   int
	}{
		"in the log":            {scripted{reachable: true, puts: []node.Outcome{node.OutcomeWon}}, true, 1, 0},
		"another's bill is in":  {scripted{reachable: true, puts: []node.Outcome{node.OutcomeLost}}, true, 1, 0},
		"log down":              {scripted{holds: []error{nil}}, true, 0, 1},
		"reply lost":            {scripted{reachable: true, puts: []node.Outcome{node.OutcomeUnknown}, holds: []error{nil}}, true, 1, 1},
		"refused":               {scripted{reachable: true, puts: []node.Outcome{node.OutcomeVoid}, holds: []error{nil}}, true, 1, 1},
		"no peer known at once": {scripted{holds: []error{noPeer, noPeer, nil}}, true, 0, 3},
		"log back meanwhile": {scripted{reachable: true, puts: []node.Outcome{node.OutcomeVoid, node.OutcomeWon},
			holds: []error{noPeer}}, true, 2, 1},
		"nothing helps": {scripted{holds: []error{noPeer}}, false, 0, 1 + int(recordTimeout/tryInterval)},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			bill := ledger.Bill{Team: "weavers", RequestID: "r1"}
			err := New(&c.log, &c.log).Record(t.Context(), bill)
			if (err == nil) != c.durable || c.log.nput != c.puts || c.log.nhold != c.holds {
				t.Errorf("%s: error %v, %d puts, %d holds", name, err, c.log.nput, c.log.nhold)
			}
			if time.Since(start) > recordTimeout {
				t.Errorf("%s: took %v", name, time.Since(start))
			}
		})
	}
}

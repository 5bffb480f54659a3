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

// fakeLog is a log and a holder. Each call returns the next scripted result; the
// last one is repeated.
type fakeLog struct {
	reachable bool
	puts      []node.Outcome
	holds     []error
	putCalls  int
	holdCalls int
}

func (s *fakeLog) Reachable() bool { return s.reachable }

func (s *fakeLog) Put(context.Context, record.Record) node.Result {
	s.putCalls++
	return node.Result{Outcome: s.puts[min(s.putCalls, len(s.puts))-1]}
}

func (s *fakeLog) Hold(context.Context, record.Record) error {
	s.holdCalls++
	return s.holds[min(s.holdCalls, len(s.holds))-1]
}

// TestRecord combines the results of the log and the holder. Record may return nil
// only if the bill is in the log or held at two instances; otherwise an answer would
// be given without a bill.
func TestRecord(t *testing.T) {
	noPeer := errors.New("no peer")
	for name, c := range map[string]struct {
		log     fakeLog
		durable bool
		puts    int
		holds   int
	}{
		"in the log":              {fakeLog{reachable: true, puts: []node.Outcome{node.OutcomeWon}}, true, 1, 0},
		"earlier bill in the log": {fakeLog{reachable: true, puts: []node.Outcome{node.OutcomeLost}}, true, 1, 0},
		"log unreachable":         {fakeLog{holds: []error{nil}}, true, 0, 1},
		"reply lost":              {fakeLog{reachable: true, puts: []node.Outcome{node.OutcomeUnknown}, holds: []error{nil}}, true, 1, 1},
		"refused by the log":      {fakeLog{reachable: true, puts: []node.Outcome{node.OutcomeVoid}, holds: []error{nil}}, true, 1, 1},
		"no peer at first":        {fakeLog{holds: []error{noPeer, noPeer, nil}}, true, 0, 3},
		"log accepts the second try": {fakeLog{reachable: true, puts: []node.Outcome{node.OutcomeVoid, node.OutcomeWon},
			holds: []error{noPeer}}, true, 2, 1},
		"every try fails": {fakeLog{holds: []error{noPeer}}, false, 0, 1 + int(recordTimeout/retryInterval)},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			bill := ledger.Bill{Team: "weavers", RequestID: "r1"}
			err := New(&c.log, &c.log).Record(t.Context(), bill)
			if (err == nil) != c.durable || c.log.putCalls != c.puts || c.log.holdCalls != c.holds {
				t.Errorf("%s: error %v after %d puts and %d holds", name, err, c.log.putCalls, c.log.holdCalls)
			}
			if time.Since(start) > recordTimeout {
				t.Errorf("%s: took %v, want at most recordTimeout", name, time.Since(start))
			}
		})
	}
}

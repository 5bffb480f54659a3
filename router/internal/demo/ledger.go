package demo

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/platformlog"
	"masticplank.example/coordination/record"
	"masticplank.example/router/internal/billing"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/platform"
)

const (
	ledgerPage = 500
	// ledgerPoll is how long one read waits for late bills.
	ledgerPoll = 200 * time.Millisecond
	// ledgerPatience bounds the wait for bills that are held.
	ledgerPatience = 5 * time.Second
)

// ledger is the bills as any reader of the log finds them.
type ledger struct {
	// bills by request id; more than one is a broken promise.
	bills map[string][]billing.Bill
	// void counts proposals of a bill that another one had won.
	void int
}

// readLedger folds the whole log, and waits for late bills until all of want
// are there or the patience has ended.
func readLedger(ctx context.Context, logURL string, want []string) (ledger, error) {
	l := ledger{bills: map[string][]billing.Bill{}}
	state := fold.New(fold.Config{}, fold.Options{Validators: map[record.Class]fold.Validator{
		record.ClassManifest: func(r record.Record, _ *fold.State) error { return manifest.CheckRecord(r) },
	}})
	client := platform.NewLogClient(logURL)
	limit := time.Now().Add(ledgerPatience)
	next := uint64(0)
	for {
		page, err := client.Read(ctx, next, ledgerPage, ledgerPoll)
		if err != nil {
			return l, trace.Wrap(err)
		}
		for _, e := range page.Entries {
			if err := l.fold(state, e); err != nil {
				return l, err
			}
		}
		next += uint64(len(page.Entries))
		atHead := next == page.Head
		if atHead && (l.has(want) || time.Now().After(limit)) {
			return l, nil
		}
	}
}

func (l *ledger) fold(state *fold.State, e platformlog.Entry) error {
	changes, err := state.Apply(e, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, c := range changes {
		if c.Record.Kind != record.KindPut || c.Record.Key.Class() != record.ClassBill {
			continue
		}
		if c.Verdict != fold.VerdictWon {
			l.void++
			continue
		}
		if err := l.add(c.Record.Value); err != nil {
			return err
		}
	}
	return nil
}

func (l *ledger) add(value []byte) error {
	var b billing.Bill
	if err := json.Unmarshal(value, &b); err != nil {
		return trace.Wrap(err, "a bill in the log cannot be read")
	}
	if b.Request == "" {
		return trace.Wrap(errors.New("a bill names no request"))
	}
	l.bills[b.Request] = append(l.bills[b.Request], b)
	return nil
}

func (l *ledger) has(want []string) bool {
	for _, id := range want {
		if len(l.bills[id]) == 0 {
			return false
		}
	}
	return true
}

package demo

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/fold"
	bills "masticplank.example/coordination/ledger"
	"masticplank.example/router/internal/platform"
)

const (
	// ledgerPoll is the time between two exports while bills are awaited.
	ledgerPoll = 100 * time.Millisecond
	// ledgerPatience bounds the wait for bills that are held.
	ledgerPatience = 5 * time.Second
)

// ledger is the bills as any reader of the log finds them.
type ledger struct {
	// bills by request id; more than one is a broken promise.
	bills map[string][]bills.Bill
	// void counts proposals of a bill that another one had won.
	void int
}

// readLedger exports the bills, and waits for late ones until all of want are
// there or the patience has ended.
func readLedger(ctx context.Context, logURL string, want []string) (ledger, error) {
	limit := time.Now().Add(ledgerPatience)
	for {
		l, err := export(ctx, logURL)
		if err != nil || l.has(want) || time.Now().After(limit) {
			return l, trace.Wrap(err)
		}
		time.Sleep(ledgerPoll)
	}
}

func export(ctx context.Context, logURL string) (ledger, error) {
	l := ledger{bills: map[string][]bills.Bill{}}
	client := platform.NewLogClient(logURL)
	sum, err := bills.Export(ctx, client, fold.DefaultConfig(), 0, func(line bills.ExportedBill) error {
		l.bills[line.RequestID] = append(l.bills[line.RequestID], line.Bill)
		return nil
	})
	if err == nil && sum.Malformed > 0 {
		err = trace.Errorf("%d bills in the log cannot be read", sum.Malformed)
	}
	l.void = sum.Duplicates
	return l, err
}

func (l *ledger) has(want []string) bool {
	for _, id := range want {
		if len(l.bills[id]) == 0 {
			return false
		}
	}
	return true
}

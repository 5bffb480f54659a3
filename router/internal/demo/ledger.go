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
	billPollInterval = 100 * time.Millisecond
	// ledgerPatience bounds the wait for bills that are held.
	billTimeout = 5 * time.Second
)

// ledger is the bills as any reader of the log finds them.
type billExport struct {
	// bills by request id; more than one is a broken promise.
	byRequest map[string][]bills.Bill
	// void counts proposals of a bill that another one had won.
	duplicates int
}

// readLedger exports the bills, and waits for late ones until all of want are
// there or the patience has ended.
func awaitBills(ctx context.Context, logURL string, want []string) (billExport, error) {
	deadline := time.Now().Add(billTimeout)
	for {
		l, err := exportBills(ctx, logURL)
		if err != nil || l.hasAll(want) || time.Now().After(deadline) {
			return l, trace.Wrap(err)
		}
		time.Sleep(billPollInterval)
	}
}

func exportBills(ctx context.Context, logURL string) (billExport, error) {
	l := billExport{byRequest: map[string][]bills.Bill{}}
	client := platform.NewLogClient(logURL)
	sum, err := bills.Export(ctx, client, fold.DefaultConfig(), 0, func(line bills.ExportedBill) error {
		l.byRequest[line.RequestID] = append(l.byRequest[line.RequestID], line.Bill)
		return nil
	})
	if err == nil && sum.Malformed > 0 {
		err = trace.Errorf("%d bills in the log cannot be read", sum.Malformed)
	}
	l.duplicates = sum.Duplicates
	return l, err
}

func (l *billExport) hasAll(want []string) bool {
	for _, id := range want {
		if len(l.byRequest[id]) == 0 {
			return false
		}
	}
	return true
}

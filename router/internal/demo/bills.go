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
	// billPollInterval is the time between two exports while bills are missing.
	billPollInterval = 100 * time.Millisecond
	// billTimeout bounds the wait for bills that instances still hold.
	billTimeout = 5 * time.Second
)

// billExport holds the bills exported from the log.
type billExport struct {
	// byRequest holds the bills by request ID; more than one for a request
	// breaks promiseBilled.
	byRequest map[string][]bills.Bill
	// duplicates counts the bill records that were void because an earlier one
	// for the same request had won.
	duplicates int
}

// awaitBills exports the bills until those of all requests in want are found, or
// billTimeout has passed.
func awaitBills(ctx context.Context, logURL string, want []string) (billExport, error) {
	deadline := time.Now().Add(billTimeout)
	for {
		exported, err := exportBills(ctx, logURL)
		if err != nil || exported.hasAll(want) || time.Now().After(deadline) {
			return exported, trace.Wrap(err)
		}
		time.Sleep(billPollInterval)
	}
}

func exportBills(ctx context.Context, logURL string) (billExport, error) {
	exported := billExport{byRequest: map[string][]bills.Bill{}}
	client := platform.NewLogClient(logURL)
	sum, err := bills.Export(ctx, client, fold.DefaultConfig(), 0, func(line bills.ExportedBill) error {
		exported.byRequest[line.RequestID] = append(exported.byRequest[line.RequestID], line.Bill)
		return nil
	})
	if err == nil && sum.Malformed > 0 {
		err = trace.Errorf("%d bills in the log cannot be read", sum.Malformed)
	}
	exported.duplicates = sum.Duplicates
	return exported, err
}

func (e *billExport) hasAll(want []string) bool {
	for _, id := range want {
		if len(e.byRequest[id]) == 0 {
			return false
		}
	}
	return true
}

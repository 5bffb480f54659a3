package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/platformlog"
	"masticplank.example/coordination/record"
)

// ExportedBill is one bill of an export.
type ExportedBill struct {
	Offset uint64    `json:"offset"`
	At     time.Time `json:"at"`
	Writer string    `json:"writer"`
	Bill
}

// ExportSummary describes what an export covered.
type ExportSummary struct {
	// FirstOffset is the oldest offset that the log still had; earlier exports
	// cover the bills before it.
	FirstOffset uint64
	// NextOffset is the offset from which the next export must start.
	NextOffset uint64
	// Bills is the number of exported bills. Duplicates is the number of Puts of
	// bills that did not win, counted from FirstOffset, not from the offset at
	// which the export starts.
	Bills      int
	Duplicates int
	// Malformed is the number of bills that won their register but cannot be
	// decoded. They are not exported and need manual inspection.
	Malformed int
}

// exportPageEntries is the maximum number of entries of one read.
const exportPageEntries = 512

// Export reads the log up to its head and calls emit for each bill that won, in
// log order, starting at offset from. It folds from the oldest offset kept,
// since a record after from may duplicate a bill before it; so two consecutive
// exports give each bill once. An error of emit ends the export and is
// returned.
func Export(ctx context.Context, log platformlog.Log, cfg fold.Config, from uint64, emit func(ExportedBill) error) (ExportSummary, error) {
	e := exporter{from: from, emit: emit}
	first, err := oldestOffset(ctx, log)
	if err != nil {
		return e.summary, err
	}
	e.summary.FirstOffset, e.summary.NextOffset = first, first
	// The reader keeps bills for as long as the log does, since late duplicates
	// are voided only here.
	if cfg.Retention <= 0 {
		cfg.Retention = fold.DefaultConfig().Retention
	}
	cfg.BillLifetime = cfg.Retention
	state := fold.NewAtOffset(cfg, fold.Options{}, first)
	for {
		page, err := log.Read(ctx, e.summary.NextOffset, exportPageEntries, 0)
		if err != nil {
			return e.summary, trace.Wrap(err)
		}
		for _, entry := range page.Entries {
			changes, err := state.Apply(entry, nil)
			if err != nil {
				return e.summary, err
			}
			if err := e.addEntry(changes); err != nil {
				return e.summary, err
			}
			e.summary.NextOffset = entry.Offset + 1
		}
		if len(page.Entries) == 0 || e.summary.NextOffset >= page.Head {
			return e.summary, nil
		}
	}
}

// oldestOffset reads offset 0 and takes the oldest offset from the reply.
func oldestOffset(ctx context.Context, log platformlog.Log) (uint64, error) {
	page, err := log.Read(ctx, 0, 1, 0)
	if err != nil && !errors.Is(err, platformlog.ErrTrimmed) {
		return 0, trace.Wrap(err)
	}
	return page.First, nil
}

// exporter holds the state of one export.
type exporter struct {
	from    uint64
	emit    func(ExportedBill) error
	summary ExportSummary
}

func (e *exporter) addEntry(changes []fold.Change) error {
	for i := range changes {
		c := &changes[i]
		if c.Record.Kind != record.KindPut || c.Record.Key.Class() != record.ClassBill {
			continue
		}
		if c.Verdict != fold.VerdictWon {
			e.summary.Duplicates++
			continue
		}
		if c.Register.Offset < e.from {
			continue
		}
		if err := e.emitBill(c); err != nil {
			return err
		}
	}
	return nil
}

func (e *exporter) emitBill(c *fold.Change) error {
	b, err := ParseBill(c.Record)
	if err != nil {
		e.summary.Malformed++
		return nil
	}
	e.summary.Bills++
	return e.emit(ExportedBill{Offset: c.Register.Offset, At: c.Register.LogTime, Writer: c.Register.Writer, Bill: b})
}

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

// Line is one bill of an export.
type ExportedBill struct {
	Offset uint64    `json:"offset"`
	At     time.Time `json:"at"`
	Writer string    `json:"writer"`
	Bill
}

// Summary tells what an export covered.
type ExportSummary struct {
	// First is the oldest offset that the log still kept; bills before it were
	// for earlier exports.
	FirstOffset uint64
	// Next is where the next export starts (its From).
	NextOffset uint64
	// Bills were exported, Duplicates were void.
	Bills      int
	Duplicates int
	// Malformed bills won their register but can't be read; they are not
	// exported, and somebody should look at them.
	Malformed int
}

// exportPage is how many entries one read asks for.
const exportPageEntries = 512

// Export reads the log to its head and calls emit for each bill that counts, in
// log order, from offset from on. It folds from the oldest offset kept, since a
// copy after from may be of a bill before it; two exports in a row therefore
// give each bill once. An error of emit ends it and is returned.
func Export(ctx context.Context, log platformlog.Log, cfg fold.Config, from uint64, emit func(ExportedBill) error) (ExportSummary, error) {
	e := exporter{from: from, emit: emit}
	first, err := oldestOffset(ctx, log)
	if err != nil {
		return e.sum, err
	}
	e.sum.FirstOffset, e.sum.NextOffset = first, first
	// The reader keeps bills for as long as the log does: it is here that a copy
	// which comes late is void.
	if cfg.Retention <= 0 {
		cfg.Retention = fold.DefaultConfig().Retention
	}
	cfg.BillLifetime = cfg.Retention
	state := fold.NewAtOffset(cfg, fold.Options{}, first)
	for {
		page, err := log.Read(ctx, e.sum.NextOffset, exportPageEntries, 0)
		if err != nil {
			return e.sum, trace.Wrap(err)
		}
		for _, entry := range page.Entries {
			changes, err := state.Apply(entry, nil)
			if err != nil {
				return e.sum, err
			}
			if err := e.addEntry(changes); err != nil {
				return e.sum, err
			}
			e.sum.NextOffset = entry.Offset + 1
		}
		if len(page.Entries) == 0 || e.sum.NextOffset >= page.Head {
			return e.sum, nil
		}
	}
}

// firstKept asks for offset 0 and learns the oldest offset from the answer.
func oldestOffset(ctx context.Context, log platformlog.Log) (uint64, error) {
	page, err := log.Read(ctx, 0, 1, 0)
	if err != nil && !errors.Is(err, platformlog.ErrTrimmed) {
		return 0, trace.Wrap(err)
	}
	return page.First, nil
}

type exporter struct {
	from uint64
	emit func(ExportedBill) error
	sum  ExportSummary
}

func (e *exporter) addEntry(changes []fold.Change) error {
	for i := range changes {
		c := &changes[i]
		if c.Record.Kind != record.KindPut || c.Record.Key.Class() != record.ClassBill {
			continue
		}
		if c.Verdict != fold.VerdictWon {
			e.sum.Duplicates++
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
		e.sum.Malformed++
		return nil
	}
	e.sum.Bills++
	return e.emit(ExportedBill{Offset: c.Register.Offset, At: c.Register.LogTime, Writer: c.Register.Writer, Bill: b})
}

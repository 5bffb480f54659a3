package ledger

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog"
	"masticplank.example/coordination/record"
)

// Writer appends bills to a log of their own, which no instance tails or folds.
//
// Load: a fleet's bills, which are most of its records. Harm prevented: every
// instance reading every bill, in proportion to the whole fleet's requests.
//
// Why an acknowledged append is enough: the first bill of a request counts at the
// reader of the stream, whichever instance wrote it, so nobody needs to know who
// was first, only that a bill is in. An append whose reply was lost is sent again
// with the same nonce; the copy is void at the reader. Safe for concurrent use.
type Writer struct {
	log   platformlog.Log
	cfg   WriterConfig
	queue chan *pendingBill
	// failedAt is when the last append failed, in Unix nanoseconds; 0 when it
	// did not.
	failedAt atomic.Int64
	// last is the append loop's own.
	lastAppend time.Time
}

// WriterConfig of a Writer. Zero fields take the defaults named at each.
type WriterConfig struct {
	// Name of the instance. Required.
	Name string
	// Linger is the time between two appends; it is asked before each, since it
	// follows the number of instances. Default 20 ms.
	Linger func() time.Duration
	// CallTimeout bounds one append. Default 2 s.
	AppendTimeout time.Duration
}

const (
	defaultWriterLinger  = 20 * time.Millisecond
	defaultAppendTimeout = 2 * time.Second
	// writerQueue is how many bills may wait for the next append: one batch.
	writerQueueBills = record.MaxRecords
	// writerRest is waited after a failed append, so that a log that is down is
	// not asked by every bill.
	appendRetryDelay = 100 * time.Millisecond
	// writerProbe is how long a failed append keeps bills from the log: they are
	// held at once meanwhile, without a wait for each.
	unreachablePeriod = time.Second
)

// pending is one bill that waits for its append.
type pendingBill struct {
	record record.Record
	// done has room for the one outcome, so a waiter that has left blocks nobody.
	done chan error
}

// NewWriter returns a Writer; Run starts it.
func NewWriter(log platformlog.Log, cfg WriterConfig) *Writer {
	if cfg.Linger == nil {
		cfg.Linger = func() time.Duration { return defaultWriterLinger }
	}
	if cfg.AppendTimeout <= 0 {
		cfg.AppendTimeout = defaultAppendTimeout
	}
	return &Writer{log: log, cfg: cfg, queue: make(chan *pendingBill, writerQueueBills)}
}

// Reachable is false for a while after an append that failed; then the next bill
// asks the log again.
func (w *Writer) Reachable() bool {
	failed := w.failedAt.Load()
	return failed == 0 || time.Now().UnixNano()-failed > int64(unreachablePeriod)
}

// Put appends a bill with others. OutcomeWon says that it is in the log,
// OutcomeVoid that it never was handed over, OutcomeUnknown that it may be in;
// putting it again is harmless. It is a PutFunc.
func (w *Writer) Put(ctx context.Context, r record.Record) node.Result {
	p := &pendingBill{record: r, done: make(chan error, 1)}
	select {
	case w.queue <- p:
	case <-ctx.Done():
		return node.Result{Outcome: node.OutcomeVoid}
	}
	select {
	case err := <-p.done:
		return node.Result{Outcome: outcomeOf(err)}
	case <-ctx.Done():
		// The loop may take it up in this moment; unknown is true in any case.
		return node.Result{Outcome: node.OutcomeUnknown}
	}
}

func outcomeOf(err error) node.Outcome {
	switch {
	case err == nil:
		return node.OutcomeWon
	case errors.Is(err, platformlog.ErrNotAppended):
		return node.OutcomeVoid
	default:
		return node.OutcomeUnknown
	}
}

// Run appends until ctx ends, and then what is queued. Run it once.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case p := <-w.queue:
			w.waitLinger(ctx)
			w.appendGroup(w.collectGroup(p))
		case <-ctx.Done():
			w.appendQueued()
			return
		}
	}
}

// pace keeps the fleet's appends within its budget. After an idle linger the
// first bill goes out at once.
func (w *Writer) waitLinger(ctx context.Context) {
	timer := time.NewTimer(time.Until(w.lastAppend.Add(w.cfg.Linger())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// gather takes what else waits.
func (w *Writer) collectGroup(first *pendingBill) []*pendingBill {
	group := []*pendingBill{first}
	for len(group) < record.MaxRecords {
		select {
		case p := <-w.queue:
			group = append(group, p)
		default:
			return group
		}
	}
	return group
}

func (w *Writer) appendQueued() {
	select {
	case p := <-w.queue:
		w.appendGroup(w.collectGroup(p))
	default:
	}
}

func (w *Writer) appendGroup(group []*pendingBill) {
	w.lastAppend = time.Now()
	err := w.appendBatch(group)
	w.failedAt.Store(0)
	if err != nil {
		w.failedAt.Store(time.Now().UnixNano())
	}
	for _, p := range group {
		p.done <- err
	}
	if err != nil {
		time.Sleep(appendRetryDelay)
	}
}

func (w *Writer) appendBatch(group []*pendingBill) error {
	batch := record.Batch{Writer: w.cfg.Name, WriterTime: time.Now()}
	for _, p := range group {
		batch.Records = append(batch.Records, p.record)
	}
	data, err := record.Encode(batch)
	if err != nil {
		return errors.Join(platformlog.ErrNotAppended, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.cfg.AppendTimeout)
	defer cancel()
	_, err = w.log.Append(ctx, data)
	return err
}

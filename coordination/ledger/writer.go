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

// Writer appends bills to a log of their own, which no instance reads or folds.
//
// Load: bills, which are the majority of a fleet's records. Harm prevented: in
// the shared log, every instance would read all of them, so its load would grow
// with the requests of the whole fleet.
//
// An acknowledged append is enough: the first bill of a request wins at the
// reader of the log, whichever instance wrote it, so an instance needs to know
// only that a bill is in the log and not whether it was first. An append whose
// reply was lost is repeated with the same nonce, and the reader voids the
// duplicate. Writer is safe for concurrent use.
type Writer struct {
	log   platformlog.Log
	cfg   WriterConfig
	queue chan *pendingBill
	// failedAt is when the last append failed, in Unix nanoseconds; 0 if it
	// succeeded.
	failedAt atomic.Int64
	// lastAppend is when the last append started. Only Run accesses it.
	lastAppend time.Time
}

// WriterConfig configures a Writer. Zero fields take the documented defaults.
type WriterConfig struct {
	// Name is the name of the instance. Required.
	Name string
	// Linger returns the minimum time between two appends. It is called before
	// each append, since the time depends on the number of instances. Default
	// 20 ms.
	Linger func() time.Duration
	// AppendTimeout bounds one append. Default 2 s.
	AppendTimeout time.Duration
}

const (
	defaultWriterLinger  = 20 * time.Millisecond
	defaultAppendTimeout = 2 * time.Second
	// writerQueueBills is how many bills may wait for the next append: one batch.
	writerQueueBills = record.MaxRecords
	// appendRetryDelay is the pause after a failed append, so that queued bills do
	// not flood a log that is down.
	appendRetryDelay = 100 * time.Millisecond
	// unreachablePeriod is how long Reachable stays false after a failed append.
	// Bills are held at once during that time, instead of each waiting for the
	// log.
	unreachablePeriod = time.Second
)

// pendingBill is a bill that waits for its append.
type pendingBill struct {
	record record.Record
	// done has a buffer of one, so that Run does not block if the caller no longer
	// waits.
	done chan error
}

// NewWriter returns a Writer. It appends nothing until Run is called.
func NewWriter(log platformlog.Log, cfg WriterConfig) *Writer {
	if cfg.Linger == nil {
		cfg.Linger = func() time.Duration { return defaultWriterLinger }
	}
	if cfg.AppendTimeout <= 0 {
		cfg.AppendTimeout = defaultAppendTimeout
	}
	return &Writer{log: log, cfg: cfg, queue: make(chan *pendingBill, writerQueueBills)}
}

// Reachable returns false for a short time after a failed append. After that,
// the next bill tries the log again.
func (w *Writer) Reachable() bool {
	failed := w.failedAt.Load()
	return failed == 0 || time.Now().UnixNano()-failed > int64(unreachablePeriod)
}

// Put appends a bill, in one batch with others. OutcomeWon means that it is in
// the log, OutcomeVoid that it is not, and OutcomeUnknown that it may be in the
// log; putting it again is harmless. Put can be used as a PutFunc.
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
		// Run may take the bill off the queue at this moment.
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

// Run appends queued bills until ctx ends, and then what is still queued. It
// must be called once.
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

// waitLinger waits until Linger has passed since the last append, which keeps
// the appends of the fleet within its budget. If it has passed already, the next
// bill is appended at once.
func (w *Writer) waitLinger(ctx context.Context) {
	timer := time.NewTimer(time.Until(w.lastAppend.Add(w.cfg.Linger())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// collectGroup adds the other queued bills, up to a full batch.
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

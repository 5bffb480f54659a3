// Package billing makes each completed request's bill durable before its answer
// ends. The register bill/<team>/<request id> in the log takes the first bill
// and voids every other, so sending one again is harmless.
package billing

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// putTimeout bounds the wait for the log before a bill is held instead. It is
// several group commits long, and short beside a caller's patience.
const putTimeout = 2 * time.Second

// Bill covers all attempts of one request.
type Bill struct {
	Team    string `json:"team"`
	Request string `json:"request"`
	// Version that gave the answer; empty for a plain service.
	Version string `json:"version,omitempty"`
	Service string `json:"service,omitempty"`
	// PromptTokens and CompletionTokens are summed over all attempts.
	PromptTokens     int     `json:"prompt_tokens,omitempty"`
	CompletionTokens int     `json:"completion_tokens,omitempty"`
	Cost             float64 `json:"cost"`
	Attempts         int     `json:"attempts"`
	// Outcome is "completed" or "cancelled".
	Outcome string `json:"outcome"`
}

// Key is the bill's register.
func (b Bill) Key() record.Key {
	return record.Key(string(record.ClassBill) + "/" + b.Team + "/" + b.Request)
}

// Holder keeps a bill while the log is down: here and at one peer in another
// failure domain. It flushes by itself once the log is back.
type Holder interface {
	// Hold returns an error where no second copy could be had.
	Hold(ctx context.Context, r record.Record) error
}

// Biller records bills. It is safe for concurrent use.
type Biller struct {
	store  node.Store
	holder Holder
}

// New returns a biller. holder may be nil; then a bill needs the log.
func New(store node.Store, holder Holder) *Biller {
	return &Biller{store: store, holder: holder}
}

// Record returns nil once the bill is durable: read back from the log (the own
// one, or one for the same request before it), or held in two places. After an
// error the answer must not end as if it had been billed.
func (b *Biller) Record(ctx context.Context, bill Bill) error {
	rec, err := newRecord(bill)
	if err != nil {
		return trace.Wrap(err)
	}
	if b.store.Status().LogReachable || b.holder == nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), putTimeout)
		defer cancel()
		if b.put(ctx, rec) {
			return nil
		}
	}
	if b.holder == nil {
		return trace.ConnectionProblem(nil, "bill %s is not durable: the log did not take it", rec.Key)
	}
	return trace.Wrap(b.holder.Hold(context.WithoutCancel(ctx), rec))
}

func (b *Biller) put(ctx context.Context, rec record.Record) bool {
	switch b.store.Put(ctx, rec).Outcome {
	case node.OutcomeWon, node.OutcomeLost:
		return true
	default:
		return false
	}
}

func newRecord(bill Bill) (record.Record, error) {
	value, err := json.Marshal(bill)
	if err != nil {
		return record.Record{}, trace.Wrap(err)
	}
	rec := record.Record{Kind: record.KindPut, Key: bill.Key(), Value: value}
	if _, err := rand.Read(rec.Nonce[:]); err != nil {
		return record.Record{}, trace.Wrap(err)
	}
	return rec, nil
}

// Package ledger records bills: exactly one for each completed request,
// whichever instances write it and however often.
//
// Why each request is billed once: a bill is a register with the key
// "bill/<team>/<request>". The first bill in the log wins, the fold voids every
// other one, and it never releases a bill. A reader of the log applies the same
// fold and so exports the same bills. The nonce of a bill is derived from its
// content, so the copy that a peer holds is the same proposal as the original.
package ledger

import (
	"crypto/sha256"
	"errors"
	"net/url"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"masticplank.example/coordination/record"
)

// Errors of this package.
var (
	// ErrInvalidBill means that a bill lacks its team or request id, that one of
	// its fields is out of range, or that a record does not hold a bill.
	ErrInvalidBill = errors.New("ledger: invalid bill")
	// ErrBufferFull means that the outage buffer has no room for another bill. New
	// work must be refused.
	ErrBufferFull = errors.New("ledger: outage buffer is full")
	// ErrNoCopy means that no peer has accepted a copy of a bill.
	ErrNoCopy = errors.New("ledger: no peer accepted a copy")
)

// MicrosPerUnit is the number of CostMicros in one unit of the manifest's cost.
const MicrosPerUnit = 1_000_000

// maxFieldBytes bounds each name in a bill. Escaped, the team and the request
// id must also fit in a key.
const maxFieldBytes = 128

// MaxBillBytes bounds an encoded bill: four names and the numbers. A longer one
// was not written by an instance, and would use more memory than is counted for
// a bill.
const MaxBillBytes = 1 << 10

// Bill is the cost of one completed request to its team. It covers all attempts
// and cascade steps.
type Bill struct {
	Team      string `json:"team"`
	RequestID string `json:"request"`
	// Version is the model version that answered; empty for a plain service.
	Version string `json:"version,omitempty"`
	Service string `json:"service,omitempty"`
	// PromptTokens and OutputTokens are sums over all attempts.
	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
	// CostMicros is the cost in millionths of the manifest's unit of cost; a whole
	// number, so that sums are exact.
	CostMicros int64  `json:"cost_micros"`
	Attempts   uint32 `json:"attempts"`
	// Canceled means that the caller disconnected; what was generated until then
	// is billed.
	Canceled bool `json:"canceled,omitempty"`
}

// wireBill is the encoding of a Bill in the log.
type wireBill struct {
	_            struct{} `cbor:",toarray"`
	Team         string
	Request      string
	Version      string
	Service      string
	PromptTokens uint64
	OutputTokens uint64
	CostMicros   int64
	Attempts     uint32
	Canceled     bool
}

// Validate reports a missing or out-of-range field. Errors wrap ErrInvalidBill.
// router/internal/peer sends their texts to peers, so the texts must not change.
func (b *Bill) Validate() error {
	if b.Team == "" || b.RequestID == "" {
		return trace.Wrap(ErrInvalidBill, "no team or no request id")
	}
	for _, f := range []string{b.Team, b.RequestID, b.Version, b.Service} {
		if len(f) > maxFieldBytes {
			return trace.Wrap(ErrInvalidBill, "field of %d bytes", len(f))
		}
	}
	if b.CostMicros < 0 {
		return trace.Wrap(ErrInvalidBill, "negative cost")
	}
	if len(BillKey(b.Team, b.RequestID)) > record.MaxKeyBytes {
		return trace.Wrap(ErrInvalidBill, "names too long")
	}
	return nil
}

// BillKey returns the register key of a request's bill. Slashes in names are
// escaped, so no two requests share a key.
func BillKey(team, request string) record.Key {
	return record.Key(string(record.ClassBill) + "/" + url.PathEscape(team) + "/" + url.PathEscape(request))
}

// Record returns the bill's Put. Equal bills give equal nonces. Errors wrap
// ErrInvalidBill.
func (b *Bill) Record() (record.Record, error) {
	if err := b.Validate(); err != nil {
		return record.Record{}, err
	}
	value, err := cbor.Marshal(wireBill{
		Team:         b.Team,
		Request:      b.RequestID,
		Version:      b.Version,
		Service:      b.Service,
		PromptTokens: b.PromptTokens,
		OutputTokens: b.OutputTokens,
		CostMicros:   b.CostMicros,
		Attempts:     b.Attempts,
		Canceled:     b.Canceled,
	})
	if err != nil {
		return record.Record{}, trace.Wrap(ErrInvalidBill, "%v", err)
	}
	sum := sha256.Sum256(value)
	r := record.Record{Kind: record.KindPut, Key: BillKey(b.Team, b.RequestID), Value: value}
	copy(r.Nonce[:], sum[:])
	return r, nil
}

// ParseBill decodes the bill in a Put. Errors wrap ErrInvalidBill, also for a
// bill under the key of another request. router/internal/peer sends their texts
// to peers, so the texts must not change.
func ParseBill(r record.Record) (Bill, error) {
	if r.Kind != record.KindPut || !strings.HasPrefix(string(r.Key), string(record.ClassBill)+"/") {
		return Bill{}, trace.Wrap(ErrInvalidBill, "not the Put of a bill")
	}
	if len(r.Key) > record.MaxKeyBytes || len(r.Value) > MaxBillBytes {
		return Bill{}, trace.Wrap(ErrInvalidBill, "key of %d and value of %d bytes", len(r.Key), len(r.Value))
	}
	var w wireBill
	if err := cbor.Unmarshal(r.Value, &w); err != nil {
		return Bill{}, trace.Wrap(ErrInvalidBill, "%v", err)
	}
	b := Bill{
		Team:         w.Team,
		RequestID:    w.Request,
		Version:      w.Version,
		Service:      w.Service,
		PromptTokens: w.PromptTokens,
		OutputTokens: w.OutputTokens,
		CostMicros:   w.CostMicros,
		Attempts:     w.Attempts,
		Canceled:     w.Canceled,
	}
	if err := b.Validate(); err != nil {
		return Bill{}, err
	}
	if BillKey(b.Team, b.RequestID) != r.Key {
		return Bill{}, trace.Wrap(ErrInvalidBill, "bill under another request's key")
	}
	return b, nil
}

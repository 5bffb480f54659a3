// Package ledger holds bills: one for each completed request, whoever writes it
// and however often.
//
// Why each request is billed once: a bill is the register
// "bill/<team>/<request id>", so the first one in the log's order counts and
// the fold voids every other; the fold never takes a bill back. A reader of the
// stream folds it the same way and so exports the same bills. The nonce of a
// bill follows from its content, so the copy that a peer holds is the same
// proposal as the original, and no proposal of its own.
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
	// ErrBill means that a bill lacks its team or request id, or that a record
	// holds no bill.
	ErrInvalidBill = errors.New("ledger: invalid bill")
	// ErrFull means that the outage buffer has no room; new work is refused.
	ErrBufferFull = errors.New("ledger: outage buffer is full")
	// ErrNoCopy means that no peer keeps a copy of a bill.
	ErrNoCopy = errors.New("ledger: no peer keeps a copy")
)

// MicrosPerUnit is how many CostMicros make one unit of the manifest's cost.
const MicrosPerUnit = 1_000_000

// maxField bounds a bill's names in bytes; escaped they must fit in a key.
const maxFieldBytes = 128

// MaxValue bounds an encoded bill in bytes: four names and the numbers. A longer
// one comes from somebody else, and would take more memory than is counted.
const MaxBillBytes = 1 << 10

// Bill is what one completed request costs its team, all attempts and cascade
// steps included.
type Bill struct {
	Team      string `json:"team"`
	RequestID string `json:"request"`
	// Version that gave the answer; empty for a plain service.
	Version string `json:"version,omitempty"`
	Service string `json:"service,omitempty"`
	// PromptTokens and OutputTokens count all attempts.
	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
	// CostMicros is the cost in millionths of the manifest's unit of cost. It
	// is a whole number so that sums are exact.
	CostMicros int64  `json:"cost_micros"`
	Attempts   uint32 `json:"attempts"`
	// Canceled: the caller left, and what was generated until then is billed.
	Canceled bool `json:"canceled,omitempty"`
}

// wireBill is a Bill in the log.
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

// Check reports what a bill lacks. Errors wrap ErrBill.
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

// Key is the register of a request's bill. Slashes in names are escaped, so no
// two requests share a key.
func BillKey(team, request string) record.Key {
	return record.Key(string(record.ClassBill) + "/" + url.PathEscape(team) + "/" + url.PathEscape(request))
}

// Record is the bill's Put, with the same nonce whenever it is made from the
// same bill. Errors wrap ErrBill.
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

// Parse reads the bill that r puts. Errors wrap ErrBill; a bill under another
// request's key is one.
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

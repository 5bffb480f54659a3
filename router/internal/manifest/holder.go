package manifest

import (
	"sync/atomic"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

// Holder has the manifest in force at this instance. Reads take no lock.
type Holder struct {
	current atomic.Pointer[Index]
	// applied is told of each newer manifest, in order, before readers see it.
	applied func(*Index)
}

// NewHolder returns an empty holder. applied may be nil; it must not block.
func NewHolder(applied func(*Index)) *Holder {
	return &Holder{applied: applied}
}

// Current is the manifest in force; nil before the first.
func (h *Holder) Current() *Index { return h.current.Load() }

// Generation is the number in force, 0 before the first.
func (h *Holder) Generation() uint64 {
	if x := h.Current(); x != nil {
		return x.Manifest.Generation
	}
	return 0
}

// Fold takes a change of a manifest register. The fold gives winners in order;
// a generation that is not newer changes nothing, so that no replay reverts.
func (h *Holder) Fold(c fold.Change) error {
	if c.Verdict != fold.VerdictWon {
		return nil
	}
	return h.Apply(c.Register.Value)
}

// Apply puts an encoded manifest in force. One caller at a time.
func (h *Holder) Apply(encoded []byte) error {
	m, err := Parse(encoded)
	if err != nil {
		return trace.Wrap(err)
	}
	if m.Generation <= h.Generation() {
		return nil
	}
	x := NewIndex(m, record.ManifestDigest(encoded))
	if h.applied != nil {
		h.applied(x)
	}
	h.current.Store(x)
	return nil
}

// CheckRecord is the fold's check of a manifest's content. It depends on the
// record alone, so every reader comes to the same verdict.
func CheckRecord(r record.Record) error {
	m, err := Parse(r.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	if faults := Validate(m); len(faults) > 0 {
		return trace.Wrap(faults)
	}
	return nil
}

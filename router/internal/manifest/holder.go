package manifest

import (
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

// Holder holds the manifest in force at this instance. Current takes no lock.
type Holder struct {
	current atomic.Pointer[Index]
	// onApplied is called with each newer manifest, in order, before readers
	// see it.
	onApplied func(*Index)

	mu sync.Mutex
	// accepted holds the generations of the last publications by their id;
	// acceptedOrder holds the same ids, the one accepted first at the front.
	accepted      map[string]uint64
	acceptedOrder []string
}

// maxAccepted bounds the remembered publications. At 66,000 changes a day they
// span more than an hour, much longer than a pipeline retries a publication.
const maxAccepted = 4096

// NewHolder returns an empty holder. onApplied may be nil; it must not block.
func NewHolder(onApplied func(*Index)) *Holder {
	return &Holder{onApplied: onApplied, accepted: map[string]uint64{}}
}

// Current returns the manifest in force, or nil before the first one.
func (h *Holder) Current() *Index { return h.current.Load() }

// Generation returns the generation in force, 0 before the first manifest.
func (h *Holder) Generation() uint64 {
	if x := h.Current(); x != nil {
		return x.Manifest.Generation
	}
	return 0
}

// AcceptedGeneration returns the generation of a publication if it is one of the
// last maxAccepted that took effect here.
func (h *Holder) AcceptedGeneration(publication string) (generation uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	generation, ok = h.accepted[publication]
	return generation, ok
}

func (h *Holder) remember(m Manifest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, again := h.accepted[m.Publication]; !again {
		h.acceptedOrder = append(h.acceptedOrder, m.Publication)
	}
	h.accepted[m.Publication] = m.Generation
	if len(h.acceptedOrder) > maxAccepted {
		delete(h.accepted, h.acceptedOrder[0])
		h.acceptedOrder = h.acceptedOrder[1:]
	}
}

// Fold applies a change of a manifest register if its publication won. The fold
// reports such changes in the order of the log. A generation that is not newer is
// ignored, so that a replay never reverts to an older manifest.
func (h *Holder) Fold(c fold.Change) error {
	if c.Verdict != fold.VerdictWon {
		return nil
	}
	return h.Apply(c.Register.Value)
}

// Apply puts an encoded manifest in force unless its generation is not newer. It
// must not be called concurrently.
func (h *Holder) Apply(encoded []byte) error {
	m, err := Parse(encoded)
	if err != nil {
		return trace.Wrap(err)
	}
	if m.Generation <= h.Generation() {
		return nil
	}
	x := NewIndex(m, record.ManifestDigest(encoded))
	if h.onApplied != nil {
		h.onApplied(x)
	}
	h.remember(m)
	h.current.Store(x)
	return nil
}

// CheckRecord validates the manifest in a record for the fold. It depends on the
// record only, so that every reader has the same result.
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

package manifest

import (
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

// Holder has the manifest in force at this instance. Reads take no lock.
type Holder struct {
	current atomic.Pointer[Index]
	// applied is told of each newer manifest, in order, before readers see it.
	onApplied func(*Index)

	mu sync.Mutex
	// accepted has the generation of each of the last publications; order is
	// the oldest first.
	accepted      map[string]uint64
	acceptedOrder []string
}

// maxAccepted bounds the publications remembered: an hour and more of 66,000
// changes a day, which is far longer than a pipeline repeats one.
const maxAccepted = 4096

// NewHolder returns an empty holder. applied may be nil; it must not block.
func NewHolder(onApplied func(*Index)) *Holder {
	return &Holder{onApplied: onApplied, accepted: map[string]uint64{}}
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

// Accepted is the generation that a publication got, where it is one of the last
// that came in force here.
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
	if h.onApplied != nil {
		h.onApplied(x)
	}
	h.remember(m)
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

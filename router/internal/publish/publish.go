// Package publish writes manifests from an operator's pipeline to the log.
//
// If two publishers race from the same parent, the first in the order of the log
// wins at every reader; the other gets a conflict with the generation in force.
package publish

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
	"masticplank.example/decision"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/outcome"
)

// putTimeout bounds the wait until a manifest is read back from the log.
const putTimeout = 5 * time.Second

// retryDelay is the Retry-After if the log did not accept a manifest.
const retryDelay = time.Second

// Gate reports whether the instance may act on its folded state; *gate.Gate
// implements it.
type Gate interface {
	// MayRun returns an empty reason if a manifest may be published now.
	MayRun(idempotent bool) decision.RefusalReason
}

// Result is the result of a publication.
type Result struct {
	Outcome outcome.Outcome `json:"-"`
	// Generation of this publication if it was accepted, else the generation in
	// force; 0 if there is none.
	Generation uint64 `json:"generation"`
	// Digest of the manifest with that generation, to be stated as the next one's
	// parent.
	Digest string `json:"digest,omitempty"`
	// Faults are those of an invalid manifest.
	Faults manifest.Faults `json:"faults,omitempty"`
}

// Publisher publishes manifests. It is safe for concurrent use.
type Publisher struct {
	store  node.Store
	holder *manifest.Holder
	gate   Gate
}

// New returns a Publisher.
func New(store node.Store, holder *manifest.Holder, gate Gate) *Publisher {
	return &Publisher{store: store, holder: holder, gate: gate}
}

// Publish proposes m. With rebase, Publish sets m's generation and parent so that
// it follows the manifest in force. Without rebase, m must state them, so that a
// pipeline that has not seen the newest manifest cannot overwrite it. Publishing
// the same publication id again is idempotent: the result is already_published
// while the publication is in force, and a conflict once a later one is, as long
// as the holder remembers it.
func (p *Publisher) Publish(ctx context.Context, m manifest.Manifest, rebase bool) Result {
	if reason := p.gate.MayRun(false); reason != "" {
		return p.result(outcome.Refused, string(reason), "nothing can be accepted now; publish again later")
	}
	current := p.holder.Current()
	if current != nil && current.Manifest.Publication == m.Publication {
		return p.result(outcome.Completed, "already_published", "")
	}
	if _, accepted := p.holder.AcceptedGeneration(m.Publication); accepted {
		// A late retry of an accepted publication must not replace what was
		// published after it.
		return p.result(outcome.Conflict, "conflict", "this publication was accepted before, and a later one is in force")
	}
	if rebase {
		m = rebased(m, current)
	}
	if faults := manifest.Validate(m); len(faults) > 0 {
		r := p.result(outcome.Refused, "malformed_request", "the manifest is invalid")
		r.Faults = faults
		return r
	}
	if !follows(m, current) {
		return p.result(outcome.Conflict, "conflict", "the manifest's generation and parent do not follow the one in force")
	}
	return p.propose(ctx, m)
}

// rebased returns m with the generation and parent that follow current.
func rebased(m manifest.Manifest, current *manifest.Index) manifest.Manifest {
	m.Generation, m.Parent = 1, ""
	if current != nil {
		m.Generation = current.Manifest.Generation + 1
		m.Parent = current.Digest
	}
	return m
}

// follows reports whether m states the generation and parent that follow current.
func follows(m manifest.Manifest, current *manifest.Index) bool {
	want := rebased(m, current)
	return m.Generation == want.Generation && m.Parent == want.Parent
}

func (p *Publisher) propose(ctx context.Context, m manifest.Manifest) Result {
	value, err := manifest.Encode(m)
	if err != nil {
		return p.result(outcome.Failed, "encode_failed", trace.UserMessage(err))
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	result := p.store.Put(ctx, record.Record{
		Kind:  record.KindPut,
		Key:   record.ManifestKey(m.Generation, m.Parent),
		Nonce: publicationNonce(m.Publication),
		Value: value,
	})
	switch result.Outcome {
	case node.OutcomeWon:
		return Result{
			Outcome:    outcome.Outcome{Kind: outcome.Completed, Code: "accepted"},
			Generation: m.Generation,
			Digest:     record.ManifestDigest(value),
		}
	case node.OutcomeLost:
		return p.result(outcome.Conflict, "conflict", "another publication has this generation")
	case node.OutcomeVoid:
		return p.voidResult(m)
	default:
		return p.result(outcome.Unknown, "publish_unknown", "the log did not answer in time; publish again with the same publication id")
	}
}

// voidResult returns the result of a void write. If another publication came
// first, the manifest must be generated again; if the log did not accept the
// write, the manifest can be published again as it is.
func (p *Publisher) voidResult(m manifest.Manifest) Result {
	if p.holder.Generation() >= m.Generation {
		return p.result(outcome.Conflict, "conflict", "another publication came first")
	}
	r := p.result(outcome.Refused, "publish_not_taken", "the log did not take the manifest; publish again")
	r.Outcome.RetryAfter = retryDelay
	return r
}

// publicationNonce returns the same nonce for each try of one pipeline run: if the
// reply to a try was lost, its retry counts as the same proposal.
func publicationNonce(publication string) record.Nonce {
	return record.DeriveNonce("publication", publication)
}

func (p *Publisher) result(kind outcome.Kind, code, message string) Result {
	r := Result{Outcome: outcome.Outcome{Kind: kind, Code: code, Message: message}}
	if current := p.holder.Current(); current != nil {
		r.Generation = current.Manifest.Generation
		r.Digest = current.Digest
	}
	return r
}

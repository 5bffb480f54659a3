// Package publish takes a manifest from an operator's pipeline into the log.
//
// Of two publishers that race from the same parent, the first in the log's
// order wins at every reader; the other is told the winner's generation.
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

// putTimeout bounds the wait for the own manifest to be read back.
const putTimeout = 5 * time.Second

// retrySoon is when to publish again after the log did not take a manifest.
const retryDelay = time.Second

// Gate says whether the instance may act on what it knows.
type Gate interface {
	MayRun(idempotent bool) decision.RefusalReason
}

// Result of publishing.
type Result struct {
	Outcome outcome.Outcome `json:"-"`
	// Generation that this publication has, or, at a conflict, the one that is
	// in force.
	Generation uint64 `json:"generation"`
	// Digest of the manifest in force; the next one's parent.
	Digest string          `json:"digest,omitempty"`
	Faults manifest.Faults `json:"faults,omitempty"`
}

// Publisher is safe for concurrent use.
type Publisher struct {
	store  node.Store
	holder *manifest.Holder
	gate   Gate
}

// New returns a publisher.
func New(store node.Store, holder *manifest.Holder, gate Gate) *Publisher {
	return &Publisher{store: store, holder: holder, gate: gate}
}

// Publish proposes m. With rebase the generation and parent are those of the
// manifest in force; without, m must state them, so that a pipeline which did
// not see the newest manifest cannot overwrite it. Publishing the same
// publication id again is idempotent.
func (p *Publisher) Publish(ctx context.Context, m manifest.Manifest, rebase bool) Result {
	if reason := p.gate.MayRun(false); reason != "" {
		return p.result(outcome.Refused, string(reason), "nothing can be accepted now; publish again later")
	}
	current := p.holder.Current()
	if current != nil && current.Manifest.Publication == m.Publication {
		return p.result(outcome.Completed, "already_published", "")
	}
	if _, before := p.holder.AcceptedGeneration(m.Publication); before {
		// A repetition whose first try was accepted long since must not bring
		// its old content back over what was published after it.
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

// over makes m follow the manifest in force.
func rebased(m manifest.Manifest, current *manifest.Index) manifest.Manifest {
	m.Generation, m.Parent = 1, ""
	if current != nil {
		m.Generation = current.Manifest.Generation + 1
		m.Parent = current.Digest
	}
	return m
}

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

// notTaken tells a publication that lost its place from one that the log did not
// take: the first must be made anew, the second can be sent again as it is.
func (p *Publisher) voidResult(m manifest.Manifest) Result {
	if p.holder.Generation() >= m.Generation {
		return p.result(outcome.Conflict, "conflict", "another publication came first")
	}
	r := p.result(outcome.Refused, "publish_not_taken", "the log did not take the manifest; publish again")
	r.Outcome.RetryAfter = retryDelay
	return r
}

// publicationNonce is the same for each try of one pipeline run, so that a try
// whose reply was lost and its repetition are one proposal.
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

package api

import (
	"net/http/httptest"
	"testing"

	"masticplank.example/coordination/ledger"
	"masticplank.example/decision"
	"masticplank.example/router/internal/wire"
)

// TestBillNamesTheVersionOfTheDeliveredAnswer guards against a bill under the version of a larger model whose
// stream broke off, when the held answer of the smaller one is delivered.
func TestBillNamesTheVersionOfTheDeliveredAnswer(t *testing.T) {
	f := newFixture(t)
	x := &exchange{
		s: f.server.Config.Handler.(*Server), w: httptest.NewRecorder(), r: httptest.NewRequest("POST", "/v1/chat/completions", nil),
		caller: caller{index: f.Current()}, bill: ledger.Bill{Team: "weavers", RequestID: "r1"},
	}
	x.addUsage("small@1", wire.Usage{CompletionTokens: 4})
	x.heldAnswer = &answer{attempt: 1, version: "small@1", status: 200, body: []byte("{}")}
	x.addUsage("large@1", wire.Usage{CompletionTokens: 2}) // broke off after two tokens
	x.deliver(t.Context(), decision.Deliver{Attempt: 1})
	f.eventually("the bill to be in the log", func() bool { return len(f.bills()) == 1 })
	if x.bill.Version != "small@1" || x.bill.OutputTokens != 6 {
		t.Errorf("billed %d tokens of %s, want the 6 tokens of both attempts under small@1", x.bill.OutputTokens, x.bill.Version)
	}
}

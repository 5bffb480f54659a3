package node_test

import (
	"context"
	"fmt"
	"time"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

// Two instances compete for one request; exactly one of them runs it.
func Example() {
	ctx := context.Background()
	service := logtest.New()
	for _, name := range []string{"a", "b"} {
		n, err := node.New(service.Client(name), node.Config{Name: name})
		if err != nil {
			panic(err)
		}
		if err := n.Start(ctx); err != nil {
			panic(err)
		}
		defer func() { _ = n.Stop(ctx) }()
		claim := record.Record{Key: "claim/team/request", Nonce: record.NewNonce(), KeyTime: time.Now()}
		switch res := n.Put(ctx, claim); res.Outcome {
		case node.OutcomeWon:
			fmt.Println(name, "runs it")
		case node.OutcomeLost:
			fmt.Println(name, "leaves it to", res.Register.Writer)
		case node.OutcomeUnknown:
			n.Release(claim.Key, claim.Nonce) // after this, the answer "not run" is correct
		}
	}
	// Output:
	// a runs it
	// b leaves it to a
}

// Command claim shows two instances that share nothing but a log: both get the
// same request, one of them runs it, and it is billed once although the reply
// to the bill's append is lost.
package main

import (
	"context"
	"fmt"
	"log"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/node"
	"masticplank.example/coordination/platformlog/logtest"
	"masticplank.example/coordination/record"
)

func main() {
	if err := run(context.Background()); err != nil {
		log.Fatal(err)
	}
}

func run(ctx context.Context) error {
	service := logtest.New() // in real use: a client of the platform's log
	var nodes []*node.Node
	for _, name := range []string{"entry-1", "entry-2"} {
		n, err := node.New(service.Client(name), node.Config{Name: name})
		if err != nil {
			return err
		}
		if err := n.Start(ctx); err != nil {
			return err
		}
		defer func() { _ = n.Stop(ctx) }()
		<-n.Ready()
		nodes = append(nodes, n)
	}
	// The caller's request reaches both instances.
	for i, n := range nodes {
		claim := record.Record{Key: "claim/weavers/reserve-17", Nonce: record.NewNonce(), KeyTime: time.Now()}
		if n.Put(ctx, claim).Outcome != node.OutcomeWon {
			fmt.Printf("entry-%d: already claimed, not run here\n", i+1)
			continue
		}
		fmt.Printf("entry-%d: won the claim, runs it\n", i+1)
		service.LoseReplies(1)
		if err := bill(ctx, n); err != nil {
			return err
		}
	}
	_, err := ledger.Export(ctx, service.Client("export"), fold.DefaultConfig(), 0, func(l ledger.ExportedBill) error {
		fmt.Printf("ledger: %s %s %d micros\n", l.Team, l.RequestID, l.CostMicros)
		return nil
	})
	return err
}

func bill(ctx context.Context, n *node.Node) error {
	b := ledger.Bill{Team: "weavers", RequestID: "reserve-17", Service: "stock", CostMicros: 1500, Attempts: 1}
	r, err := b.Record()
	if err != nil {
		return err
	}
	if out := n.Put(ctx, r).Outcome; out != node.OutcomeWon {
		return fmt.Errorf("bill: outcome %d", out)
	}
	return nil
}

package ledger_test

import (
	"fmt"

	"masticplank.example/coordination/ledger"
)

// The same bill gives the same proposal, whoever makes the record.
func ExampleBill_Record() {
	b := ledger.Bill{Team: "weavers", RequestID: "r-1", Version: "draft@3", OutputTokens: 210, CostMicros: 420, Attempts: 1}
	own, _ := b.Record()
	copied, _ := b.Record()
	fmt.Println(own.Key, own.Nonce == copied.Nonce)
	// Output: bill/weavers/r-1 true
}

package fold_test

import (
	"fmt"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

// The first live Put of a key wins at every reader.
func Example() {
	state := fold.New(fold.DefaultConfig(), fold.Options{})
	batch := record.Batch{Writer: "a", Records: []record.Record{
		{Kind: record.KindPut, Key: "session/t/s", Nonce: record.Nonce{1}, Value: []byte("model@1")},
		{Kind: record.KindPut, Key: "session/t/s", Nonce: record.Nonce{2}, Value: []byte("model@2")},
	}}
	changes, err := state.ApplyBatch(0, time.Unix(1_800_000_000, 0), &batch, nil)
	if err != nil {
		panic(err)
	}
	for _, c := range changes {
		fmt.Println(c.Verdict == fold.VerdictWon, string(c.Register.Value))
	}
	// Output:
	// true model@1
	// false model@1
}

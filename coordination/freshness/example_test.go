package freshness_test

import (
	"fmt"
	"time"

	"masticplank.example/coordination/freshness"
)

// A head of the log makes an instance fresh once everything before it is
// folded, and a pause makes it stale.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	t := freshness.New(freshness.Config{Self: "a"})
	t.Tick(now)
	t.HeadRead(now, 10)
	fmt.Println("head read, not folded:", t.Mode(now) == freshness.ModeFresh)
	t.Folded(10)
	fmt.Println("folded:", t.Mode(now) == freshness.ModeFresh)
	now = now.Add(time.Minute)
	fmt.Println("after a pause:", t.Mode(now) == freshness.ModeFresh)
	// Output:
	// head read, not folded: false
	// folded: true
	// after a pause: false
}

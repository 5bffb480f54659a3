package gossip_test

import (
	"fmt"
	"math/rand/v2"

	"masticplank.example/coordination/gossip"
)

func ExamplePick() {
	self := gossip.Peer{Name: "a1", Domain: "a"}
	live := []gossip.Peer{self, {Name: "a2", Domain: "a"}, {Name: "a3", Domain: "a"}, {Name: "b1", Domain: "b"}}
	picked := gossip.Pick(rand.New(rand.NewPCG(1, 1)), self, live, 2)
	fmt.Println(len(picked), picked[0].Domain)
	// Output: 2 b
}

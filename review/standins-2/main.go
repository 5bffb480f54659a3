// Command review-2 runs the cases of the second review that are scripts. Each starts masticplankd with the command of
// the deploy file between stand-ins of the platform, and writes what was sent, answered and run to a record.
package main

import (
	"fmt"
	"os"
)

// check is one case: it returns whether the rule held.
type check func(b *bed) (held bool, err error)

var checks = map[string]check{
	"crashing-part": crashingPart,
	"revoke-drill":  revokeDrill,
	"ordered-back":  orderedBack,
	"partial-read":  partialRead,
}

func main() { os.Exit(execute(os.Args[1:])) }

func execute(args []string) int {
	const wanted = 2
	if len(args) != wanted || checks[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		return statusNotRun
	}
	b, err := newBed(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		return statusNotRun
	}
	defer b.close()
	held, err := checks[args[0]](b)
	switch {
	case err != nil:
		b.rec.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, "review-2:", err)
		return statusNotRun
	case held:
		b.rec.printf("result: the rule held")
		fmt.Println("the rule held")
		return statusHeld
	}
	b.rec.printf("result: the rule was broken")
	fmt.Println("the rule was broken")
	return statusBroken
}

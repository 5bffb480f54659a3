// Command review-cases plays the cases of the review: it starts the project's own program as processes, with stand-ins of
// its callers, its backend servers and its platform, and checks one rule by what these have seen.
//
// Usage: review-cases CASE FOLDER. It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case and returns how often the rule was broken.
type play func(c *setting) (broken int, err error)

// plays are the cases by name.
var plays = map[string]play{
	"silence": playSilence,
	"model":   playModel,
	"crash":   playCrash,
	"path":    playPath,
}

func main() { os.Exit(run()) }

func run() int {
	const wantArgs = 3
	if len(os.Args) != wantArgs || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE FOLDER")
		return exitNotRun
	}
	c, err := newSetting(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	broken, err := plays[os.Args[1]](c)
	switch {
	case err != nil:
		c.note("the case could not run: %v", err)
		return exitNotRun
	case broken > 0:
		c.note("BROKEN: %d times", broken)
		return exitBroken
	}
	c.note("the rule held")
	return exitHeld
}

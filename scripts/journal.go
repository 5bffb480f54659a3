//go:build ignore

// Journal lists the benchmark runs recorded in journal/, one a line; arguments are words that a
// listed line must contain.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// entry holds the listed fields of a run's JSON file. Head is the commit that ran. A day's
// worth is its field "G", and its rules are those that were broken.
type entry struct {
	At   []string `json:"at"`
	Cmd  string   `json:"cmd"`
	Site string   `json:"site"`
	Head string   `json:"head"`
	Why  string   `json:"why"`
	Days []struct {
		Name  string          `json:"name"`
		Worth float64         `json:"G"`
		Rules json.RawMessage `json:"rules"`
	} `json:"days"`
}

func main() {
	files, err := filepath.Glob("journal/*.json")
	if err != nil {
		fail(err)
	}
	for _, file := range files {
		line, err := formatRun(file)
		if err != nil {
			fail(fmt.Errorf("%s: %w", file, err))
		}
		if containsAll(line, os.Args[1:]) {
			fmt.Println(line)
		}
	}
}

// formatRun returns the line for the run recorded in file.
func formatRun(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	var e entry
	if err := json.Unmarshal(text, &e); err != nil {
		return "", err
	}
	const shortHead = 8
	head := e.Head[:min(shortHead, len(e.Head))]
	line := fmt.Sprintf("%s %s %s %s", e.At[0], head, e.Cmd, e.Site)
	for _, d := range e.Days {
		broken := ""
		if rules := string(d.Rules); rules != "{}" && rules != "" && rules != "null" {
			broken = " BROKEN " + rules
		}
		line += fmt.Sprintf(", %s %.3f%s", d.Name, d.Worth, broken)
	}
	return line + ": " + e.Why, nil
}

// containsAll reports whether line contains all words.
func containsAll(line string, words []string) bool {
	for _, w := range words {
		if !strings.Contains(line, w) {
			return false
		}
	}
	return true
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

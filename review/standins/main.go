//go:build review

// Standins holds the drivers and stand-ins of the cases of an independent review: clients, booking servers and a
// relay that delays, drops or resets. review/REPORT.md describes the cases.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(h *harness) (broken bool){}

// main runs one case: standins NAME ROOT RECORD.
func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(c func(h *harness) bool, root, record string) (status int) {
	h, err := newHarness(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer h.close()
	defer func() {
		switch p := recover().(type) {
		case nil:
		case notRun:
			h.say("the case could not run: %s", p.reason)
			status = exitNotRun
		default:
			panic(p)
		}
	}()
	if c(h) {
		h.say("the rule was broken")
		return exitBroken
	}
	h.say("the rule held")
	return exitHeld
}

// Command review-2 plays the scripts of the second review: it starts the system's own processes, with stand-ins of the store, the replicas and
// the clients in this process.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

var cases = map[string]func(*record, string, bool) (bool, error){"leaving": leaving}

var errSetup = errors.New("the case could not run")

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE PROGRAM RECORD")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	// All cases end long before.
	time.AfterFunc(110*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		endStarted()
		os.Exit(notRun)
	})
	broken, err := cases[os.Args[1]](rec, os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(notRun)
	case broken:
		rec.log("RULE BROKEN")
		fmt.Println("the rule was broken")
		os.Exit(ruleBroken)
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	os.Exit(ruleHeld)
}

// Command cases runs the scripted cases of the review. Each case starts gateways and
// batchers as separate processes on loopback addresses, with stand-ins for the platform's
// store, the targets, the operator and the callers, and checks one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit bounds the run of a case.
const timeLimit = 115 * time.Second

// scenario runs a case on a site. trouble is false if the case is to run without its
// disruption. It returns what broke the rule, empty if the rule held.
type scenario func(s *site, trouble bool) ([]string, error)

var scenarios = map[string]scenario{
	"unheld-claim":   runUnheldClaim,
	"new-route":      runNewRoute,
	"smuggled":       runSmuggled,
	"removed-route":  runRemovedRoute,
	"second-failure": runSecondFailure,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.note("case %s, disruption %v", name, trouble)
	s, err := newSite(rec)
	if err != nil {
		return notRun(rec, err)
	}
	defer s.stop()
	time.AfterFunc(timeLimit, func() {
		rec.note("not run: the time limit is over")
		s.stop()
		os.Exit(exitNotRun)
	})
	broken, err := scenarios[name](s, trouble)
	if err != nil {
		return notRun(rec, err)
	}
	for _, b := range broken {
		rec.note("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		fmt.Printf("%s: rule broken, %d times; first: %s\n", name, len(broken), broken[0])
		return exitBroken
	}
	rec.note("rule held")
	fmt.Printf("%s: rule held\n", name)
	return exitHeld
}

func notRun(rec *record, err error) int {
	rec.note("not run: %v", err)
	fmt.Println("not run:", err)
	return exitNotRun
}

// Command cases2 plays the cases of the second review: it starts the programs of the deploy
// file as processes on loopback addresses, with stand-ins for the platform's store, the model
// workers and their clients.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// The processes that a case starts end with the thread that started them.
func init() { runtime.LockOSThread() }

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(rec *record, trouble bool) (broken []string, err error){
	"reused":      addressReused,
	"long-ids":    longIDs,
	"spoiled":     spoiledAnswer,
	"route-added": routeAdded,
	"too-large":   tooLarge,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.write("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	for _, b := range broken {
		rec.write("broken: %s", b)
		fmt.Println("broken:", b)
	}
	switch {
	case err != nil:
		rec.write("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(exitNotRun)
	case len(broken) > 0:
		os.Exit(exitBroken)
	}
	rec.write("held")
	fmt.Println("held")
	os.Exit(exitHeld)
}

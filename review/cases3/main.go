// Command cases3 plays one case of the third review: it starts the project's programs with the
// commands of the deploy file, beside stand-ins for the store, the workers and the clients.
//
//	cases3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
)

// cases are the scripts by name. Each returns the ways in which its rule was broken.
var cases = map[string]func(s *site, trouble bool) ([]string, error){
	"reuse":   playReuse,
	"silence": playSilence,
	"twice":   playTwice,
	"deadly":  playDeadly,
}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases3 CASE RECORD")
		return exitUnusable
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	defer rec.close()
	s, err := newSite(rec)
	if err != nil {
		rec.write("not run: %v", err)
		return exitUnusable
	}
	defer s.close()
	go closeOnSignal(s)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.write("case %s, disruption %t", args[0], trouble)
	broken, err := cases[args[0]](s, trouble)
	if err != nil {
		rec.write("not run: %v", err)
		return exitUnusable
	}
	for _, b := range broken {
		rec.write("broken: %s", b)
	}
	if len(broken) > 0 {
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	rec.write("the rule held")
	fmt.Println("held")
	return exitHeld
}

// closeOnSignal ends the site's processes if this one is to end early.
func closeOnSignal(s *site) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	s.close()
	os.Exit(exitUnusable)
}

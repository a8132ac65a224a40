// Package soak holds the randomized soak test of the programs on the users'
// platform, with fault injection; all of it is test code. It runs gateways and
// batchers as separate processes on loopback, injects faults from outside by
// signals, by relays in front of the store and the targets, and by stand-ins, and
// checks the guarantees of docs/PROMISES.md by what callers and targets observe.
//
//	go test ./soak                                  two seeds, and all that have failed before
//	go test ./soak -timeout 1h -first 100 -seeds 50 fifty new seeds
//
// TestAcceptedJobsAreNeverDenied is a soak of its own for reads of jobs at gateways that know
// different parts of the log:
//
//	go test ./soak -run TestAccepted -read-duration 2m -read-seed 5
package soak

// Package soak holds the randomized soak test of the programs on the users'
// platform, with fault injection; all of it is test code. It runs gateways and
// batchers as separate processes on loopback, injects faults from outside by
// signals, by relays in front of the store and the targets, and by stand-ins, and
// checks the guarantees of docs/PROMISES.md by what callers and targets observe.
//
//	go test ./soak                                  two seeds, and all that have failed before
//	go test ./soak -timeout 1h -first 100 -seeds 50 fifty new seeds
package soak

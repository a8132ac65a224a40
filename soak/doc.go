// Package soak holds the randomized fault soak of the programs on the users'
// platform; all of it is test code. It runs gateways and batchers as separate
// processes on loopback, disturbs them from outside by signals, relays in front of
// the store and the targets, and stand-ins that misbehave, and checks the promises
// of docs/PROMISES.md by what callers and targets see.
//
//	go test ./soak                                  two seeds and those that ever failed
//	go test ./soak -timeout 1h -first 100 -seeds 50 fifty fresh ones
package soak

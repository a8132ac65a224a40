// Package protocol holds the typed messages that processes exchange, the
// records they append to the platform's log, and the errors that cross a
// process boundary. It performs no I/O and has no state.
package protocol

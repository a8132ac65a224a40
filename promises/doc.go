// Package promises holds the proofs of what the system promises: one test file
// for each promise, run under the failures that it must survive. It has no code
// of its own.
package promises

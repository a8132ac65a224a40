// Package promises holds the system tests of the guarantees that the system
// gives: one test file for each guarantee, run under the failures that it must
// survive. The package has test code only.
package promises

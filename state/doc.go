// Package state folds the records of the log into what the processes agree on:
// configuration, requests, files and jobs. Every fold is deterministic: two
// processes that applied the same records in the same order hold the same
// state, and a record that stands in the log twice has the effect of its first
// position alone. Large bodies stay in the log; the folds hold their positions.
package state

// Package state folds the records of the log into the state that all processes
// share: configuration, requests, files and jobs. Every fold is deterministic: two
// processes that applied the same records in the same order hold the same state,
// and a record that occurs twice in the log takes effect only at its first
// position. Large bodies stay in the log; the folds hold their positions.
package state

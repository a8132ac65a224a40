// Package worklog holds the state of batch work: the records of one log, and the fold
// of these records. Every process that folds the same records has the same jobs,
// results and positions. An accept, an end or a result counts the same whichever
// process wrote it.
//
// A writer appends an accept only if it has folded all records before it, so that each
// accept in the log fitted the quota of its route. The first result of an item counts
// and gets the next position in its job; a job that has ended takes no more results.
// Claims only avoid duplicate work; correctness does not depend on them.
package worklog

// Package worklog is the state of batch work: records in the order of one log,
// and their fold. Every process that folds the same records has the same jobs,
// results and positions; which process wrote a record decides nothing.
//
// An accept is appended only where the writer had folded all before it, so that
// each accept in the log is one that fitted its route's quota. The first result
// of an item counts and gets the next position of its job; a job that has ended
// takes no more. Claims save double effort only.
package worklog

// Package batcher implements the role that runs beside each model target. It runs
// items of batch jobs in the slots that online requests leave free, preempts the items
// as soon as online requests need the slots, and resumes them later after their last
// event. Claims in the work log decide which batcher runs an item.
package batcher

// Package batcher is the role beside each model target. It runs items of batch
// jobs in the slots that online requests leave there, gives the slots back as
// soon as online requests come, and goes on with the items later from their last
// event. Which batcher runs an item is agreed by claims in the work log.
package batcher

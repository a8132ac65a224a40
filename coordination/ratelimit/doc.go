// Package ratelimit decides which online requests of a workspace are within its rate, at
// all gateways together (docs/design/rate.md). It is designed for tens of gateways of
// unequal size, each of which decides about its part of the workspaces and is asked once
// for each of their requests. Package quota does the same at the entries of the product's own
// deployment, by equal shares; package jobquota limits the tokens of batch jobs.
//
// All times are durations of a clock that counts suspensions, of one instance only.
package ratelimit

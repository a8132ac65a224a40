package ratelimit

import "github.com/sycamoretally/sycamoretally/protocol/fleet"

// maxLedger bounds the number of queries that a ledger remembers: those of several
// seconds at a thousand queries a second. A copy of a query comes within a second.
const maxLedger = 8192

// queryKey identifies a query by the gateway that sent it and its ID.
type queryKey struct {
	from string
	id   uint64
}

// entry is a query that was answered.
type entry struct {
	workspace string
	answer    fleet.RateAnswer
	// returned is set once the admission was given back, or if that came before the query.
	returned bool
	// alone is set if the gateway admitted the request by its own part of the tolerance.
	alone bool
}

// ledger remembers the latest queries and their answers.
type ledger struct {
	entries map[queryKey]*entry
	// order holds the keys of the entries, oldest first from next on.
	order []queryKey
	next  int
}

func newLedger() *ledger { return &ledger{entries: map[queryKey]*entry{}} }

func (l *ledger) find(key queryKey) *entry { return l.entries[key] }

// add remembers a query, in place of the oldest one if there are too many.
func (l *ledger) add(key queryKey, e *entry) {
	if _, found := l.entries[key]; found {
		l.entries[key] = e
		return
	}
	l.entries[key] = e
	if len(l.order) < maxLedger {
		l.order = append(l.order, key)
		return
	}
	delete(l.entries, l.order[l.next])
	l.order[l.next] = key
	l.next = (l.next + 1) % maxLedger
}

package gateway

import (
	"maps"
	"sync/atomic"
	"time"
)

// unresponsiveServices holds the services whose batchers did not answer recent load
// queries. Every stream reads it, and writes are rare.
type unresponsiveServices struct {
	// silent maps a service to its silence. The map is copied on write.
	silent atomic.Pointer[map[string]silence]
}

// silence describes a service none of whose batchers has answered the last query.
type silence struct {
	// until is the time of the next permitted query.
	until time.Time
	// backoff is the time between the last query and until.
	backoff time.Duration
}

// has reports whether the batchers of the service must not be queried now.
func (s *unresponsiveServices) has(now time.Time, service string) bool {
	silent := s.silent.Load()
	return silent != nil && now.Before((*silent)[service].until)
}

// record notes whether any batcher of the service has answered a query. Batchers that start
// answer soon, so that the first pause is short.
func (s *unresponsiveServices) record(now time.Time, service string, answered bool) {
	for {
		old := s.silent.Load()
		if answered && (old == nil || (*old)[service] == silence{}) {
			return
		}
		if !answered && s.has(now, service) {
			return // queries that were made at the same time count once
		}
		silent := map[string]silence{}
		if old != nil {
			maps.Copy(silent, *old)
		}
		if answered {
			delete(silent, service)
		} else {
			backoff := min(max(minLoadQueryBackoff, 2*silent[service].backoff), loadQueryBackoff)
			silent[service] = silence{now.Add(backoff), backoff}
		}
		if s.silent.CompareAndSwap(old, &silent) {
			return
		}
	}
}

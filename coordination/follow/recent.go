package follow

import "github.com/sycamoretally/sycamoretally/backend"

// recentEntries keeps the newest entries for peers, consecutive and within a limit.
type recentEntries struct {
	limit   int
	size    int
	entries []backend.LogEntry
}

func (r *recentEntries) add(e backend.LogEntry) {
	r.entries = append(r.entries, e)
	r.size += len(e.Data)
	for r.size > r.limit && len(r.entries) > 0 {
		r.size -= len(r.entries[0].Data)
		r.entries[0] = backend.LogEntry{}
		r.entries = r.entries[1:]
	}
}

// clear drops every entry.
func (r *recentEntries) clear() { r.entries, r.size = nil, 0 }

// from returns at most limit entries from an offset on. It reports false where
// the first of them is no longer kept; next is the offset after the newest.
func (r *recentEntries) from(offset, next uint64, limit int) ([]backend.LogEntry, bool) {
	oldest := next - uint64(len(r.entries))
	if offset < oldest {
		return nil, false
	}
	if offset >= next {
		return nil, true
	}
	entries := r.entries[offset-oldest:]
	return entries[:min(limit, len(entries))], true
}

package state

import (
	"maps"
	"slices"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Needed returns the positions of the results that callers may still fetch.
func (f *Requests) Needed() []protocol.Position {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var needed []protocol.Position
	for _, r := range f.keys {
		if r.ResultAt != 0 {
			needed = append(needed, r.ResultAt)
		}
	}
	return needed
}

// Forget drops the requests that last changed before the position. It keeps requests
// that were accepted or started and have no result: an accepted one must still be run,
// and a started one must not be started again.
func (f *Requests) Forget(before protocol.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.keys, func(_ string, r *Request) bool {
		open := r.ResultAt == 0 && (r.Accepted != nil || r.Started != nil)
		return !open && r.ChangedAt < before
	})
}

// Needed returns the positions of all item results and file chunks.
func (f *Jobs) Needed() []protocol.Position {
	f.mu.RLock()
	defer f.mu.RUnlock()
	needed := map[protocol.Position]bool{}
	for _, j := range f.jobs {
		for _, pos := range j.results {
			needed[pos] = true
		}
	}
	for _, file := range f.files {
		for _, pos := range file.Chunks {
			needed[pos] = true
		}
	}
	delete(needed, 0)
	return slices.Collect(maps.Keys(needed))
}

// Forget drops finished jobs that last changed before the position, and files whose
// chunks are all older than it and that no job uses.
func (f *Jobs) Forget(before protocol.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.jobs, func(_ string, j *Job) bool {
		return j.Status != JobRunning && j.ChangedAt < before
	})
	used := map[string]bool{}
	for _, j := range f.jobs {
		used[j.File] = true
	}
	maps.DeleteFunc(f.files, func(id string, file *File) bool {
		newer := func(pos protocol.Position) bool { return pos >= before }
		return !used[id] && !slices.ContainsFunc(file.Chunks, newer)
	})
}

// ForgetFold applies Forget records to the folds of requests and jobs.
type ForgetFold struct {
	Requests *Requests
	Jobs     *Jobs
}

// Apply drops what a Forget record allows to be dropped; it ignores other records.
func (f ForgetFold) Apply(_ protocol.Position, rec *protocol.Record) {
	if rec.Forget == nil {
		return
	}
	f.Requests.Forget(rec.Forget.Before)
	f.Jobs.Forget(rec.Forget.Before)
}

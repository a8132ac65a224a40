package state

import (
	"cmp"
	"slices"
	"sync"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// File is an uploaded batch file. Its lines stay in the log.
type File struct {
	ID        string
	Workspace string
	Service   string
	// Content becomes the ID once the file is complete, where it is set.
	Content string
	// Total is the number of chunks, zero where it is not known yet.
	Total int
	// Chunks holds the position of each chunk, zero for one not yet seen.
	Chunks []protocol.Position
	// Starts holds the index of the first item of each chunk, and the number of
	// all items at its end; nil until every chunk was seen.
	Starts []int
	sizes  []int
}

// Complete reports whether every chunk was seen.
func (f *File) Complete() bool { return f.Starts != nil }

// Items returns the number of lines of a complete file.
func (f *File) Items() int { return f.Starts[len(f.Chunks)] }

// ChunkOf returns the chunk that holds the item and the item's place in it.
func (f *File) ChunkOf(item int) (chunk, place int) {
	chunk, exact := slices.BinarySearch(f.Starts, item)
	if !exact {
		chunk--
	}
	return chunk, item - f.Starts[chunk]
}

// JobStatus says how far a job is.
type JobStatus string

// The states of a job. All but running are final.
const (
	JobRunning   JobStatus = "running"
	JobCompleted JobStatus = "completed"
	JobCancelled JobStatus = "cancelled"
)

// Job is the state of one job.
type Job struct {
	protocol.JobAccept
	Status     JobStatus
	Items      int
	Completed  int
	Failed     int
	AcceptedAt protocol.Position
	ChangedAt  protocol.Position
	// results holds the position of each item's first result, zero before it.
	results []protocol.Position
}

// RunningJob is what never changes about a running job.
type RunningJob struct {
	Job       string
	Workspace string
	Service   string
	Items     int
	// DueUnixMillis is when the job is due, in milliseconds since the epoch.
	DueUnixMillis int64
	AcceptedAt    protocol.Position
}

// Compare orders jobs by their due times, and those due together by their acceptance.
func (r *RunningJob) Compare(other *RunningJob) int {
	return cmp.Or(cmp.Compare(r.DueUnixMillis, other.DueUnixMillis), cmp.Compare(r.AcceptedAt, other.AcceptedAt))
}

// Done returns the number of items with a result.
func (j *Job) Done() int { return j.Completed + j.Failed }

// Jobs folds uploaded files and jobs.
type Jobs struct {
	mu    sync.RWMutex
	files map[string]*File
	jobs  map[string]*Job
	// running is built when it is asked for, and nil after a change.
	running []RunningJob
}

// NewJobs returns a fold without jobs.
func NewJobs() *Jobs {
	return &Jobs{files: map[string]*File{}, jobs: map[string]*Job{}}
}

// Job returns a copy of a job's state.
func (f *Jobs) Job(id string) (Job, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	j := f.jobs[id]
	if j == nil {
		return Job{}, false
	}
	c := *j
	c.results = nil
	return c, true
}

// Running returns all running jobs in order of their due times. The slice must
// not be changed; it stays the same until a job starts or ends.
func (f *Jobs) Running() []RunningJob {
	f.mu.RLock()
	running := f.running
	f.mu.RUnlock()
	if running != nil {
		return running
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = f.listRunning()
	}
	return f.running
}

func (f *Jobs) listRunning() []RunningJob {
	running := []RunningJob{}
	for _, j := range f.jobs {
		if j.Status == JobRunning {
			running = append(running, RunningJob{j.Job, j.Workspace, j.Service, j.Items, j.DueUnixMillis, j.AcceptedAt})
		}
	}
	slices.SortFunc(running, func(a, b RunningJob) int { return a.Compare(&b) })
	return running
}

// File returns a complete file.
func (f *Jobs) File(id string) (File, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	file := f.files[id]
	if file == nil || !file.Complete() {
		return File{}, false
	}
	return *file, true
}

// ItemDone reports whether the item needs no more work: it has a result, or
// its job is unknown or final.
func (f *Jobs) ItemDone(job string, index int) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	j := f.jobs[job]
	return j == nil || j.Status != JobRunning || j.results[index] != 0
}

// Results returns the positions of the results of items from index from on, at
// most limit of them; zero stands for an item without one.
func (f *Jobs) Results(job string, from, limit int) []protocol.Position {
	f.mu.RLock()
	defer f.mu.RUnlock()
	j := f.jobs[job]
	if j == nil || from >= len(j.results) {
		return nil
	}
	return slices.Clone(j.results[from:min(from+limit, len(j.results))])
}

// Apply folds the record at position pos.
func (f *Jobs) Apply(pos protocol.Position, rec *protocol.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case rec.File != nil:
		f.addChunk(pos, rec.File)
	case rec.Job != nil:
		f.accept(pos, rec.Job)
	case rec.Items != nil:
		f.addResults(pos, rec.Items)
	case rec.Cancel != nil:
		f.cancel(pos, rec.Cancel)
	}
}

// maxOpenUploads bounds the incomplete files that are kept. An upload that was
// broken off is never completed.
const maxOpenUploads = 1024

func (f *Jobs) addChunk(pos protocol.Position, c *protocol.FileChunk) {
	if c.Index < 0 || c.Index >= protocol.MaxFileChunks || c.Chunks < 0 || c.Chunks > protocol.MaxFileChunks {
		return
	}
	file := f.files[c.File]
	if file == nil {
		f.dropOldestUpload()
		file = &File{ID: c.File, Workspace: c.Workspace, Service: c.Service}
		f.files[c.File] = file
	}
	if file.Complete() || !file.addChunk(pos, c) {
		return
	}
	if file.Content == "" {
		return
	}
	delete(f.files, file.ID)
	file.ID = file.Content
	if f.files[file.ID] == nil {
		f.files[file.ID] = file
	}
}

// dropOldestUpload drops the oldest incomplete file where there are too many.
func (f *Jobs) dropOldestUpload() {
	var oldest *File
	open := 0
	for _, file := range f.files {
		if file.Complete() {
			continue
		}
		open++
		if oldest == nil || file.newestChunk() < oldest.newestChunk() {
			oldest = file
		}
	}
	if open >= maxOpenUploads {
		delete(f.files, oldest.ID)
	}
}

// newestChunk returns the position of the newest chunk seen.
func (f *File) newestChunk() protocol.Position { return slices.Max(f.Chunks) }

// addChunk notes a chunk. It reports whether the file is complete now.
func (f *File) addChunk(pos protocol.Position, c *protocol.FileChunk) bool {
	if f.Total > 0 && c.Index >= f.Total {
		return false
	}
	if missing := max(c.Index+1, c.Chunks) - len(f.Chunks); missing > 0 {
		f.Chunks = append(f.Chunks, make([]protocol.Position, missing)...)
		f.sizes = append(f.sizes, make([]int, missing)...)
	}
	if f.Chunks[c.Index] != 0 {
		return false
	}
	f.Chunks[c.Index] = pos
	f.sizes[c.Index] = len(c.Items)
	f.Total = max(f.Total, c.Chunks)
	f.Content = cmp.Or(f.Content, c.Content)
	if f.Total != len(f.Chunks) || slices.Contains(f.Chunks, 0) {
		return false
	}
	f.computeStarts()
	return true
}

// computeStarts computes where each chunk starts.
func (f *File) computeStarts() {
	f.Starts = make([]int, 0, len(f.sizes)+1)
	total := 0
	for _, n := range f.sizes {
		f.Starts = append(f.Starts, total)
		total += n
	}
	f.Starts = append(f.Starts, total)
}

// accept takes a job over a complete file; over any other it has no effect.
func (f *Jobs) accept(pos protocol.Position, a *protocol.JobAccept) {
	file := f.files[a.File]
	if f.jobs[a.Job] != nil || file == nil || !file.Complete() {
		return
	}
	f.running = nil
	f.jobs[a.Job] = &Job{
		JobAccept:  *a,
		Status:     JobRunning,
		Items:      file.Items(),
		AcceptedAt: pos,
		ChangedAt:  pos,
		results:    make([]protocol.Position, file.Items()),
	}
}

func (f *Jobs) addResults(pos protocol.Position, r *protocol.ItemResults) {
	j := f.jobs[r.Job]
	if j == nil || j.Status != JobRunning {
		return
	}
	for _, item := range r.Items {
		j.addResult(pos, item)
	}
	if j.Done() == j.Items {
		j.Status = JobCompleted
		f.running = nil
	}
}

func (j *Job) addResult(pos protocol.Position, item protocol.ItemResult) {
	if item.Index < 0 || item.Index >= j.Items || j.results[item.Index] != 0 {
		return
	}
	j.results[item.Index] = pos
	j.ChangedAt = pos
	if item.Result.Outcome == protocol.OutcomeCompleted {
		j.Completed++
		return
	}
	j.Failed++
}

func (f *Jobs) cancel(pos protocol.Position, c *protocol.JobCancel) {
	j := f.jobs[c.Job]
	if j == nil || j.Status != JobRunning {
		return
	}
	j.Status = JobCancelled
	f.running = nil
	j.ChangedAt = pos
}

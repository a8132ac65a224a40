package state

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// jobMachine applies random records to the fold and compares it with a model that
// keeps the first result of each item.
type jobMachine struct {
	fold   *Jobs
	pos    uint64
	log    []protocol.Record
	jobs   map[string]*modelJob
	chunks map[string]map[int]bool
}

type modelJob struct {
	due      int64
	pos      protocol.Position
	status   JobStatus
	results  map[int]protocol.Position
	complete int
}

const (
	modelChunks     = 2
	modelChunkItems = 3
	modelItems      = modelChunks * modelChunkItems
)

var (
	modelFiles = []string{"f1", "f2"}
	modelNames = []string{"j1", "j2", "j3"}
)

func (m *jobMachine) apply(rec protocol.Record) protocol.Position {
	m.pos++
	pos := protocol.PositionAt(m.pos, 0)
	m.log = append(m.log, rec)
	m.fold.Apply(pos, &rec)
	return pos
}

func (m *jobMachine) addChunk(t *rapid.T) {
	file := rapid.SampledFrom(modelFiles).Draw(t, "file")
	index := rapid.IntRange(0, modelChunks-1).Draw(t, "chunk")
	m.apply(protocol.Record{File: &protocol.FileChunk{
		File: file, Index: index, Chunks: modelChunks, Items: make([]protocol.Item, modelChunkItems),
	}})
	if m.chunks[file] == nil {
		m.chunks[file] = map[int]bool{}
	}
	m.chunks[file][index] = true
}

func (m *jobMachine) accept(t *rapid.T) {
	job := rapid.SampledFrom(modelNames).Draw(t, "job")
	file := rapid.SampledFrom(modelFiles).Draw(t, "file")
	due := rapid.Int64Range(0, 3).Draw(t, "due")
	pos := m.apply(protocol.Record{Job: &protocol.JobAccept{Job: job, File: file, DueUnixMillis: due}})
	if m.jobs[job] == nil && len(m.chunks[file]) == modelChunks {
		m.jobs[job] = &modelJob{due: due, pos: pos, status: JobRunning, results: map[int]protocol.Position{}}
	}
}

func (m *jobMachine) result(t *rapid.T) {
	job := rapid.SampledFrom(modelNames).Draw(t, "job")
	indexes := rapid.SliceOfN(rapid.IntRange(-1, modelItems), 1, modelItems).Draw(t, "items")
	failed := rapid.Bool().Draw(t, "failed")
	outcome := protocol.OutcomeCompleted
	if failed {
		outcome = protocol.OutcomeFailed
	}
	rec := &protocol.ItemResults{Job: job}
	for _, i := range indexes {
		rec.Items = append(rec.Items, protocol.ItemResult{Index: i, Result: protocol.Result{Outcome: outcome}})
	}
	pos := m.apply(protocol.Record{Items: rec})
	j := m.jobs[job]
	if j == nil || j.status != JobRunning {
		return
	}
	for _, i := range indexes {
		if _, has := j.results[i]; has || i < 0 || i >= modelItems {
			continue
		}
		j.results[i] = pos
		if !failed {
			j.complete++
		}
	}
	if len(j.results) == modelItems {
		j.status = JobCompleted
	}
}

func (m *jobMachine) cancel(t *rapid.T) {
	job := rapid.SampledFrom(modelNames).Draw(t, "job")
	m.apply(protocol.Record{Cancel: &protocol.JobCancel{Job: job}})
	if j := m.jobs[job]; j != nil && j.status == JobRunning {
		j.status = JobCancelled
	}
}

// resend applies an earlier record again, as a writer does whose append was not
// acknowledged.
func (m *jobMachine) resend(t *rapid.T) {
	if len(m.log) == 0 {
		t.Skip("no record yet")
	}
	rec := rapid.SampledFrom(m.log).Draw(t, "record")
	if rec.Job != nil && m.jobs[rec.Job.Job] == nil || rec.Items != nil {
		t.Skip("the record may take effect for the first time now")
	}
	m.apply(rec)
	if rec.Cancel != nil {
		if j := m.jobs[rec.Cancel.Job]; j != nil && j.status == JobRunning {
			j.status = JobCancelled
		}
	}
}

func (m *jobMachine) check(t *rapid.T) {
	var running []string
	for _, name := range modelNames {
		want := m.jobs[name]
		got, found := m.fold.Job(name)
		if found != (want != nil) {
			t.Fatalf("job %s: found is %v, which differs from the model", name, found)
		}
		if want == nil {
			continue
		}
		if got.Status != want.status || got.Completed != want.complete || got.Done() != len(want.results) {
			t.Fatalf("job %s: got %+v, want %+v", name, got, want)
		}
		for i, pos := range m.fold.Results(name, 0, modelItems) {
			if pos != want.results[i] {
				t.Fatalf("result %d of job %s: got position %s, want the first one, %s", i, name, pos, want.results[i])
			}
			if done := m.fold.ItemDone(name, i); done != (pos != 0 || want.status != JobRunning) {
				t.Fatalf("item %d of job %s: done is %v, which differs from the model", i, name, done)
			}
		}
		if want.status == JobRunning {
			running = append(running, name)
		}
	}
	slices.SortFunc(running, func(a, b string) int {
		x, y := RunningJob{DueUnixMillis: m.jobs[a].due, AcceptedAt: m.jobs[a].pos}, RunningJob{DueUnixMillis: m.jobs[b].due, AcceptedAt: m.jobs[b].pos}
		return x.Compare(&y)
	})
	var listed []string
	for _, r := range m.fold.Running() {
		listed = append(listed, r.Job)
	}
	if !slices.Equal(listed, running) {
		t.Fatalf("running jobs: got %v, want %v", listed, running)
	}
}

// rapidSeed makes the random tests deterministic.
const rapidSeed = "1"

// TestJobsKeepFirstResult checks for random orders of records that the fold keeps the
// first result of each item and the first final state of each job.
func TestJobsKeepFirstResult(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", rapidSeed))
	t.Logf("seed %s", rapidSeed)
	rapid.Check(t, func(t *rapid.T) {
		m := &jobMachine{fold: NewJobs(), jobs: map[string]*modelJob{}, chunks: map[string]map[int]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"chunk": m.addChunk, "accept": m.accept, "result": m.result, "cancel": m.cancel, "resend": m.resend,
			"": m.check,
		})
	})
}

func TestRunningIsCachedUntilJobEnds(t *testing.T) {
	f := NewJobs()
	f.Apply(protocol.PositionAt(1, 0), &protocol.Record{File: &protocol.FileChunk{File: "f", Chunks: 1, Items: make([]protocol.Item, 2)}})
	for i := range 3 {
		f.Apply(protocol.PositionAt(uint64(i+2), 0), &protocol.Record{Job: &protocol.JobAccept{Job: fmt.Sprint(i), File: "f"}})
	}
	before := f.Running()
	result := func(index int) {
		f.Apply(protocol.PositionAt(9, 0), &protocol.Record{Items: &protocol.ItemResults{Job: "1", Items: []protocol.ItemResult{{Index: index}}}})
	}
	result(0)
	assert.Assert(t, &before[0] == &f.Running()[0])
	result(1)
	assert.Equal(t, len(f.Running()), 2)
	assert.Equal(t, len(before), 3)
}

// uploadChunk applies a chunk of an upload. content is set for the last chunk only.
func uploadChunk(f *Jobs, offset uint64, upload string, index, total int, content string) {
	f.Apply(protocol.PositionAt(offset, 0), &protocol.Record{File: &protocol.FileChunk{
		File: upload, Workspace: "w", Index: index, Chunks: total, Content: content, Items: make([]protocol.Item, 2),
	}})
}

func TestUploadBecomesFileOnceComplete(t *testing.T) {
	f := NewJobs()
	uploadChunk(f, 1, "u1", 0, 0, "")
	uploadChunk(f, 2, "u1", 0, 0, "")
	uploadChunk(f, 3, "u1", 2, 3, "content")
	_, found := f.File("content")
	assert.Assert(t, !found, "a chunk is missing")
	uploadChunk(f, 4, "u1", 1, 0, "")
	file, found := f.File("content")
	assert.Assert(t, found)
	assert.Equal(t, file.Items(), 6)
	assert.DeepEqual(t, file.Chunks, []protocol.Position{protocol.PositionAt(1, 0), protocol.PositionAt(4, 0), protocol.PositionAt(3, 0)})
}

func TestFirstCompleteUploadOfSameContentIsKept(t *testing.T) {
	f := NewJobs()
	uploadChunk(f, 1, "u1", 0, 0, "")
	uploadChunk(f, 2, "u2", 0, 1, "content")
	uploadChunk(f, 3, "u1", 1, 2, "content")
	file, _ := f.File("content")
	assert.DeepEqual(t, file.Chunks, []protocol.Position{protocol.PositionAt(2, 0)})
	assert.Equal(t, len(f.files), 1)
}

func TestOldestIncompleteUploadsAreDropped(t *testing.T) {
	f := NewJobs()
	for i := range maxOpenUploads + 10 {
		uploadChunk(f, uint64(i+1), fmt.Sprintf("u%d", i), 0, 0, "")
	}
	assert.Equal(t, len(f.files), maxOpenUploads)
	uploadChunk(f, 5000, "u0", 1, 2, "content")
	_, found := f.File("content")
	assert.Assert(t, !found, "the first chunk was dropped")
	uploadChunk(f, 5001, fmt.Sprintf("u%d", maxOpenUploads), 1, 2, "content")
	_, found = f.File("content")
	assert.Assert(t, found)
}

func TestChunkIndexOutOfRangeHasNoEffect(t *testing.T) {
	f := NewJobs()
	uploadChunk(f, 1, "u", -1, 0, "")
	uploadChunk(f, 2, "u", protocol.MaxFileChunks, 0, "")
	assert.Equal(t, len(f.files), 0)
	uploadChunk(f, 3, "u", 0, 1, "content")
	_, found := f.File("content")
	assert.Assert(t, found)
}

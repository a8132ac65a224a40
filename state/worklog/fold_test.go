package worklog

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

var now = time.Unix(1000, 0)

// log is an in-memory topic.
type log struct {
	t       assert.TestingT
	records []fleet.Record
}

func (l *log) put(w *Writer, e Entry) {
	r, err := w.Record(e)
	assert.NilError(l.t, err)
	r.Offset = int64(len(l.records))
	l.records = append(l.records, r)
}

// append appends records at the next offsets.
func (l *log) append(records []fleet.Record) {
	for _, r := range records {
		r.Offset = int64(len(l.records))
		l.records = append(l.records, r)
	}
}

// newest returns the newest record of each key, sorted by offset.
func (l *log) newest() []fleet.Record {
	return l.newestBefore(len(l.records), func(string) bool { return true })
}

// newestBefore returns the newest records before offset end, limited to the wanted keys.
func (l *log) newestBefore(end int, wanted func(key string) bool) []fleet.Record {
	last := map[string]fleet.Record{}
	for _, r := range l.records[:end] {
		last[r.Key] = r
	}
	var kept []fleet.Record
	for _, r := range last {
		if len(r.Value) > 0 && wanted(r.Key) {
			kept = append(kept, r)
		}
	}
	slices.SortFunc(kept, func(a, b fleet.Record) int { return int(a.Offset - b.Offset) })
	return kept
}

func (l *log) fold() *Fold {
	f := NewFold()
	f.Apply(now, l.records)
	return f
}

func accept(id string, items ...string) Entry {
	a := &Accept{Job: fleet.Job{ID: id}, Route: "review", Path: "/p/"}
	for _, item := range items {
		a.Job.Items = append(a.Job.Items, fleet.Item{ID: item, Tokens: 10})
	}
	return Entry{Accept: a}
}

func done(job, item, text string) Entry {
	return Entry{Done: &Done{Job: job, Item: item, Text: &TextRef{Key: text}}}
}

func save(ref ItemRef, events int) Entry {
	return Entry{Save: &Save{ItemRef: ref, LastEventID: fmt.Sprint(events), Events: events, Offset: int64(events)}}
}

func claim(job, item string, over int64) Entry {
	return Entry{Claim: &Claim{Items: []ClaimedItem{{ItemRef: ItemRef{job, item}, Replaces: over}}}}
}

func TestFirstResultOfItemCounts(t *testing.T) {
	l := &log{t: t}
	a, b := NewWriter("a"), NewWriter("b")
	l.put(a, accept("j", "x", "y"))
	l.put(a, done("j", "y", "first"))
	l.put(b, done("j", "y", "second"))
	l.put(b, done("j", "x", "other"))
	l.put(b, done("j", "z", "of no item"))
	f := l.fold()
	assert.DeepEqual(t, f.Job("j").Results, []Result{{Item: "y", Text: &TextRef{Key: "first"}}, {Item: "x", Text: &TextRef{Key: "other"}}})
	assert.Equal(t, f.WaitingTokens("review", ""), int64(0))
	assert.Equal(t, len(f.OpenJobs()), 0)
}

func TestEndedJobTakesNoMoreResults(t *testing.T) {
	l := &log{t: t}
	w := NewWriter("a")
	l.put(w, accept("j", "x", "y"))
	l.put(w, done("j", "x", "1"))
	assert.Equal(t, l.fold().WaitingTokens("review", ""), int64(10))
	l.put(w, Entry{End: &End{Job: "j"}})
	l.put(w, Entry{End: &End{Job: "j"}})
	l.put(w, done("j", "y", "late"))
	f := l.fold()
	assert.Equal(t, len(f.Job("j").Results), 1)
	assert.Equal(t, f.WaitingTokens("review", ""), int64(0))
	assert.Assert(t, !f.Job("j").Open())
}

func TestRepeatedAcceptCountsOnce(t *testing.T) {
	l := &log{t: t}
	l.put(NewWriter("a"), accept("j", "x"))
	l.put(NewWriter("b"), accept("j", "x"))
	f := l.fold()
	assert.Equal(t, len(f.OpenJobs()), 1)
	assert.Equal(t, f.WaitingTokens("review", ""), int64(10))
}

// TestClaims has two writers claim the same item: the first claim wins, and a later one
// takes effect only if it names the claim that it replaces.
func TestClaims(t *testing.T) {
	l := &log{t: t}
	a, b := NewWriter("a"), NewWriter("b")
	ref := ItemRef{"j", "x"}
	l.put(a, accept("j", "x"))
	l.put(a, claim("j", "x", NoClaim))
	l.put(b, claim("j", "x", NoClaim))
	assert.Equal(t, l.fold().Item(ref).Holder, "a")
	l.put(b, claim("j", "x", 1))
	assert.Equal(t, l.fold().Item(ref).Holder, "b")
	l.put(a, Entry{Release: &Release{ItemRef: ref, Progress: Progress{Text: "stale", LastEventID: "9"}}})
	assert.Equal(t, l.fold().Item(ref).Holder, "b", "only the holder may release")
	l.put(b, Entry{Release: &Release{ItemRef: ref, Progress: Progress{Text: "one", LastEventID: "1"}}})
	item := l.fold().Item(ref)
	assert.Equal(t, item.Claim, int64(NoClaim))
	assert.DeepEqual(t, item.Progress, Progress{Text: "one", LastEventID: "1"})
}

func TestMalformedRecordsAreCounted(t *testing.T) {
	f := NewFold()
	f.Apply(now, []fleet.Record{{Key: "k", Value: []byte("not msgpack")}, {Key: "k"}, {Key: "k", Value: []byte{0x80}}})
	assert.Equal(t, f.Malformed(), 2)
}

func TestProgressWithEvent(t *testing.T) {
	p := Progress{}.WithEvent("0", "").WithEvent("1", "a").WithEvent("2", "b")
	assert.DeepEqual(t, p, Progress{Text: "\na\nb", LastEventID: "2", Events: 3})
}

// TestNewestRecordsMakeTheSameState checks for random orders of records that a
// process that reads only the newest record of each key has the same jobs, results,
// positions, ends and claims as one that read all records, and that results never
// change or move.
func TestNewestRecordsMakeTheSameState(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		l := &log{t: t}
		writers := []*Writer{NewWriter("a"), NewWriter("b"), NewWriter("c")}
		before := map[string][]Result{}
		for range rapid.IntRange(1, 50).Draw(t, "records") {
			switch rapid.IntRange(0, 9).Draw(t, "housekeeping") {
			case 0:
				l.forgetClosed(before)
			case 1, 2:
				l.compactClosed()
			}
			w := rapid.SampledFrom(writers).Draw(t, "writer")
			l.put(w, drawEntry(t, l.fold()))
			f := l.fold()
			for _, id := range []string{"j", "k"} {
				job := f.Job(id)
				if job == nil {
					continue
				}
				assert.DeepEqual(t, append([]Result(nil), job.Results[:len(before[id])]...), before[id])
				before[id] = slices.Clone(job.Results)
			}
		}
		checkRestartedFolds(t, l)
	})
}

func drawEntry(t *rapid.T, f *Fold) Entry {
	job := rapid.SampledFrom([]string{"j", "k"}).Draw(t, "job")
	item := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "item")
	ref := ItemRef{job, item}
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0:
		return accept(job, "x", "y")
	case 1:
		return Entry{End: &End{Job: job}}
	case 2:
		over := int64(NoClaim)
		if i := f.Item(ref); i != nil && rapid.Bool().Draw(t, "current") {
			over = i.Claim
		}
		return claim(job, item, over)
	case 3:
		return Entry{Release: &Release{ItemRef: ref, Progress: Progress{Text: "t", LastEventID: "1"}}}
	case 4:
		return Entry{Heartbeat: true}
	case 5:
		target := rapid.SampledFrom([]string{"t1", "t2", "t3", "t4"}).Draw(t, "target")
		parts := rapid.SampledFrom([][]string{{"p", job}, {"q"}}).Draw(t, "parts")
		return Entry{Crash: &Crash{Fingerprint: job, Target: target, Parts: parts}}
	case 6:
		return Entry{Cleared: &Cleared{Fingerprint: job}}
	case 7:
		return Entry{PartCleared: &PartCleared{Part: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "part")}}
	case 8:
		return Entry{PartQuarantined: &PartQuarantined{Part: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "part")}}
	case 9:
		return save(ref, rapid.IntRange(1, 9).Draw(t, "events"))
	default:
		return done(job, item, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "text")))
	}
}

func anyJob(*Job) bool { return true }

// forgetClosed deletes the closed jobs, as a gateway does after their retention period.
func (l *log) forgetClosed(before map[string][]Result) {
	for _, job := range l.fold().ForgettableJobs(anyJob, 10) {
		records, _ := job.Deletions()
		l.append(records)
		delete(before, job.Accept.Job.ID)
	}
}

// compactClosed deletes what no longer matters of the closed jobs, as a gateway does soon
// after they were closed.
func (l *log) compactClosed() {
	for _, job := range l.fold().Compactable(now.Add(time.Second), anyJob) {
		l.append(job.Compaction())
	}
}

// foldFromPages returns the fold of a process that starts while the log grows. It reads
// the newest records in two pages, the second page at a later time, and then the records
// after the end of the log at the time of the first page.
func (l *log) foldFromPages(t *rapid.T) *Fold {
	first := rapid.IntRange(0, len(l.records)).Draw(t, "end of the first page")
	second := rapid.IntRange(first, len(l.records)).Draw(t, "end of the second")
	border := rapid.SampledFrom([]string{"a/3", "b", "b/5", "c/"}).Draw(t, "border")
	records := l.newestBefore(first, func(key string) bool { return key < border })
	for _, r := range l.newestBefore(second, func(key string) bool { return key >= border }) {
		if r.Offset < int64(first) {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b fleet.Record) int { return int(a.Offset - b.Offset) })
	f := NewFold()
	f.Apply(now, records)
	f.Apply(now, l.records[first:])
	return f
}

func checkRestartedFolds(t *rapid.T, l *log) {
	newest := NewFold()
	newest.Apply(now, l.newest())
	checkEqual(t, l.fold(), newest)
	checkEqual(t, l.fold(), l.foldFromPages(t))
}

func checkEqual(t *rapid.T, all, newest *Fold) {
	for _, id := range []string{"j", "k"} {
		a, b := all.Job(id), newest.Job(id)
		assert.Equal(t, a == nil, b == nil)
		if a == nil {
			continue
		}
		assert.DeepEqual(t, a.Results, b.Results)
		assert.Equal(t, a.Ended, b.Ended)
		for i := range a.Items {
			assert.DeepEqual(t, a.Items[i], b.Items[i])
		}
	}
	suspects := all.Suspects()
	again := newest.Suspects()
	assert.DeepEqual(t, suspects, again)
	assert.DeepEqual(t, all.JudgeParts(), newest.JudgeParts())
	assert.DeepEqual(t, all.QuarantinedParts(), newest.QuarantinedParts())
	assert.Equal(t, all.WaitingTokens("review", ""), newest.WaitingTokens("review", ""))
	assert.Equal(t, len(all.OpenJobs()), len(newest.OpenJobs()))
}

// TestForgottenJobLeavesNothing deletes a completed job that has claims, a release, a
// late result and a second accept. Neither the log nor the fold may keep anything of
// it, and the other job must not change.
func TestForgottenJobLeavesNothing(t *testing.T) {
	l := &log{t: t}
	a, b := NewWriter("a"), NewWriter("b")
	l.put(a, accept("j", "x"))
	l.put(b, accept("j", "x"))
	l.put(a, accept("k", "x"))
	l.put(b, claim("j", "x", NoClaim))
	l.put(b, Entry{Release: &Release{ItemRef: ItemRef{"j", "x"}}})
	l.put(b, Entry{Heartbeat: true})
	l.put(a, done("j", "x", "first"))
	l.put(b, done("j", "x", "second"))
	f := l.fold()
	jobs := f.ForgettableJobs(anyJob, 10)
	assert.Equal(t, len(jobs), 1)
	assert.Equal(t, jobs[0].Acceptor, "a")
	records, texts := jobs[0].Deletions()
	assert.DeepEqual(t, texts, []fleet.Record{{Key: "first"}, {Key: "second"}})
	l.append(records)
	f = l.fold()
	assert.Assert(t, f.Job("j") == nil && f.Job("k") != nil)
	assert.Equal(t, f.WaitingTokens("review", ""), int64(10))
	assert.Equal(t, len(l.newest()), 2, "an accept and a heartbeat")
	l.append(f.WriterDeletions(now.Add(time.Second), 10))
	assert.Equal(t, len(l.newest()), 1)
	assert.Assert(t, l.fold().LastHeard("b").IsZero())
	assert.Equal(t, len(l.fold().Claimants(now)), 0, "a deleted writer is no claimant")
}

// TestRestoreEstimatesAges restores jobs whose acceptor's time of day is plausible, in the
// future, or far in the past.
func TestRestoreEstimatesAges(t *testing.T) {
	wall := time.UnixMilli(1_000_000)
	for name, test := range map[string]struct{ at, age time.Duration }{
		"older":            {-7 * time.Second, 7 * time.Second},
		"clock ahead":      {5 * time.Second, 0},
		"clock far behind": {-time.Hour, maxRestoredAge},
	} {
		l := &log{t: t}
		e := accept("j", "x")
		e.Accept.AcceptedUnixMillis = wall.Add(test.at).UnixMilli()
		l.put(NewWriter("a"), e)
		f := NewFold()
		f.Restore(now, wall, l.newest())
		assert.Equal(t, now.Sub(f.Job("j").AcceptedAt), test.age, name)
	}
}

// TestForgottenJobsFreeTheirHost checks that a host counts as one with jobs until the last
// of them is forgotten, finished or not. Later, its paths belong to routes alone.
func TestForgottenJobsFreeTheirHost(t *testing.T) {
	l := &log{t: t}
	w := NewWriter("a")
	for _, id := range []string{"j", "k"} {
		e := accept(id, "x")
		e.Accept.Job.Host = "h"
		l.put(w, e)
		l.put(w, done(id, "x", ""))
	}
	f := l.fold()
	assert.Assert(t, f.HasJobsOf("h"))
	assert.Assert(t, !f.HasJobsOf("other"))
	for _, job := range f.ForgettableJobs(anyJob, 10) {
		assert.Assert(t, l.fold().HasJobsOf("h"))
		records, _ := job.Deletions()
		l.append(records)
	}
	f = l.fold()
	assert.Assert(t, !f.HasJobsOf("h"))
	assert.Equal(t, len(f.jobsByHost), 0)
}

// TestJobsOfEarlierBuilds folds an accept record without a workspace, as a build writes that
// knows none, and reads one with a workspace as that build does. Neither may lose the job:
// this build gives it to no workspace, so that all callers may use it, and the earlier build
// ignores the workspace.
func TestJobsOfEarlierBuilds(t *testing.T) {
	type earlierAccept struct {
		Job           fleet.Job `msgpack:"j"`
		Route         string    `msgpack:"r"`
		Path          string    `msgpack:"p"`
		Accepted      int64     `msgpack:"t"`
		ConfigVersion int64     `msgpack:"v,omitempty"`
	}
	type earlierEntry struct {
		Writer string         `msgpack:"w"`
		Accept *earlierAccept `msgpack:"a,omitempty"`
	}
	content := fleet.Job{ID: "j", Items: []fleet.Item{{ID: "x", Tokens: 10}}}
	value, err := msgpack.Marshal(&earlierEntry{Writer: "a", Accept: &earlierAccept{Job: content, Route: "review"}})
	assert.NilError(t, err)
	f := NewFold()
	f.Apply(now, []fleet.Record{{Key: "a/1", Value: value}})
	assert.Equal(t, f.Job("j").Accept.Workspace, "")
	assert.Equal(t, f.WaitingTokens("review", ""), int64(10))

	record, err := NewWriter("a").Record(Entry{Accept: &Accept{Job: content, Route: "review", Workspace: "one"}})
	assert.NilError(t, err)
	var read earlierEntry
	assert.NilError(t, msgpack.Unmarshal(record.Value, &read))
	assert.DeepEqual(t, read.Accept, &earlierAccept{Job: content, Route: "review"})
}

// TestWaitingTokensOfWorkspaces checks that a workspace's tokens count against its own quota
// of a route only: a large workspace must not take the room of a small one.
func TestWaitingTokensOfWorkspaces(t *testing.T) {
	l := &log{t: t}
	w := NewWriter("a")
	for id, workspace := range map[string]string{"j1": "one", "j2": "two", "j3": ""} {
		e := accept(id, "x")
		e.Accept.Workspace = workspace
		l.put(w, e)
	}
	for _, workspace := range []string{"one", "two", ""} {
		assert.Equal(t, l.fold().WaitingTokens("review", workspace), int64(10))
	}
	l.put(w, done("j1", "x", "text"))
	assert.Equal(t, l.fold().WaitingTokens("review", "one"), int64(0))
	l.put(w, Entry{End: &End{Job: "j2"}})
	assert.Equal(t, l.fold().WaitingTokens("review", "two"), int64(0))
	assert.Equal(t, l.fold().WaitingTokens("review", ""), int64(10))
}

// TestRebuiltFoldKnowsAges guards against a process that forgets how old jobs are when it reads the
// log anew: items would be given up later each time. A job that was accepted again is a new one.
func TestRebuiltFoldKnowsAges(t *testing.T) {
	start := time.Unix(1000, 0)
	w := NewWriter("gateway")
	accept := func(id string, offset int64) fleet.Record {
		r, err := w.Record(Entry{Accept: &Accept{Job: fleet.Job{ID: id}}})
		assert.NilError(t, err)
		r.Offset = offset
		return r
	}
	kept, again := accept("kept", 0), accept("again", 1)
	old := NewFold()
	old.Apply(start, []fleet.Record{kept, again})
	later := start.Add(time.Minute)
	rebuilt := NewFold()
	rebuilt.Restore(later, later, []fleet.Record{kept, accept("again", 7), accept("new", 8)})
	rebuilt.KeepAges(old)
	for id, want := range map[string]time.Time{"kept": start, "again": later, "new": later} {
		assert.Equal(t, rebuilt.Job(id).KnownSince, want, id)
	}
}

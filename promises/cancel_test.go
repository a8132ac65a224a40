package promises

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/history"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
)

// startBound is the time after the acknowledgement of a cancel from which no item
// of the job may start.
const startBound = 2 * time.Second

// resumeBound is the time after a suspended sidecar resumes in which a late request
// may still reach an engine: the sidecar had checked the clock before it was
// suspended and not yet written the request. No process can exclude that, but the
// sidecar must cancel such a request at once.
const resumeBound = 100 * time.Millisecond

// checkItemStarts checks the engines' own records of a cancelled job: no item
// started after startBound, and none still runs. resumed is the time at which
// suspended sidecars resumed, or zero if none were suspended.
func checkItemStarts(runs []engine.Run, name string, acknowledged, resumed time.Time) error {
	for _, run := range runs {
		if !strings.HasPrefix(run.Prompt, name+" ") {
			continue
		}
		start := time.UnixMicro(run.StartUnixMicros)
		late := start.Sub(acknowledged) > startBound
		withinResume := !resumed.IsZero() && !start.Before(resumed) && start.Sub(resumed) < resumeBound
		if late && !(withinResume && run.Ended == "cancelled") {
			return history.ErrHistory.New("%q started %v after the cancel was acknowledged and ended as %s", run.Prompt, start.Sub(acknowledged), run.Ended)
		}
		if run.Ended == "" {
			return history.ErrHistory.New("%q is still running", run.Prompt)
		}
	}
	return nil
}

func TestStartCheckFindsFaults(t *testing.T) {
	t.Parallel()
	now := time.Now()
	run := engine.Run{Prompt: "plan 1", Ended: "done", StartUnixMicros: now.Add(time.Second).UnixMicro()}
	assert.NilError(t, checkItemStarts([]engine.Run{run}, "plan", now, time.Time{}))
	late := run
	late.StartUnixMicros = now.Add(startBound + time.Millisecond).UnixMicro()
	assert.Assert(t, checkItemStarts([]engine.Run{run, late}, "plan", now, time.Time{}) != nil)
	resumed := now.Add(startBound)
	assert.Assert(t, checkItemStarts([]engine.Run{late}, "plan", now, resumed) != nil)
	cancelled := late
	cancelled.Ended = "cancelled"
	assert.NilError(t, checkItemStarts([]engine.Run{cancelled}, "plan", now, resumed))
	assert.Assert(t, checkItemStarts([]engine.Run{cancelled}, "plan", now, time.Time{}) != nil)
	cancelled.StartUnixMicros = resumed.Add(resumeBound + time.Millisecond).UnixMicro()
	assert.Assert(t, checkItemStarts([]engine.Run{cancelled}, "plan", now, resumed) != nil)
	running := run
	running.Ended = ""
	assert.Assert(t, checkItemStarts([]engine.Run{running}, "plan", now, time.Time{}) != nil)
}

func processRuns(site *processtest.Site) ([]engine.Run, error) {
	var all []engine.Run
	for _, p := range site.Engines {
		var runs []engine.Run
		if err := processtest.ReadJSON("http://"+p.Settings.StandIn.Listen+"/runs", &runs); err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

// awaitItems waits until the job has completed items.
func (j *jobCallers) awaitItems(t *testing.T, id string) {
	t.Helper()
	eventually(t, recoveryLimit, func() error {
		a, err := j.do(t.Context(), 0, 0, history.JobRead, id)
		if err == nil && a.Counts.Completed == 0 {
			err = history.ErrHistory.New("no item has completed yet")
		}
		return err
	})
}

// cancelAt cancels the job through entry i and returns the time of the acknowledgement.
func (j *jobCallers) cancelAt(t *testing.T, i int, id string) time.Time {
	t.Helper()
	eventually(t, recoveryLimit, func() error {
		a, err := j.do(t.Context(), 0, i, history.JobCancel, id)
		if err == nil && a.Status != "cancelled" {
			err = history.ErrHistory.New("the job is %s", a.Status)
		}
		return err
	})
	return time.Now()
}

func TestCancelStopsJobs(t *testing.T) {
	t.Parallel()
	suspended := func(group func(*processtest.Site) []*processtest.Process) func(*testing.T, *processtest.Site) func() {
		return func(t *testing.T, site *processtest.Site) func() {
			for _, p := range group(site) {
				assert.NilError(t, p.Signal(syscall.SIGSTOP))
			}
			return func() {
				for _, p := range group(site) {
					assert.NilError(t, p.Signal(syscall.SIGCONT))
				}
			}
		}
	}
	none := func(*testing.T, *processtest.Site) func() { return func() {} }
	for i, c := range []struct {
		name string
		// suspends is set if disturb suspends sidecars.
		suspends bool
		// disturb starts the fault before the cancel and returns a function that ends it.
		disturb func(*testing.T, *processtest.Site) func()
	}{
		{"undisturbed", false, none},
		{"other entry stopped", false, suspended(func(s *processtest.Site) []*processtest.Process { return s.Entries[1:] })},
		{"sidecars stopped", true, suspended(func(s *processtest.Site) []*processtest.Process { return s.Sidecars })},
		{"other entry and a sidecar stopped", true, suspended(func(s *processtest.Site) []*processtest.Process {
			return []*processtest.Process{s.Entries[1], s.Sidecars[0]}
		})},
		{"other entry killed", false, func(t *testing.T, s *processtest.Site) func() {
			assert.NilError(t, s.Entries[1].Kill())
			return func() { assert.NilError(t, s.Entries[1].Start()) }
		}},
	} {
		seed := uint64(i + 1)
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d", seed)
			cancelDuring(t, seed, c.suspends, c.disturb)
		})
	}
}

// cancelDuring cancels several jobs, some owned by each entry, during a fault that
// lasts longer than startBound. suspends is set if the fault suspends sidecars.
func cancelDuring(t *testing.T, seed uint64, suspends bool, disturb func(*testing.T, *processtest.Site) func()) {
	site, _ := startProcesses(t, processtest.Layout{
		Entries: 2, Engines: 2, Slots: 4,
		Engine: settings.StandInEngine{Width: 4, TokenTime: settings.Duration(5 * time.Millisecond)},
	})
	rng := rand.New(rand.NewPCG(seed, 0))
	type cancelled struct {
		*jobCallers
		job   *testJob
		id    string
		acked time.Time
	}
	var jobs []*cancelled
	for _, name := range []string{"plan-a", "plan-b", "plan-c", "plan-d"} {
		job := &testJob{name: name, items: 2000, tokens: 10}
		c := &cancelled{jobCallers: newJobCallers(t, site.Client, name, job.file(t)), job: job}
		c.id = c.submit(t, rng).ID
		jobs = append(jobs, c)
	}
	jobs[0].awaitItems(t, jobs[0].id)
	restore := disturb(t, site)
	for _, c := range jobs {
		c.acked = c.cancelAt(t, 0, c.id)
	}
	<-time.After(startBound + time.Second)
	var resumed time.Time
	if suspends {
		resumed = time.Now()
	}
	restore()
	<-time.After(startBound)
	for _, c := range jobs {
		eventually(t, recoveryLimit, func() error {
			runs, err := processRuns(site)
			if err == nil {
				err = checkItemStarts(runs, c.job.name, c.acked, resumed)
			}
			return err
		})
		assert.Equal(t, c.awaitFinal(t, c.id).Status, "cancelled")
		c.checkResultsAtAllEntries(t, c.id, c.job, false)
		c.check(t)
	}
}

// endBound is the time after the acknowledgement of a cancel in which running items
// must end: one renewal of their leases and the answer to it.
const endBound = 3 * time.Second

// TestCancelEndsRunningItems cancels a job whose items run much longer than
// endBound.
func TestCancelEndsRunningItems(t *testing.T) {
	t.Parallel()
	const seed, tokens = 1, 8000
	t.Logf("seed %d", seed)
	site, _ := startInProcess(t, demo.DefaultLayout())
	job := &testJob{name: "endless", items: 30, tokens: tokens}
	c := newJobCallers(t, site.Client, job.name, job.file(t))
	id := c.submit(t, rand.New(rand.NewPCG(seed, 0))).ID
	allRuns := func() []engine.Run {
		var runs []engine.Run
		for _, e := range site.Engines {
			runs = append(runs, e.Runs()...)
		}
		return runs
	}
	eventually(t, recoveryLimit, func() error {
		if n := len(allRuns()); n < len(site.Engines) {
			return history.ErrHistory.New("%d items are running", n)
		}
		return nil
	})
	acknowledged := c.cancelAt(t, 1, id)
	eventually(t, endBound, func() error { return checkItemStarts(allRuns(), job.name, acknowledged, time.Time{}) })
	for _, run := range allRuns() {
		assert.Equal(t, run.Ended, "cancelled")
	}
	assert.Equal(t, c.awaitFinal(t, id).Counts.Failed, 0)
	c.check(t)
}

// blockableLog is the log client of an entry whose reads of the work stream can be blocked.
type blockableLog struct {
	backend.Log
	mu      sync.Mutex
	blocked bool
}

func (l *blockableLog) setBlocked(blocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked = blocked
}

// Read implements backend.Log. While blocked is set, a follower's reads of the
// work stream wait until ctx ends.
func (l *blockableLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (backend.LogPage, error) {
	l.mu.Lock()
	blocked := l.blocked && stream == protocol.StreamWork && limit > 1
	l.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return backend.LogPage{}, protocol.ErrLogUnavailable.New("reads of the stream are blocked")
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// TestCancelReachesEntryCutFromLog cancels jobs through one entry while the other,
// which owns some of them, cannot read the log.
func TestCancelReachesEntryCutFromLog(t *testing.T) {
	t.Parallel()
	const seed = 1
	t.Logf("seed %d", seed)
	var blockable *blockableLog
	layout := demo.DefaultLayout()
	layout.WrapLog = func(instance string, log backend.Log) backend.Log {
		if instance != "entry-b" {
			return log
		}
		blockable = &blockableLog{Log: log}
		return blockable
	}
	site, _ := startInProcess(t, layout)
	rng := rand.New(rand.NewPCG(seed, 0))
	var jobs []*jobCallers
	var ids []string
	for _, name := range []string{"cut-a", "cut-b", "cut-c", "cut-d"} {
		job := &testJob{name: name, items: 2000, tokens: 10}
		c := newJobCallers(t, site.Client, name, job.file(t))
		ids = append(ids, c.submit(t, rng).ID)
		jobs = append(jobs, c)
	}
	jobs[0].awaitItems(t, ids[0])
	blockable.setBlocked(true)
	acknowledged := make([]time.Time, len(jobs))
	for i, c := range jobs {
		acknowledged[i] = c.cancelAt(t, 0, ids[i])
	}
	<-time.After(2 * startBound)
	var runs []engine.Run
	for _, e := range site.Engines {
		runs = append(runs, e.Runs()...)
	}
	blockable.setBlocked(false)
	for i, c := range jobs {
		assert.NilError(t, checkItemStarts(runs, c.key, acknowledged[i], time.Time{}))
		assert.Equal(t, c.awaitFinal(t, ids[i]).Status, "cancelled")
	}
}

// TestCancelAgainstCompletion cancels short jobs through both entries at about the
// time when they complete, while a caller reads them through both.
func TestCancelAgainstCompletion(t *testing.T) {
	t.Parallel()
	const seed, rounds = 7, 12
	t.Logf("seed %d", seed)
	layout := demo.DefaultLayout()
	layout.Engine.TokenTime = time.Millisecond
	site, _ := startInProcess(t, layout)
	rng := rand.New(rand.NewPCG(seed, 0))
	ended := map[string]int{}
	for round := range rounds {
		job := &testJob{name: "race-" + string(rune('a'+round)), items: 24, tokens: 4}
		c := newJobCallers(t, site.Client, job.name, job.file(t))
		id := c.submit(t, rng).ID
		ctx, stop := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { c.keepCalling(ctx, 1, rand.New(rand.NewPCG(seed, uint64(round))), id) })
		<-time.After(time.Duration(rng.IntN(400)) * time.Millisecond)
		for i := range c.clients {
			group.Go(func() { _, _ = c.do(t.Context(), 2+i, i, history.JobCancel, id) })
		}
		status := c.awaitFinal(t, id).Status
		stop()
		group.Wait()
		ended[status]++
		c.checkResultsAtAllEntries(t, id, job, status == "completed")
		c.check(t)
	}
	t.Logf("ended: %v", ended)
}

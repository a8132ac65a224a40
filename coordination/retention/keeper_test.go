package retention_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/commit"
	"github.com/sycamoretally/sycamoretally/coordination/follow"
	"github.com/sycamoretally/sycamoretally/coordination/logcache"
	"github.com/sycamoretally/sycamoretally/coordination/retention"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
	"github.com/sycamoretally/sycamoretally/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	keptFor = 8 * time.Minute
	// lookEvery is the time between two steps of a keeper.
	lookEvery = 5 * time.Second
)

// process is one process that folds the work stream and keeps it.
type process struct {
	log      *logservice.Service
	requests *state.Requests
	jobs     *state.Jobs
	follower *follow.Follower
	writer   *commit.Writer
	bodies   *logcache.Cache
	keeper   *retention.Maintainer
}

// start starts a process, with a keeper that looks at what is due where keep is
// set. The process stops when the returned function is called.
func start(t *testing.T, log *logservice.Service, keep bool, forgetAfter time.Duration) (*process, func()) {
	p := &process{log: log, requests: state.NewRequests(), jobs: state.NewJobs()}
	moved := state.NewBodies()
	forget := state.ForgetFold{Requests: p.requests, Jobs: p.jobs}
	p.follower = follow.New(follow.Params{Stream: "s", Source: log}, p.requests, p.jobs, moved, forget)
	p.writer = commit.New(commit.Params{Stream: "s", Log: log})
	p.bodies = logcache.New(log, "s", logcache.DefaultBytes, moved.Locate)
	needed := func() []protocol.Position { return append(p.requests.Needed(), p.jobs.Needed()...) }
	p.keeper = retention.NewMaintainer(retention.Params{Retention: keptFor, KeepResults: forgetAfter}, retention.Stream{
		Name: "s", Follower: p.follower, Writer: p.writer, Bodies: moved, NeededBodies: needed, ReadRecord: p.bodies.Record,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 3)
	work := func(f func(context.Context) error) {
		go func() {
			_ = f(ctx)
			done <- struct{}{}
		}()
	}
	work(p.follower.Run)
	work(p.writer.Run)
	work(func(ctx context.Context) error { return p.keep(ctx, keep) })
	return p, func() {
		cancel()
		for range cap(done) {
			<-done
		}
	}
}

func (p *process) keep(ctx context.Context, keep bool) error {
	for {
		select {
		case <-time.After(lookEvery):
		case <-ctx.Done():
			return nil
		}
		if keep {
			_ = p.keeper.Step(ctx, time.Now())
		}
	}
}

func (p *process) append(t *testing.T, rec protocol.Record) {
	t.Helper()
	last, err := p.writer.Append(t.Context(), rec)
	assert.NilError(t, err)
	assert.NilError(t, p.follower.WaitFor(t.Context(), last.Offset()))
}

func (p *process) complete(t *testing.T, key string) {
	t.Helper()
	p.append(t, protocol.Record{ID: key, Complete: &protocol.RequestComplete{
		Key: key, Attempt: "a", Fingerprint: "f", Result: protocol.Result{Outcome: protocol.OutcomeCompleted, Body: []byte("answer " + key)},
	}})
}

// read fails the test unless the result of key is the one that was stored.
func (p *process) read(t *testing.T, key string) {
	t.Helper()
	r, found := p.requests.Get(key)
	assert.Assert(t, found && r.ResultAt != 0, key)
	rec, err := p.bodies.Record(t.Context(), r.ResultAt)
	assert.NilError(t, err)
	assert.Equal(t, string(rec.Complete.Result.Body), "answer "+key)
}

func pass(d time.Duration) { <-time.After(d) }

// TestResultsOutliveRetention reads results in a new process after several times
// the retention, with traffic and without, a file and an outage in between.
func TestResultsOutliveRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{Retention: keptFor})
		first, stop := start(t, log, true, 0)
		for i := range 20 {
			first.complete(t, fmt.Sprint("early ", i))
		}
		first.append(t, protocol.Record{ID: "file", File: &protocol.FileChunk{File: "f", Chunks: 1, Items: []protocol.Item{{Body: []byte("line")}}}})
		for i := range 30 {
			pass(keptFor / 10)
			first.complete(t, fmt.Sprint("later ", i))
		}
		log.SetFaults(logservice.Faults{Outage: true})
		pass(keptFor / 4)
		log.SetFaults(logservice.Faults{LoseAnswers: 3})
		pass(2 * keptFor)
		stop()
		second, stop := start(t, log, true, 0)
		defer stop()
		pass(lookEvery)
		for i := range 20 {
			second.read(t, fmt.Sprint("early ", i))
		}
		for i := range 30 {
			second.read(t, fmt.Sprint("later ", i))
		}
		file, found := second.jobs.File("f")
		assert.Assert(t, found)
		rec, err := second.bodies.Record(t.Context(), file.Chunks[0])
		assert.NilError(t, err)
		assert.Equal(t, string(rec.File.Items[0].Body), "line")
	})
}

// TestWithoutKeeper shows what the keeper is for: a new process must not pass
// for current where entries have expired and no snapshot is there.
func TestWithoutKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{Retention: keptFor})
		first, stop := start(t, log, false, 0)
		first.complete(t, "one")
		pass(2 * keptFor)
		first.complete(t, "two")
		stop()
		second, stop := start(t, log, false, 0)
		defer stop()
		pass(time.Minute)
		assert.Assert(t, !second.follower.CaughtUp())
		_, found := second.requests.Get("two")
		assert.Assert(t, !found)
	})
}

// TestForgotten checks that finished work is dropped after the time to keep it,
// and that a started request without a result never is.
func TestForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{Retention: keptFor})
		p, stop := start(t, log, true, 2*keptFor)
		defer stop()
		p.complete(t, "old")
		p.append(t, protocol.Record{ID: "start", Start: &protocol.RequestStart{Key: "started", Attempt: "a", Holder: "h", Fingerprint: "f"}})
		p.append(t, protocol.Record{ID: "void", Void: &protocol.RequestVoid{Key: "voided", Attempt: "a"}})
		pass(2*keptFor - time.Minute)
		p.read(t, "old")
		p.complete(t, "young")
		pass(keptFor)
		_, found := p.requests.Get("old")
		assert.Assert(t, !found)
		_, found = p.requests.Get("voided")
		assert.Assert(t, !found)
		p.read(t, "young")
		assert.Assert(t, p.requests.MayRun("started", "a", "h"))
	})
}

// TestIdleKeeper counts the appends of a stream to which nothing is added.
func TestIdleKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{Retention: keptFor})
		p, stop := start(t, log, true, 0)
		defer stop()
		p.append(t, protocol.Record{ID: "cancel", Cancel: &protocol.JobCancel{Job: "none"}})
		pass(10 * keptFor)
		count, _ := log.Appends()
		// One snapshot and one forget record in each quarter of the retention.
		assert.Assert(t, count <= 1+2*(10*4+1), "%d appends", count)
	})
}

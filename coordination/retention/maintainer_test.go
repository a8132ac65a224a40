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
	logRetention = 8 * time.Minute
	// stepInterval is the time between two steps of a maintainer.
	stepInterval = 5 * time.Second
)

// process is a process that folds the work stream and maintains it.
type process struct {
	log        *logservice.Service
	requests   *state.Requests
	jobs       *state.Jobs
	follower   *follow.Follower
	writer     *commit.Writer
	bodies     *logcache.Cache
	maintainer *retention.Maintainer
}

// start starts a process. Its maintainer takes steps only if maintain is true. The
// process stops when the returned function is called.
func start(t *testing.T, log *logservice.Service, maintain bool, keepResults time.Duration) (*process, func()) {
	p := &process{log: log, requests: state.NewRequests(), jobs: state.NewJobs()}
	moved := state.NewBodies()
	forget := state.ForgetFold{Requests: p.requests, Jobs: p.jobs}
	p.follower = follow.New(follow.Params{Stream: "s", Source: log}, p.requests, p.jobs, moved, forget)
	p.writer = commit.New(commit.Params{Stream: "s", Log: log})
	p.bodies = logcache.New(log, "s", logcache.DefaultBytes, moved.Locate)
	needed := func() []protocol.Position { return append(p.requests.Needed(), p.jobs.Needed()...) }
	p.maintainer = retention.NewMaintainer(retention.Params{Retention: logRetention, KeepResults: keepResults}, retention.Stream{
		Name: "s", Follower: p.follower, Writer: p.writer, Bodies: moved, NeededBodies: needed, ReadRecord: p.bodies.Record,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 3)
	run := func(f func(context.Context) error) {
		go func() {
			_ = f(ctx)
			done <- struct{}{}
		}()
	}
	run(p.follower.Run)
	run(p.writer.Run)
	run(func(ctx context.Context) error { return p.maintain(ctx, maintain) })
	return p, func() {
		cancel()
		for range cap(done) {
			<-done
		}
	}
}

func (p *process) maintain(ctx context.Context, enabled bool) error {
	for {
		select {
		case <-time.After(stepInterval):
		case <-ctx.Done():
			return nil
		}
		if enabled {
			_ = p.maintainer.Step(ctx, time.Now())
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

// pass waits for d of the test's virtual time.
func pass(d time.Duration) { <-time.After(d) }

// TestResultsOutliveRetention reads results and a file in a new process after
// several times the log's retention, with periods of traffic, an outage of the log,
// lost answers of the log and idle periods in between.
func TestResultsOutliveRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{Retention: logRetention})
		first, stop := start(t, log, true, 0)
		for i := range 20 {
			first.complete(t, fmt.Sprint("early ", i))
		}
		first.append(t, protocol.Record{ID: "file", File: &protocol.FileChunk{File: "f", Chunks: 1, Items: []protocol.Item{{Body: []byte("line")}}}})
		for i := range 30 {
			pass(logRetention / 10)
			first.complete(t, fmt.Sprint("later ", i))
		}
		log.SetFaults(logservice.Faults{Outage: true})
		pass(logRetention / 4)
		log.SetFaults(logservice.Faults{LoseAnswers: 3})
		pass(2 * logRetention)
		stop()
		second, stop := start(t, log, true, 0)
		defer stop()
		pass(stepInterval)
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

// TestExpiryWithoutSnapshot checks that a new process does not count as caught up
// when entries have expired and there is no snapshot, since it lacks their state.
func TestExpiryWithoutSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{Retention: logRetention})
		first, stop := start(t, log, false, 0)
		first.complete(t, "one")
		pass(2 * logRetention)
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

// TestFinishedWorkIsDropped checks that finished work is dropped after the time to
// keep results, and that a started request without a result never is.
func TestFinishedWorkIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{Retention: logRetention})
		p, stop := start(t, log, true, 2*logRetention)
		defer stop()
		p.complete(t, "old")
		p.append(t, protocol.Record{ID: "start", Start: &protocol.RequestStart{Key: "started", Attempt: "a", Holder: "h", Fingerprint: "f"}})
		p.append(t, protocol.Record{ID: "void", Void: &protocol.RequestVoid{Key: "voided", Attempt: "a"}})
		pass(2*logRetention - time.Minute)
		p.read(t, "old")
		p.complete(t, "young")
		pass(logRetention)
		_, found := p.requests.Get("old")
		assert.Assert(t, !found)
		_, found = p.requests.Get("voided")
		assert.Assert(t, !found)
		p.read(t, "young")
		assert.Assert(t, p.requests.MayRun("started", "a", "h"))
	})
}

// TestIdleStreamCostsFewAppends bounds the appends to a stream to which nothing
// else is added.
func TestIdleStreamCostsFewAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{Retention: logRetention})
		p, stop := start(t, log, true, 0)
		defer stop()
		p.append(t, protocol.Record{ID: "cancel", Cancel: &protocol.JobCancel{Job: "none"}})
		pass(10 * logRetention)
		count, _ := log.Appends()
		// One snapshot and one forget record per quarter of the retention.
		assert.Assert(t, count <= 1+2*(10*4+1), "%d appends", count)
	})
}

package gateway_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

func job(id string, items int) *fleet.Job {
	j := &fleet.Job{ID: id, Host: "h"}
	for i := range items {
		j.Items = append(j.Items, fleet.Item{ID: fmt.Sprint("i", i), Path: "/j/x", Body: []byte("body"), Tokens: 10})
	}
	return j
}

func (s *fixture) submit(j *fleet.Job) error {
	return s.Submit(s.t.Context(), nil, routes["jobs"], "/j/1", j)
}

// errNoText means that the item was not finished because its text was not stored.
var errNoText = fleet.ErrStoreUnavailable.NewSubtype("no_text")

// storeResult stores a text and then the record of the item's completion that refers to
// it, as a batcher does.
func storeResult(ctx context.Context, store *fleetstore.Store, w *worklog.Writer, job, item, text string) error {
	value := worklog.EncodeText(text)
	key := worklog.TextPrefix(job) + w.NextKey()
	at, err := store.Append(ctx, fleet.TopicTexts, fleet.AnyOffset, []fleet.Record{{Key: key, Value: value}})
	if err != nil {
		return errNoText.Wrap(err, "text")
	}
	ref := &worklog.TextRef{Key: key, Offset: at, Bytes: len(key) + len(value)}
	record, err := w.Record(worklog.Entry{Done: &worklog.Done{Job: job, Item: item, Text: ref}})
	if err != nil {
		return err
	}
	_, err = store.Append(ctx, fleet.TopicWork, fleet.AnyOffset, []fleet.Record{record})
	return err
}

// finish stores a result and fails the test if the store does not accept it.
func finish(t *testing.T, store *fleetstore.Store, w *worklog.Writer, job, item, text string) {
	t.Helper()
	assert.NilError(t, storeResult(t.Context(), store, w, job, item, text))
}

// finishLongAgo submits a job and finishes its items, and then drops the store's history
// of their outputs.
func (s *fixture) finishLongAgo(id string, items int) {
	s.t.Helper()
	assert.NilError(s.t, s.submit(job(id, items)))
	w := worklog.NewWriter("b")
	for i := range items {
		finish(s.t, s.store, w, id, fmt.Sprint("i", i), fmt.Sprint("text ", i))
	}
	s.store.Compact(fleet.TopicTexts)
	time.Sleep(time.Second)
}

// TestQuotaHoldsAcrossGateways submits each of several jobs at two gateways concurrently.
// No more jobs may be accepted than fit the quota, and both gateways must know the same
// ones.
func TestQuotaHoldsAcrossGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		a, b := startTwo(t, store)
		store.SetFaults(fleetstore.Faults{Delay: 4 * time.Millisecond})
		var accepted [8]atomic.Bool
		var group sync.WaitGroup
		for i := range accepted {
			for _, s := range []*fixture{a, b} {
				group.Go(func() {
					err := s.submit(job(fmt.Sprint("job", i), 3))
					if err == nil {
						accepted[i].Store(true)
						return
					}
					assert.Check(t, errorx.IsOfType(err, fleet.ErrQuotaExceeded), "%v", err)
				})
			}
		}
		group.Wait()
		time.Sleep(time.Second)
		count := 0
		for i := range accepted {
			_, errA := a.Results(t.Context(), nil, fmt.Sprint("job", i), 0, 0)
			_, errB := b.Results(t.Context(), nil, fmt.Sprint("job", i), 0, 0)
			assert.Equal(t, errA == nil, accepted[i].Load(), "%v", errA)
			assert.Equal(t, errB == nil, accepted[i].Load(), "%v", errB)
			if errA == nil {
				count++
			}
		}
		assert.Equal(t, count, 3, "3 jobs of 30 tokens fit into a quota of 100")
	})
}

// TestJobsAreAcceptedWhileTheLogGrows submits jobs while hundreds of processes append to
// the work log, so that its end moves during every append. An accept that requires the
// log to end where its gateway has read it fails again and again then. Far from the quota
// each job must be accepted by the first append, a copy of it included, and count once.
func TestJobsAreAcceptedWhileTheLogGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		a, b := startTwo(t, store)
		ctx, cancel := context.WithCancel(t.Context())
		others := worklog.NewWriter("others")
		go func() {
			for ctx.Err() == nil {
				time.Sleep(2 * time.Millisecond)
				record, err := others.Encode(worklog.Entry{Heartbeat: true})
				assert.Check(t, err)
				_, _ = store.Append(ctx, fleet.TopicWork, fleet.AnyOffset, []fleet.Record{record}) // fails once ctx has ended
			}
		}()
		defer cancel()
		store.SetFaults(fleetstore.Faults{Delay: 6 * time.Millisecond})
		begun := time.Now()
		var group sync.WaitGroup
		for i := range 20 {
			for _, s := range []*fixture{a, b} {
				group.Go(func() {
					assert.Check(t, s.Submit(t.Context(), nil, routes["bulk"], "/b/1", job(fmt.Sprint("job", i), 3)))
				})
			}
		}
		group.Wait()
		assert.Assert(t, time.Since(begun) < 20*time.Millisecond, "%v", time.Since(begun))
		time.Sleep(time.Second)
		records, _, err := store.Newest(t.Context(), fleet.TopicWork)
		assert.NilError(t, err)
		fold := worklog.NewFold()
		fold.Apply(time.Now(), records)
		assert.Equal(t, len(fold.OpenJobs()), 20)
		assert.Equal(t, fold.WaitingTokens("bulk", ""), int64(20*30))
	})
}

// TestQuotaIsFreed checks that a job is accepted once results, or the end of a job, have
// freed enough of the quota.
func TestQuotaIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
		defer s.stop()
		assert.NilError(t, s.submit(job("big", 9)))
		assert.Assert(t, errorx.IsOfType(s.submit(job("two", 2)), fleet.ErrQuotaExceeded))
		finish(t, s.store, worklog.NewWriter("b"), "big", "i0", "x")
		assert.NilError(t, s.submit(job("two", 2)))
		assert.Assert(t, errorx.IsOfType(s.submit(job("three", 9)), fleet.ErrQuotaExceeded))
		assert.NilError(t, s.CancelJob(t.Context(), nil, "big"))
		assert.Assert(t, errorx.IsOfType(s.submit(job("three", 9)), fleet.ErrQuotaExceeded), "job two still takes up quota")
		assert.NilError(t, s.submit(job("three", 8)))
	})
}

// TestSubmitWithLostStoreAnswers loses answers of the store, or appends. A job whose
// append took effect is accepted although the answer was lost, and a job that may still
// be accepted is not reported as refused.
func TestSubmitWithLostStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
		defer s.stop()
		s.store.SetFaults(fleetstore.Faults{LoseAnswers: 1})
		assert.NilError(t, s.submit(job("one", 1)))
		s.store.SetFaults(fleetstore.Faults{LoseAppends: 1})
		assert.NilError(t, s.submit(job("two", 1)))
		s.store.SetFaults(fleetstore.Faults{LoseAppends: 1000})
		err := s.submit(job("three", 1))
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrOutcomeUnknown), "%v", err)
	})
}

// TestStoreOutage checks that while the store is down a gateway refuses calls that need
// it, answers from what it has read, and claims nothing about results or jobs that it
// may not have read.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
		defer s.stop()
		w := worklog.NewWriter("b")
		assert.NilError(t, s.submit(job("one", 3)))
		finish(t, s.store, w, "one", "i1", "x")
		time.Sleep(time.Second)
		_, err := s.Results(t.Context(), nil, "one", 0, 0)
		assert.NilError(t, err)
		finish(t, s.store, w, "one", "i0", "y")
		time.Sleep(time.Second)
		s.store.SetFaults(fleetstore.Faults{Down: true})
		assert.Assert(t, errorx.IsOfType(s.submit(job("two", 1)), fleet.ErrRefused))
		assert.NilError(t, s.submit(job("one", 3)), "the submission of a known job must succeed")
		assert.Assert(t, errorx.IsOfType(s.CancelJob(t.Context(), nil, "one"), fleet.ErrRefused))
		page, err := s.Results(t.Context(), nil, "one", 0, 0)
		assert.NilError(t, err)
		assert.DeepEqual(t, page, fleet.ResultPage{Total: 3, Next: 1, Results: []fleet.Result{{Item: "i1", Text: "x"}}})
		_, err = s.Results(t.Context(), nil, "one", 1, 0)
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrRefused), "a result whose output is not in this gateway's cache: %v", err)
		assert.Assert(t, fleet.RetryAfterOf(err) > 0)
		time.Sleep(2 * time.Second)
		_, err = s.Results(t.Context(), nil, "one", 2, time.Second)
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrRefused), "other gateways may have read more results: %v", err)
		_, err = s.Results(t.Context(), nil, "two", 0, 0)
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrRefused), "%v", err)
		_, err = s.Results(t.Context(), nil, "one", 3, 0)
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrRefused), "a position that was returned by another gateway: %v", err)
		s.store.SetFaults(fleetstore.Faults{})
		_, err = s.Results(t.Context(), nil, "two", 0, 0)
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrUnknownJob), "%v", err)
	})
}

// TestEndHoldsThoughItIsNotReadBack ends a job while the store becomes unavailable right
// after it has stored the end. The call must succeed, and the job must accept no further
// results.
func TestEndHoldsThoughItIsNotReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
		defer s.stop()
		assert.NilError(t, s.submit(job("one", 2)))
		time.Sleep(time.Second) // the gateway reads the job back
		s.store.SetFaults(fleetstore.Faults{Delay: 400 * time.Millisecond})
		time.AfterFunc(300*time.Millisecond, func() { s.store.SetFaults(fleetstore.Faults{Down: true}) })
		assert.NilError(t, s.CancelJob(t.Context(), nil, "one"))
		s.store.SetFaults(fleetstore.Faults{})
		finish(t, s.store, worklog.NewWriter("b"), "one", "i1", "x")
		page, err := s.Results(t.Context(), nil, "one", 0, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Results), 0)
	})
}

// TestResultsWait checks that a read of results returns at the next result, or at the end
// of its wait.
func TestResultsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
		defer s.stop()
		assert.NilError(t, s.submit(job("one", 2)))
		begun := time.Now()
		page, err := s.Results(t.Context(), nil, "one", 0, time.Second)
		assert.NilError(t, err)
		assert.DeepEqual(t, page, fleet.ResultPage{Total: 2})
		assert.Equal(t, time.Since(begun), time.Second)
		go func() {
			time.Sleep(100 * time.Millisecond)
			finish(t, s.store, worklog.NewWriter("b"), "one", "i1", "x")
		}()
		page, err = s.Results(t.Context(), nil, "one", 0, 2*time.Second)
		assert.NilError(t, err)
		assert.DeepEqual(t, page, fleet.ResultPage{Total: 2, Next: 1, Results: []fleet.Result{{Item: "i1", Text: "x"}}})
	})
}

// TestRecoveryFromStore replaces the only gateway after the store has dropped its history
// of the work log. The new one must know the same jobs, results, positions, bodies and
// ends.
func TestRecoveryFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s := startGateway(t, store)
		assert.NilError(t, s.submit(job("one", 3)))
		assert.NilError(t, s.submit(job("ended", 1)))
		assert.NilError(t, s.CancelJob(t.Context(), nil, "ended"))
		w := worklog.NewWriter("b")
		finish(t, store, w, "one", "i2", "first")
		finish(t, store, w, "one", "i0", "second")
		finish(t, store, w, "one", "i2", "again")
		finish(t, store, w, "ended", "i0", "late")
		before, err := s.Results(t.Context(), nil, "one", 0, 2*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(before.Results), 2)
		s.stop()
		store.Compact(fleet.TopicWork)
		s = startGateway(t, store)
		defer s.stop()
		after, err := s.Results(t.Context(), nil, "one", 0, 0)
		assert.NilError(t, err)
		assert.DeepEqual(t, before, after)
		body, err := s.ItemBody(t.Context(), nil, "one", "i1")
		assert.NilError(t, err)
		assert.Equal(t, string(body), "body")
		page, err := s.Results(t.Context(), nil, "ended", 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Results), 0)
		_, err = s.ItemBody(t.Context(), nil, "one", "i9")
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrUnknownJob))
	})
}

// TestOldOutputsAreReadTogether reads the results of a job whose outputs are older than
// the store's history. One call must return the outputs of the whole job.
func TestOldOutputsAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
		defer s.stop()
		other := worklog.NewWriter("other")
		for i := range 40 {
			finish(t, s.store, other, "other", fmt.Sprint("i", i), "z")
		}
		s.finishLongAgo("one", 9)
		before := s.store.Calls()
		page, err := s.Results(t.Context(), nil, "one", 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Results), 9)
		for i, r := range page.Results {
			assert.Equal(t, r.Text, fmt.Sprint("text ", i))
		}
		const polls = 3 // one for each topic that the gateway follows
		calls := s.store.Calls() - before - polls
		assert.Assert(t, calls <= 2, "%d calls", calls)
	})
}

// TestOldOutputsFromSlowStore reads the results of a job by four callers concurrently.
// Each call to the store takes half a second, and the job's outputs are older than the
// store's history. All callers must get them by a single read.
func TestOldOutputsFromSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
		defer s.stop()
		s.finishLongAgo("one", 3)
		s.store.SetFaults(fleetstore.Faults{Delay: 500 * time.Millisecond})
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				_, _ = s.Results(t.Context(), nil, "one", 0, 0) // may time out
				page, err := s.Results(t.Context(), nil, "one", 0, 0)
				assert.Check(t, err)
				assert.Check(t, len(page.Results) == 3)
			})
		}
		begun := time.Now()
		group.Wait()
		assert.Assert(t, time.Since(begun) <= 1500*time.Millisecond, "%v", time.Since(begun))
	})
}

// TestClosedJobsAreCompacted runs a job with many claims and saves to its end. Soon after,
// the store must hold only its accept and its results, and a gateway that starts then must
// know the same results. Claims of an open job must stay.
func TestClosedJobsAreCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s := startGateway(t, store)
		defer s.stop()
		assert.NilError(t, s.submit(job("done", 2)))
		assert.NilError(t, s.submit(job("open", 1)))
		w := worklog.NewWriter("batcher")
		appendEntry := func(e worklog.Entry) {
			record, err := w.Record(e)
			assert.NilError(t, err)
			_, err = store.Append(t.Context(), fleet.TopicWork, fleet.AnyOffset, []fleet.Record{record})
			assert.NilError(t, err)
		}
		for _, ref := range []worklog.ItemRef{{Job: "done", Item: "i0"}, {Job: "done", Item: "i1"}, {Job: "open", Item: "i0"}} {
			appendEntry(worklog.Entry{Claim: &worklog.Claim{Items: []worklog.ClaimedItem{{ItemRef: ref, Replaces: worklog.NoClaim}}}})
			appendEntry(worklog.Entry{Save: &worklog.Save{ItemRef: ref, Events: 3}})
		}
		finish(t, store, w, "done", "i0", "x")
		finish(t, store, w, "done", "i1", "y")
		time.Sleep(5 * time.Second)
		want, err := s.Results(t.Context(), nil, "done", 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(want.Results), 2)
		records, _, err := store.Newest(t.Context(), fleet.TopicWork)
		assert.NilError(t, err)
		assert.Equal(t, len(records), 3+3, "accept and results of one job; accept, claim and save of the other")
		fresh := startGateway(t, store)
		defer fresh.stop()
		got, err := fresh.Results(t.Context(), nil, "done", 0, 0)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

// TestExpiredJobsWithLongIDsAreDeleted guards against a clean-up that fails each time, since the keys of
// the saved texts of many jobs are more than one append may hold: no job would be deleted any
// more, and the store would fill.
func TestExpiredJobsWithLongIDsAreDeleted(t *testing.T) {
	const jobs, items = 50, 200
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		w := worklog.NewWriter("batcher")
		for i := range jobs {
			accepted := fleet.Job{ID: fmt.Sprint("j", i), Host: "h"}
			var records []fleet.Record
			add := func(e worklog.Entry) {
				record, err := w.Record(e)
				assert.NilError(t, err)
				records = append(records, record)
			}
			for n := range items {
				accepted.Items = append(accepted.Items, fleet.Item{ID: fmt.Sprintf("%0237d", n), Path: "/x"})
			}
			add(worklog.Entry{Accept: &worklog.Accept{Job: accepted, Route: "jobs", Path: "/j/1"}})
			for _, item := range accepted.Items {
				add(worklog.Entry{Save: &worklog.Save{ItemRef: worklog.ItemRef{Job: accepted.ID, Item: item.ID}, Events: 3}})
			}
			add(worklog.Entry{End: &worklog.End{Job: accepted.ID}})
			_, err := store.Append(t.Context(), fleet.TopicWork, fleet.AnyOffset, records)
			assert.NilError(t, err)
		}
		s := startGateway(t, store)
		defer s.stop()
		time.Sleep(12 * keepResults)
		left, _, err := store.Newest(t.Context(), fleet.TopicWork)
		assert.NilError(t, err)
		for _, r := range left {
			assert.Assert(t, !strings.HasPrefix(r.Key, "batcher/"), "%d records are left", len(left))
		}
	})
}

// TestExpiredJobsAreDeleted checks that a completed job is deleted after five times the
// promised time, and one whose acceptor no longer exists after twice that, and that then
// neither the store nor a gateway holds anything of them. An open job is kept.
func TestExpiredJobsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		a, b := startGateway(t, store), startGateway(t, store)
		w := worklog.NewWriter("batcher")
		assert.NilError(t, a.submit(job("done", 1)))
		assert.NilError(t, b.submit(job("orphan", 1)))
		assert.NilError(t, a.submit(job("open", 1)))
		finish(t, store, w, "done", "i0", "x")
		finish(t, store, w, "orphan", "i0", "x")
		b.stop()
		known := func(id string) bool {
			_, err := a.Results(t.Context(), nil, id, 0, 0)
			return err == nil
		}
		time.Sleep(5*keepResults - time.Second)
		assert.Assert(t, known("done") && known("orphan") && known("open"))
		time.Sleep(12 * time.Second)
		assert.Assert(t, !known("done") && known("orphan") && known("open"))
		time.Sleep(5 * keepResults)
		assert.Assert(t, !known("orphan") && known("open"))
		a.stop()
		for topic, want := range map[fleet.Topic]int{fleet.TopicWork: 1, fleet.TopicTexts: 0} {
			records, _, err := store.Newest(t.Context(), topic)
			assert.NilError(t, err)
			assert.Equal(t, len(records), want)
		}
	})
}

// TestCutOffGateway lets the store be unresponsive to a gateway. Calls about jobs must be
// refused there without a wait, and the gateway must not be ready, so that callers use
// others, until the store answers again.
func TestCutOffGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
		defer s.stop()
		assert.NilError(t, s.submit(job("known", 1)))
		assert.Assert(t, s.Ready())
		s.store.SetFaults(fleetstore.Faults{Delay: time.Minute})
		time.Sleep(3 * time.Second)
		assert.Assert(t, !s.Ready(), "a gateway that is cut off from the store is ready")
		for call, attempt := range map[string]func() error{
			"submit": func() error { return s.submit(job("one", 1)) },
			"read": func() error {
				_, err := s.Results(t.Context(), nil, "unknown", 0, 0)
				return err
			},
			"end": func() error { return s.CancelJob(t.Context(), nil, "known") },
		} {
			begun := time.Now()
			err := attempt()
			assert.Assert(t, errorx.IsOfType(err, fleet.ErrRefused), "%s: %v", call, err)
			assert.Assert(t, time.Since(begun) <= 100*time.Millisecond, "%s took %v", call, time.Since(begun))
			after := fleet.RetryAfterOf(err)
			assert.Assert(t, after > 0 && after <= 100*time.Millisecond, "%s: %v", call, after)
		}
		s.store.SetFaults(fleetstore.Faults{})
		time.Sleep(time.Second)
		assert.NilError(t, s.submit(job("one", 1)))
		assert.Assert(t, s.Ready())
	})
}

// TestCallsEndWhileStoreIsUnresponsive checks that Submit ends within submitTimeout, and
// Results when its caller's context does, while the store is unresponsive.
func TestCallsEndWhileStoreIsUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
		defer s.stop()
		s.store.SetFaults(fleetstore.Faults{Delay: time.Minute})
		begun := time.Now()
		err := s.submit(job("one", 1))
		assert.Assert(t, err != nil)
		assert.Assert(t, time.Since(begun) <= 2*time.Second, "%v", time.Since(begun))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = s.Results(ctx, nil, "unknown", 0, 0)
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrRefused), "%v", err)
	})
}

// TestAcceptNamesItsConfiguration checks that the record of an accepted job has the version
// of the configuration that its gateway had read. Without it a batcher that has read an
// older one takes a route that it does not know yet for a removed one.
func TestAcceptNamesItsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s := startGateway(t, store)
		defer s.stop()
		assert.NilError(t, s.submit(job("job", 1)))
		records, _, err := store.Newest(t.Context(), fleet.TopicWork)
		assert.NilError(t, err)
		fold := worklog.NewFold()
		fold.Apply(time.Now(), records)
		assert.Equal(t, fold.Job("job").Accept.ConfigVersion, int64(1))
	})
}

// TestPositionWithoutResultIsNoUnknownJob reads a job from positions that have no result yet, or
// never will have one. The job must not be denied, as a job that does not exist is.
func TestPositionWithoutResultIsNoUnknownJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
		defer s.stop()
		assert.NilError(t, s.submit(job("job", 2)))
		read := func(after, results int) {
			t.Helper()
			page, err := s.Results(t.Context(), nil, "job", after, 0)
			assert.NilError(t, err)
			assert.DeepEqual(t, []int{page.Total, page.Next, len(page.Results)}, []int{2, after + results, results})
		}
		read(1, 0)
		read(2, 0)
		w := worklog.NewWriter("b")
		finish(t, s.store, w, "job", "i0", "a")
		read(2, 0)
		read(0, 1)
		assert.NilError(t, s.CancelJob(t.Context(), nil, "job"))
		read(1, 0)
		read(2, 0)
		_, err := s.Results(t.Context(), nil, "no job", 0, 0)
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrUnknownJob), "%v", err)
	})
}

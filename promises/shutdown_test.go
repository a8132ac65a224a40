package promises

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/history"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
)

// endLimit is the time in which a process that got SIGTERM must end.
const endLimit = 30 * time.Second

// stopGracefully sends SIGTERM and checks that the process exits with code 0.
func stopGracefully(t *testing.T, p *processtest.Process) {
	t.Helper()
	assert.NilError(t, p.Signal(syscall.SIGTERM))
	code, err := p.Wait(endLimit)
	assert.NilError(t, err)
	assert.Equal(t, code, 0, "%s", p.Log())
}

// awaitServing waits until a process that was started again is ready.
func awaitServing(t *testing.T, p *processtest.Process) {
	t.Helper()
	eventually(t, endLimit, func() error {
		resp, err := http.Get("http://" + p.Settings.Process.HTTP + "/readyz")
		if err != nil {
			return protocol.ErrNotSent.Wrap(err, "ready")
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusNoContent {
			return protocol.ErrBusy.New("/readyz returned status %d", resp.StatusCode)
		}
		return nil
	})
}

// awaitJob waits until the job has completed and returns its results.
func awaitJob(t *testing.T, c *client.Client, id string, limit time.Duration) string {
	t.Helper()
	eventually(t, limit, func() error {
		job, err := c.Job(t.Context(), id)
		if err != nil {
			return err
		}
		if job.Status != "completed" {
			return protocol.ErrBusy.New("job is %s", job.Status)
		}
		return nil
	})
	var results bytes.Buffer
	assert.NilError(t, c.Results(t.Context(), id, &results))
	return results.String()
}

// TestShutdownCutsNothing stops a process while streams, bookings and batch items
// run on it. All of them must complete, and none may run twice.
func TestShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"sidecar", "entry"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			site, c := startProcesses(t, processtest.Layout{
				Entries: 2, Engines: 2, Services: 1, Slots: 16, DrainTimeout: 20 * time.Second,
				Engine:  settings.StandInEngine{Width: 16, TokenTime: settings.Duration(20 * time.Millisecond)},
				Service: settings.StandInService{DelayMillis: 1500},
			})
			job := submitJob(t, c, "nightly", 12, 150)
			awaitEvent(t, c, "item started")
			a := &chatRecorder{client: c}
			var group sync.WaitGroup
			for i := range 6 {
				group.Go(func() { a.chat(t, fmt.Sprintf("draining %d", i), 60, i%2 == 0) })
			}
			for i := range 2 {
				group.Go(func() {
					_, err := c.Call(t.Context(), "booking", http.MethodPost, "/bookings", fmt.Appendf(nil, `{"slot":"%d"}`, i), client.CallOptions{Key: fmt.Sprintf("drain-%d", i)})
					if err != nil {
						t.Errorf("booking %d: %v", i, err)
					}
				})
			}
			awaitEvent(t, c, "call started")
			<-time.After(300 * time.Millisecond)
			stopped := []*processtest.Process{site.Entries[0]}
			if role == "sidecar" {
				stopped = []*processtest.Process{site.Sidecars[0], site.Sidecars[2]}
			}
			for _, p := range stopped {
				group.Go(func() { stopGracefully(t, p) })
			}
			group.Wait()
			assert.NilError(t, history.CheckAnswers(a.answers))
			assert.Equal(t, a.failed(), 0)
			runs, err := site.BookingRuns()
			assert.NilError(t, err)
			assert.DeepEqual(t, runs, map[string]int{"demo/drain-0": 1, "demo/drain-1": 1})
			assert.Equal(t, strings.Count(awaitJob(t, c, job, time.Minute), "\n"), 12)
			assertNoRunCut(t, site)
		})
	}
}

// assertNoRunCut checks the engines' own records. There are enough slots for all
// requests, so no run may have been cancelled.
func assertNoRunCut(t *testing.T, site *processtest.Site) {
	t.Helper()
	for _, p := range site.Engines {
		var runs []engine.Run
		assert.NilError(t, processtest.ReadJSON("http://"+p.Settings.StandIn.Listen+"/runs", &runs))
		for _, r := range runs {
			assert.Equal(t, r.Ended, "done", "%s", r.Prompt)
		}
	}
}

// TestDrainTimeoutTellsTruth stops an entry, or the sidecars, while work runs that
// takes longer than the drain timeout. Work that is cut off must be reported by an
// error with the outcome unknown, never by a truncated answer.
func TestDrainTimeoutTellsTruth(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"sidecar", "entry"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			site, c := startProcesses(t, processtest.Layout{
				Entries: 1, Engines: 1, Services: 1, Slots: 8, DrainTimeout: time.Second,
				Engine:  settings.StandInEngine{Width: 8, TokenTime: settings.Duration(50 * time.Millisecond)},
				Service: settings.StandInService{DelayMillis: 15000},
			})
			a := &chatRecorder{client: c}
			var group sync.WaitGroup
			for i := range 4 {
				group.Go(func() { a.chat(t, fmt.Sprintf("cut %d", i), 300, i%2 == 0) })
			}
			var booking error
			group.Go(func() {
				_, booking = c.Call(t.Context(), "booking", http.MethodPost, "/bookings", []byte(`{"slot":"7"}`), client.CallOptions{Key: "cut"})
			})
			awaitEvent(t, c, "call started")
			stopped := []*processtest.Process{site.Entries[0]}
			if role == "sidecar" {
				stopped = site.Sidecars
			}
			for _, p := range stopped {
				group.Go(func() { stopGracefully(t, p) })
			}
			group.Wait()
			assert.NilError(t, history.CheckAnswers(a.answers))
			assert.Equal(t, a.failed(), 4)
			assert.Equal(t, protocol.OutcomeOf(booking), protocol.OutcomeUnknown, "%v", booking)
			for _, answer := range a.answers {
				assert.Equal(t, protocol.OutcomeOf(answer.Err), protocol.OutcomeUnknown, "%s: %v", answer.Request, answer.Err)
			}
		})
	}
}

// TestRollingReplacement restarts every process in turn under load. No request may
// fail or be refused.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	site, c := startProcesses(t, processtest.Layout{
		Entries: 2, Engines: 2, Services: 2, Slots: 4, DrainTimeout: 20 * time.Second,
		Engine: settings.StandInEngine{Width: 4, TokenTime: settings.Duration(5 * time.Millisecond)},
	})
	job := submitJob(t, c, "nightly", 400, 10)
	l := startLoad(t, c, 4, 2)
	for _, group := range [][]*processtest.Process{site.Sidecars, site.Entries} {
		for _, p := range group {
			stopGracefully(t, p)
			assert.NilError(t, p.Start())
			awaitServing(t, p)
			before := l.done.Load()
			eventually(t, endLimit, func() error {
				if l.done.Load() < before+50 {
					return protocol.ErrBusy.New("only %d requests done since the restart", l.done.Load()-before)
				}
				return nil
			})
		}
	}
	l.stop()
	t.Logf("%d done, refused as not run: %v", l.done.Load(), l.refused)
	assert.Equal(t, len(l.refused), 0)
	runs, err := site.BookingRuns()
	assert.NilError(t, err)
	for key, n := range runs {
		assert.Equal(t, n, 1, "booking %s", key)
	}
	assert.Equal(t, strings.Count(awaitJob(t, c, job, time.Minute), "\n"), 400)
}

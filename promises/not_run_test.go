package promises

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/history"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
	"github.com/sycamoretally/sycamoretally/standin/service"
)

// bookingLayout is the layout of a site with three entries and two booking services.
func bookingLayout() demo.Layout {
	l := demo.DefaultLayout()
	l.Entries, l.Engines, l.Services = 3, 0, 2
	return l
}

// allRuns returns the number of runs of each key over all booking services.
func allRuns(site *demo.Site) map[string]int {
	runs := map[string]int{}
	for _, s := range site.Services {
		for key, n := range s.Runs() {
			runs[key] += n
		}
	}
	return runs
}

func setServiceFaults(site *demo.Site, f service.Faults) {
	for _, s := range site.Services {
		s.SetFaults(f)
	}
}

// TestNotRunIsTrueUnderFaults checks every refusal as not run against the booking
// services' own records, while the log and the services fail in turn.
func TestNotRunIsTrueUnderFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{5, 55, 555} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			site, _ := startInProcess(t, bookingLayout())
			l := newRequestLoad(t, seed, site.Client)
			l.run(t.Context(), func(ctx context.Context, random *rand.Rand) {
				for wait(ctx, time.Duration(random.IntN(150))*time.Millisecond) {
					setRandomFaults(site, random)
				}
			})
			site.Log.SetFaults(logservice.Faults{})
			setServiceFaults(site, service.Faults{})
			l.readAll(t.Context())
			l.check(t, allRuns(site))
		})
	}
}

// setRandomFaults replaces the faults of the log and of the booking services by random ones.
func setRandomFaults(site *demo.Site, random *rand.Rand) {
	site.Log.SetFaults(logservice.Faults{})
	setServiceFaults(site, service.Faults{DelayMillis: random.IntN(200)})
	switch random.IntN(7) {
	case 0:
		site.Log.SetFaults(logservice.Faults{Outage: true})
	case 1:
		site.Log.SetFaults(logservice.Faults{LoseAnswers: 1 + random.IntN(5)})
	case 2:
		site.Log.SetFaults(logservice.Faults{DelayMillis: random.IntN(400)})
	case 3:
		setServiceFaults(site, service.Faults{Down: true})
	case 4:
		setServiceFaults(site, service.Faults{LoseAnswers: 1})
	}
}

// TestResendJoinsTheRunningCall checks that a resend through any entry, including
// the one that got the first request, waits for the running call instead of being
// refused or timing out.
func TestResendJoinsTheRunningCall(t *testing.T) {
	t.Parallel()
	site, c := startInProcess(t, bookingLayout())
	setServiceFaults(site, service.Faults{DelayMillis: 4000})
	l := newRequestLoad(t, 0, site.Client)
	first := make(chan history.RequestOutput, 1)
	go func() { first <- l.book(t.Context(), 0, l.entries[0], "slow", "s", time.Minute) }()
	awaitStarted(t, c, "slow")
	conflict := l.book(t.Context(), 9, l.entries[2], "slow", "another", time.Minute)
	assert.Equal(t, conflict.Answer, history.AnswerConflict)
	resent := make(chan history.RequestOutput, len(l.entries))
	for i, e := range l.entries {
		go func() { resent <- l.book(t.Context(), i+1, e, "slow", "s", time.Minute) }()
	}
	want := <-first
	assert.Equal(t, want.Answer, history.AnswerResult)
	for range l.entries {
		assert.Equal(t, <-resent, want)
	}
	l.check(t, allRuns(site))
}

// awaitStarted waits until the key is listed as started.
func awaitStarted(t *testing.T, c *client.Client, key string) {
	t.Helper()
	eventually(t, 10*time.Second, func() error {
		a, err := c.Result(t.Context(), key)
		if err == nil && a.Status != http.StatusAccepted {
			return protocol.ErrInternal.New("status %d", a.Status)
		}
		return err
	})
}

// TestCompletedIsNeverCalledNotRun resends a completed booking, and reads it,
// through entries that cannot reach the log: none may report it as not run.
func TestCompletedIsNeverCalledNotRun(t *testing.T) {
	t.Parallel()
	site, _ := startInProcess(t, bookingLayout())
	l := newRequestLoad(t, 0, site.Client)
	out := l.book(t.Context(), 0, l.entries[0], "done", "s", time.Minute)
	assert.Equal(t, out.Answer, history.AnswerResult)
	l.read(t.Context(), 0, l.entries[1], "done")
	site.Log.SetFaults(logservice.Faults{Outage: true})
	for i, e := range l.entries {
		l.book(t.Context(), i, e, "done", "s", time.Minute)
		_, err := e.Result(t.Context(), "done")
		assert.Assert(t, protocol.OutcomeOf(err) != protocol.OutcomeNotRun, "%v", err)
	}
	site.Log.SetFaults(logservice.Faults{})
	l.check(t, allRuns(site))
}

// TestOutageRefusesTruly checks that a booking that cannot be recorded in the log
// is refused as not run, and that its resend runs after the outage.
func TestOutageRefusesTruly(t *testing.T) {
	t.Parallel()
	site, _ := startInProcess(t, bookingLayout())
	l := newRequestLoad(t, 0, site.Client)
	site.Log.SetFaults(logservice.Faults{Outage: true})
	out := l.book(t.Context(), 0, l.entries[0], "later", "s", time.Minute)
	assert.Equal(t, out.Answer, history.AnswerNotRun)
	list := l.repeatable(t.Context(), 0, l.entries[0], "get-later", time.Minute)
	assert.Equal(t, list.Answer, history.AnswerResult)
	assert.Assert(t, list.Unretained)
	assert.Equal(t, len(allRuns(site)), 0)
	site.Log.SetFaults(logservice.Faults{})
	eventually(t, 20*time.Second, func() error {
		if out := l.book(t.Context(), 0, l.entries[1], "later", "s", time.Minute); out.Answer != history.AnswerResult {
			return protocol.ErrBusy.New("%v", out)
		}
		return nil
	})
	l.check(t, allRuns(site))
}

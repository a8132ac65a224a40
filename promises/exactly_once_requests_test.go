package promises

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/history"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
	"github.com/sycamoretally/sycamoretally/standin/service"
)

// bookingProcesses is the layout of a site with entries and two booking services.
var bookingProcesses = processtest.Layout{Entries: 3, Services: 2, Slots: 8}

// TestKeyedRequestsExactlyOnce kills, suspends and restarts entries and sidecars
// while callers resend through any entry, then restarts every process of the system
// and reads every result from every entry.
func TestKeyedRequestsExactlyOnce(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			site, _ := startProcesses(t, bookingProcesses)
			l := newRequestLoad(t, seed, site.Client)
			l.run(t.Context(), func(ctx context.Context, random *rand.Rand) {
				for wait(ctx, time.Duration(100+random.IntN(400))*time.Millisecond) {
					injectFault(ctx, t, site, random)
				}
			})
			assert.NilError(t, site.SetFaults(site.Log, logservice.Faults{}))
			replaceAll(t, site)
			l.awaitReady(t)
			l.readAll(t.Context())
			runs, err := site.BookingRuns()
			assert.NilError(t, err)
			l.check(t, runs)
		})
	}
}

// injectFault restarts or suspends a random process, or sets random faults of the
// log or of a booking service.
func injectFault(ctx context.Context, t *testing.T, site *processtest.Site, random *rand.Rand) {
	processes := append(append([]*processtest.Process(nil), site.Entries...), site.Sidecars...)
	process := processes[random.IntN(len(processes))]
	pause := time.Duration(random.IntN(3000)) * time.Millisecond
	switch random.IntN(5) {
	case 0, 1:
		assert.Check(t, process.Kill())
		assert.Check(t, process.Start())
	case 2:
		assert.Check(t, process.Signal(syscall.SIGSTOP))
		wait(ctx, pause)
		assert.Check(t, process.Signal(syscall.SIGCONT))
	case 3:
		assert.Check(t, site.SetFaults(site.Log, logservice.Faults{LoseAnswers: 1 + random.IntN(4), DelayMillis: random.IntN(100)}))
	default:
		faults := service.Faults{DelayMillis: random.IntN(500), LoseAnswers: random.IntN(2)}
		assert.Check(t, site.SetFaults(site.Services[random.IntN(len(site.Services))], faults))
	}
}

// awaitReady waits until every entry answers reads.
func (l *requestLoad) awaitReady(t *testing.T) {
	t.Helper()
	for _, c := range l.entries {
		eventually(t, 20*time.Second, func() error {
			_, err := c.Result(t.Context(), "no such key")
			if protocol.ProblemOf(err).Status == 404 {
				return nil
			}
			return err
		})
	}
}

// TestReceiptOutlivesItsEntry kills the entry that returned two receipts: one for
// a booking that is running, and one for a repeatable request that cannot run yet.
// Both requests must get a result.
func TestReceiptOutlivesItsEntry(t *testing.T) {
	t.Parallel()
	site, _ := startInProcess(t, bookingLayout())
	l := newRequestLoad(t, 0, site.Client)
	setServiceFaults(site, service.Faults{DelayMillis: 1000})
	l.accept(t, l.entries[0], "async", "s")
	awaitRun(t, site, "async")
	setServiceFaults(site, service.Faults{Down: true})
	l.accept(t, l.entries[0], "get-async", "")
	assert.NilError(t, site.Entries[0].Kill())
	setServiceFaults(site, service.Faults{})
	l.awaitResult(t, 1, "async")
	l.awaitResult(t, 2, "get-async")
	l.check(t, allRuns(site))
}

// TestReceiptOutlivesARefusal checks that the entry that returned a receipt retries
// after every attempt has failed.
func TestReceiptOutlivesARefusal(t *testing.T) {
	t.Parallel()
	site, _ := startInProcess(t, bookingLayout())
	l := newRequestLoad(t, 0, site.Client)
	setServiceFaults(site, service.Faults{Down: true})
	for i, e := range l.entries {
		l.accept(t, e, fmt.Sprintf("get-%d", i), "")
	}
	setServiceFaults(site, service.Faults{})
	for i := range l.entries {
		l.awaitResult(t, 0, fmt.Sprintf("get-%d", i))
	}
	l.check(t, allRuns(site))
}

// awaitRun waits until a booking service has run the request with the key.
func awaitRun(t *testing.T, site *demo.Site, key string) {
	t.Helper()
	eventually(t, 10*time.Second, func() error {
		if allRuns(site)[workspacePrefix+key] == 0 {
			return protocol.ErrNoResult.New("%s has not run", key)
		}
		return nil
	})
}

// accept requests a receipt: for a booking of the slot, or for a list of bookings
// if slot is empty.
func (l *requestLoad) accept(t *testing.T, c *client.Client, key, slot string) {
	t.Helper()
	method, body, in := "GET", []byte(nil), history.RequestInput{Key: key, Body: "list"}
	if slot != "" {
		method, body, in.Body = "POST", []byte(`{"slot":"`+slot+`"}`), slot
	}
	op := l.history.Invoke(0, in)
	a, err := c.Call(t.Context(), "booking", method, "/bookings", body, client.CallOptions{Key: key, Async: true})
	assert.NilError(t, err)
	assert.Equal(t, a.Status, 202)
	op.Return(history.RequestOutput{Answer: history.AnswerUnknown})
}

// awaitResult reads a key until its result is available.
func (l *requestLoad) awaitResult(t *testing.T, entry int, key string) history.RequestOutput {
	t.Helper()
	var out history.RequestOutput
	eventually(t, 30*time.Second, func() error {
		if out = l.read(t.Context(), 0, l.entries[entry], key); out.Answer != history.AnswerResult {
			return protocol.ErrNoResult.New("%v", out)
		}
		return nil
	})
	return out
}

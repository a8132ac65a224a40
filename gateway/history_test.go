package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/history"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	historySeeds   = 96
	historyClients = 4
	historyOps     = 24
	historyJobs    = 3
	historySolos   = 8
	historyItems   = 2
)

// cluster is a set of gateways, any of which may be replaced, with the recorded history of
// their callers' operations.
type cluster struct {
	t        *testing.T
	store    *fleetstore.Store
	recorder *history.Recorder

	mu       sync.Mutex
	gateways []*fixture
	// submittedSolos holds the IDs of solo jobs that have been submitted. A solo job is
	// submitted at most once.
	submittedSolos map[string]bool
}

// maySubmit reports whether the job may be submitted, and records a solo job as
// submitted.
func (c *cluster) maySubmit(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !strings.HasPrefix(id, "solo") {
		return true
	}
	again := c.submittedSolos[id]
	c.submittedSolos[id] = true
	return !again
}

// randomGateway returns one of the gateways at random.
func (c *cluster) randomGateway(rng *rand.Rand) *fixture {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateways[rng.IntN(len(c.gateways))]
}

// replace replaces a gateway by a new one, after the store has dropped its history, so
// that the new one reads only the newest record of each key.
func (c *cluster) replace(i int) {
	c.store.Compact(fleet.TopicWork)
	c.store.Compact(fleet.TopicTexts)
	fresh := startGateway(c.t, c.store)
	c.mu.Lock()
	old := c.gateways[i]
	c.gateways[i] = fresh
	c.mu.Unlock()
	old.stop()
}

// injectFaults replaces a gateway, or injects two faults in succession: a short one, and
// one that may hide the effect of the first.
func (c *cluster) injectFaults(rng *rand.Rand) {
	if rng.IntN(6) == 0 {
		c.replace(rng.IntN(len(c.gateways)))
		return
	}
	firstFaults := []fleetstore.Faults{
		{LoseAnswers: 3},
		{LoseAppends: 3},
		{LateAppends: 3, LateBy: time.Duration(rng.IntN(3000)) * time.Millisecond},
	}
	secondFaults := []fleetstore.Faults{
		{Down: true},
		{Delay: 300 * time.Millisecond},
		{Delay: 3 * time.Second},
	}
	short := firstFaults[rng.IntN(len(firstFaults))]
	short.Delay = time.Duration(rng.IntN(400)) * time.Millisecond
	c.store.SetFaults(short)
	time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	c.store.SetFaults(secondFaults[rng.IntN(len(secondFaults))])
	time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
	c.store.SetFaults(fleetstore.Faults{Delay: time.Millisecond})
}

// drawJob returns the ID of a job that all clients submit, or of a solo job that only
// this client submits, and once, so that no other submission hides the outcome of that
// one.
func (c *cluster) drawJob(client int, rng *rand.Rand) string {
	if rng.IntN(2) == 0 {
		return fmt.Sprint("job", rng.IntN(historyJobs))
	}
	return fmt.Sprintf("solo%d-%d", client, rng.IntN(historySolos))
}

// runOperation performs one random operation on a random job and records it.
func (c *cluster) runOperation(ctx context.Context, client int, rng *rand.Rand, w *worklog.Writer) {
	id := c.drawJob(client, rng)
	in := history.WorkInput{Job: id}
	out := history.WorkOutput{Outcome: history.WorkDone}
	var err error
	s := c.randomGateway(rng)
	switch draw := rng.IntN(10); {
	case draw < 4 && c.maySubmit(id):
		in.Op = history.WorkSubmit
		op := c.recorder.Invoke(client, in)
		err = s.submit(smallJob(id))
		c.finishOp(op, out, err)
	case draw < 6:
		in.Op = history.WorkFinish
		item := fmt.Sprint("i", rng.IntN(historyItems))
		text := fmt.Sprint("by", client, "-", rng.IntN(1000))
		in.Result = item + "=" + text
		op := c.recorder.Invoke(client, in)
		c.finishAppend(op, out, storeResult(ctx, c.store, w, id, item, text))
	case draw < 7:
		in.Op = history.WorkEnd
		op := c.recorder.Invoke(client, in)
		err = s.CancelJob(ctx, nil, id)
		c.finishOp(op, out, err)
	default:
		in.Op = history.WorkRead
		in.After = rng.IntN(historyItems + 1)
		op := c.recorder.Invoke(client, in)
		var page fleet.ResultPage
		page, err = s.Results(ctx, nil, id, in.After, time.Duration(rng.IntN(600))*time.Millisecond)
		out.Results = joined(page.Results)
		c.finishOp(op, out, err)
	}
}

// smallJob returns a job that takes only a small part of the route's quota.
func smallJob(id string) *fleet.Job {
	j := job(id, historyItems)
	for i := range j.Items {
		j.Items[i].Tokens = 1
	}
	return j
}

func joined(results []fleet.Result) string {
	var b strings.Builder
	for _, r := range results {
		b.WriteString(r.Item + "=" + r.Text + "\n")
	}
	return b.String()
}

// finishOp records the outcome of a call to a gateway. An operation with an uncertain
// outcome stays open. Other errors fail the test, also ErrStoreUnavailable, which only the
// store itself may return if nothing was done.
func (c *cluster) finishOp(op *history.Operation, out history.WorkOutput, err error) {
	switch {
	case err == nil:
		op.Return(out)
	case errorx.IsOfType(err, fleet.ErrRefused):
		op.Return(history.WorkOutput{Outcome: history.WorkRefused})
	case errorx.IsOfType(err, fleet.ErrUnknownJob):
		op.Return(history.WorkOutput{Outcome: history.WorkNotFound})
	case !errorx.IsOfType(err, fleet.ErrOutcomeUnknown):
		c.t.Errorf("an error of another type: %v", err)
	}
}

// finishAppend records the outcome of an append to the store. An operation with an
// uncertain outcome stays open.
func (c *cluster) finishAppend(op *history.Operation, out history.WorkOutput, err error) {
	switch {
	case err == nil:
		op.Return(out)
	case errorx.IsOfType(err, fleet.ErrStoreUnavailable):
		op.Return(history.WorkOutput{Outcome: history.WorkRefused})
	}
}

// TestConcurrentGateways lets callers submit, read and end the same jobs at three
// gateways concurrently, and batchers finish their items, while the store has faults of
// every kind and gateways are replaced. The history must be linearizable: equal to one
// that a single gateway without faults could have produced.
func TestConcurrentGateways(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var recorder *history.Recorder
			synctest.Test(t, func(t *testing.T) { recorder = runCluster(t, seed) })
			assert.NilError(t, history.Check(history.WorkModel(), recorder.Operations(history.WorkOutput{})))
		})
	}
}

func runCluster(t *testing.T, seed uint64) *history.Recorder {
	c := &cluster{t: t, store: newStore(t), recorder: history.NewRecorder(), submittedSolos: map[string]bool{}}
	for range 3 {
		c.gateways = append(c.gateways, startGateway(t, c.store))
	}
	var callers sync.WaitGroup
	for client := range historyClients {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(client)))
			w := worklog.NewWriter(fmt.Sprint("batcher-", client))
			for range historyOps {
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				c.runOperation(ctx, client, rng, w)
				cancel()
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	for range 8 {
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		c.injectFaults(rng)
	}
	callers.Wait()
	for _, s := range c.gateways {
		s.stop()
	}
	return c.recorder
}

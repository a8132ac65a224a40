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

// crowd is a number of gateways, of which any may be replaced, with the record of
// what their callers asked and got.
type crowd struct {
	t        *testing.T
	store    *fleetstore.Store
	recorder *history.Recorder

	mu    sync.Mutex
	sites []*site
	// solos holds the jobs that are submitted once and were.
	solos map[string]bool
}

// maySubmit reports whether the job may be submitted, and notes that it is.
func (c *crowd) maySubmit(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !strings.HasPrefix(id, "solo") {
		return true
	}
	again := c.solos[id]
	c.solos[id] = true
	return !again
}

func (c *crowd) any(rng *rand.Rand) *site {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sites[rng.IntN(len(c.sites))]
}

// replace starts a gateway anew, which reads the log from the newest records on.
func (c *crowd) replace(i int) {
	c.store.Forget(fleet.TopicWork)
	c.store.Forget(fleet.TopicTexts)
	fresh := startSite(c.t, c.store)
	c.mu.Lock()
	old := c.sites[i]
	c.sites[i] = fresh
	c.mu.Unlock()
	old.stop()
}

// disturb replaces a gateway or makes two failures, one right after the other: a
// short one, and one that may hide what the first has done.
func (c *crowd) disturb(rng *rand.Rand) {
	if rng.IntN(6) == 0 {
		c.replace(rng.IntN(len(c.sites)))
		return
	}
	first := []fleetstore.Faults{
		{LoseAnswers: 3},
		{LoseAppends: 3},
		{LateAppends: 3, LateBy: time.Duration(rng.IntN(3000)) * time.Millisecond},
	}
	second := []fleetstore.Faults{
		{Down: true},
		{Delay: 300 * time.Millisecond},
		{Delay: 3 * time.Second},
	}
	short := first[rng.IntN(len(first))]
	short.Delay = time.Duration(rng.IntN(400)) * time.Millisecond
	c.store.SetFaults(short)
	time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	c.store.SetFaults(second[rng.IntN(len(second))])
	time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
	c.store.SetFaults(fleetstore.Faults{Delay: time.Millisecond})
}

// draw returns a job that all callers submit, or one of the client's own, which it
// submits once: nothing then hides what became of that submission.
func (c *crowd) draw(client int, rng *rand.Rand) string {
	if rng.IntN(2) == 0 {
		return fmt.Sprint("job", rng.IntN(historyJobs))
	}
	return fmt.Sprintf("solo%d-%d", client, rng.IntN(historySolos))
}

// act makes one random operation on a random job and records it.
func (c *crowd) act(ctx context.Context, client int, rng *rand.Rand, w *worklog.Writer) {
	id := c.draw(client, rng)
	in := history.WorkInput{Job: id}
	out := history.WorkOutput{Verdict: history.WorkDone}
	var err error
	s := c.any(rng)
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
		c.stored(op, out, storeResult(ctx, c.store, w, id, item, text))
	case draw < 7:
		in.Op = history.WorkEnd
		op := c.recorder.Invoke(client, in)
		err = s.End(ctx, id)
		c.finishOp(op, out, err)
	default:
		in.Op = history.WorkRead
		in.After = rng.IntN(historyItems + 1)
		op := c.recorder.Invoke(client, in)
		var page fleet.ResultPage
		page, err = s.Results(ctx, id, in.After, time.Duration(rng.IntN(600))*time.Millisecond)
		out.Results = joined(page.Results)
		c.finishOp(op, out, err)
	}
}

// smallJob is a job of which many fit the route's quota.
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

// finishOp records the operation's end, but for one whose effect is open. The
// store itself says ErrUnavailable where nothing was done; a gateway must not.
func (c *crowd) finishOp(op *history.Operation, out history.WorkOutput, err error) {
	switch {
	case err == nil:
		op.Return(out)
	case errorx.IsOfType(err, fleet.ErrRefused):
		op.Return(history.WorkOutput{Verdict: history.WorkRefused})
	case errorx.IsOfType(err, fleet.ErrUnknownJob):
		op.Return(history.WorkOutput{Verdict: history.WorkUnknown})
	case !errorx.IsOfType(err, fleet.ErrUncertain):
		c.t.Errorf("an error of another type: %v", err)
	}
}

// stored records the end of an append.
func (c *crowd) stored(op *history.Operation, out history.WorkOutput, err error) {
	switch {
	case err == nil:
		op.Return(out)
	case errorx.IsOfType(err, fleet.ErrUnavailable):
		op.Return(history.WorkOutput{Verdict: history.WorkRefused})
	}
}

// TestConcurrentGateways lets callers submit, read and end the same jobs at three
// gateways at once, and batchers finish their items, while the store fails in all
// its ways and gateways are replaced: what they got is what one gateway without
// failures could have given.
func TestConcurrentGateways(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var recorder *history.Recorder
			synctest.Test(t, func(t *testing.T) { recorder = playCrowd(t, seed) })
			assert.NilError(t, history.Check(history.WorkModel(), recorder.Operations(history.WorkOutput{})))
		})
	}
}

func playCrowd(t *testing.T, seed uint64) *history.Recorder {
	c := &crowd{t: t, store: newStore(t), recorder: history.NewRecorder(), solos: map[string]bool{}}
	for range 3 {
		c.sites = append(c.sites, startSite(t, c.store))
	}
	var callers sync.WaitGroup
	for client := range historyClients {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(client)))
			w := worklog.NewWriter(fmt.Sprint("batcher-", client))
			for range historyOps {
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				c.act(ctx, client, rng, w)
				cancel()
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	for range 8 {
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		c.disturb(rng)
	}
	callers.Wait()
	for _, s := range c.sites {
		s.stop()
	}
	return c.recorder
}

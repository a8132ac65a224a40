package promises

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/history"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/engine"
	"github.com/sycamoretally/sycamoretally/timeline"
)

// submitJob submits a job of chat requests, each answered with the given number of
// tokens, and returns its ID.
func submitJob(t *testing.T, c *client.Client, name string, items, tokens int) string {
	t.Helper()
	var lines bytes.Buffer
	for i := range items {
		line := map[string]any{
			"custom_id": fmt.Sprintf("%s-%d", name, i), "method": "POST", "url": "/v1/chat/completions",
			"body": chatRequest(fmt.Sprintf("%s %d", name, i), tokens, false),
		}
		assert.NilError(t, json.NewEncoder(&lines).Encode(line))
	}
	file, err := c.Upload(t.Context(), lines.Bytes())
	assert.NilError(t, err)
	job, err := c.Submit(t.Context(), file, "24h", name)
	assert.NilError(t, err)
	return job.ID
}

// awaitEvent waits until any process has recorded an event with the name.
func awaitEvent(t *testing.T, c *client.Client, name string) {
	t.Helper()
	eventually(t, 10*time.Second, func() error {
		line, err := c.Timeline(t.Context(), protocol.EventsArgs{})
		if err != nil {
			return err
		}
		for _, e := range line.Events {
			if e.Name == name {
				return nil
			}
		}
		return protocol.ErrNotFound.New("no event %q", name)
	})
}

// burst sends n chat requests concurrently and checks each answer.
func burst(t *testing.T, c *client.Client, n, tokens int, name string) {
	t.Helper()
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			text := fmt.Sprintf("%s %d", name, i)
			a, err := c.Chat(t.Context(), chatRequest(text, tokens, i%2 == 0), client.CallOptions{}, nil)
			if err != nil {
				t.Errorf("%s: %v", text, err)
				return
			}
			if string(a.Body) != engine.Answer(text, tokens) {
				t.Errorf("%s: the answer differs from the expected one", text)
			}
		})
	}
	group.Wait()
}

// TestOnlineNeverBehindBatch sends bursts of online requests to targets full of
// batch items and replays the events of their slots: no online attempt may wait
// while batch work holds a slot without having been told to release it. The engines
// do not know priorities, so they must never have to queue a request.
func TestOnlineNeverBehindBatch(t *testing.T) {
	t.Parallel()
	const seed, slots, bursts = 3, 4, 8
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	site, c := startInProcess(t, demo.Layout{Entries: 2, Engines: 2, Slots: slots, Engine: engine.Params{
		Width: slots, TokenTime: 2 * time.Millisecond, CacheTokens: 4096, RestartTime: time.Second,
	}})
	submitJob(t, c, "nightly", 200, 40)
	awaitEvent(t, c, "item started")
	for i := range bursts {
		burst(t, c, 1+rng.IntN(3*slots), 1+rng.IntN(8), fmt.Sprintf("counter %d", i))
	}
	line, err := c.Timeline(t.Context(), protocol.EventsArgs{})
	assert.NilError(t, err)
	preempted, waited := 0, 0
	for _, e := range line.Events {
		switch e.Name {
		case timeline.BatchPreempted:
			preempted++
		case timeline.SlotWaiting:
			waited++
		}
	}
	t.Logf("%d events, %d waited, %d preempted", len(line.Events), waited, preempted)
	assert.Assert(t, preempted > 0, "no batch work was preempted, so the test has checked nothing")
	for i, target := range []string{"target-a", "target-b"} {
		assert.NilError(t, history.CheckPriority(line.Events, target, slots))
		assert.Equal(t, site.Engines[i].Queued(), 0, "the engine queued requests")
	}
}

// TestLostSlots lets an engine keep running requests after they were cancelled:
// their slots must stay taken, so that the engine never queues online work, and be
// freed once the engine has ended the requests.
func TestLostSlots(t *testing.T) {
	t.Parallel()
	const slots = 2
	site, c := startInProcess(t, demo.Layout{Entries: 1, Engines: 1, Slots: slots, Engine: engine.Params{
		Width: slots, TokenTime: 5 * time.Millisecond, CacheTokens: 4096, RestartTime: time.Second,
	}})
	site.Engines[0].SetFaults(engine.Faults{KeepsRunning: true})
	submitJob(t, c, "nightly", 2, 400)
	awaitEvent(t, c, "item started")
	burst(t, c, 1, 2, "counter")
	awaitEvent(t, c, timeline.SlotLost)
	site.Engines[0].SetFaults(engine.Faults{})
	eventually(t, 10*time.Second, func() error {
		line, err := c.Timeline(t.Context(), protocol.EventsArgs{})
		if err != nil {
			return err
		}
		lost := map[string]bool{}
		for _, e := range line.Events {
			switch e.Name {
			case timeline.SlotLost:
				lost[e.Fields["attempt"]] = true
			case timeline.SlotFreed:
				delete(lost, e.Fields["attempt"])
			}
		}
		if len(lost) > 0 {
			return protocol.ErrBusy.New("%d slots are still lost", len(lost))
		}
		return history.CheckPriority(line.Events, "target-a", slots)
	})
	burst(t, c, 2*slots, 2, "after")
	assert.Equal(t, site.Engines[0].Queued(), 0, "the engine queued requests")
}

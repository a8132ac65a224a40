package promises

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/history"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
	"github.com/sycamoretally/sycamoretally/standin/service"
)

// chatRecorder sends chat requests and records their answers. Its method chat may be
// called concurrently.
type chatRecorder struct {
	client *client.Client

	mu      sync.Mutex
	answers []history.Answer // guarded by mu while requests run
}

// chat sends one request under its own key, reads the retained answer, and records
// both.
func (a *chatRecorder) chat(t *testing.T, text string, tokens int, stream bool) {
	key := strings.ReplaceAll(text, " ", "-")
	var got strings.Builder
	answer, err := a.client.Chat(t.Context(), chatRequest(text, tokens, stream), client.CallOptions{Key: key}, func(token string) { got.WriteString(token) })
	record := history.Answer{Request: text, Want: engine.Answer(text, tokens), Got: got.String(), Err: err}
	if err == nil {
		record.Got = string(answer.Body)
		if answer.Retained {
			record.Retained = a.readRetained(t, key)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers = append(a.answers, record)
}

// readRetained returns the answer that is retained under the key, or the error as text.
func (a *chatRecorder) readRetained(t *testing.T, key string) string {
	result, err := a.client.Result(t.Context(), key)
	if err != nil {
		return err.Error()
	}
	var completion protocol.ChatChunk
	if err := json.Unmarshal(result.Body, &completion); err != nil {
		return err.Error()
	}
	return completion.Choices[0].Message.Content
}

// logFailures logs the requests that failed.
func (a *chatRecorder) logFailures(t *testing.T) {
	for _, answer := range a.answers {
		if answer.Err != nil {
			t.Logf("%s: %v", answer.Request, answer.Err)
		}
	}
}

func (a *chatRecorder) failed() int {
	failed := 0
	for _, answer := range a.answers {
		if answer.Err != nil {
			failed++
		}
	}
	return failed
}

// TestWholeAnswersFromBrokenEngines makes engines cut off and stall streams at random
// positions, including between the last token and the end marker.
func TestWholeAnswersFromBrokenEngines(t *testing.T) {
	t.Parallel()
	const seed, callers, rounds = 5, 8, 6
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	site, c := startInProcess(t, demo.Layout{Entries: 1, Engines: 3, Slots: 8, Engine: engine.Params{
		Width: 8, TokenTime: time.Millisecond, CacheTokens: 4096, RestartTime: 200 * time.Millisecond,
	}})
	a := &chatRecorder{client: c}
	for round := range rounds {
		for _, e := range site.Engines {
			f := engine.Faults{CutAfter: rng.IntN(10), Cuts: rng.IntN(3), OmittedEndMarkers: rng.IntN(3)}
			if round == 0 {
				f.Stalls = 1
			}
			e.SetFaults(f)
		}
		var group sync.WaitGroup
		for i := range callers {
			tokens := 1 + rng.IntN(12)
			group.Go(func() { a.chat(t, fmt.Sprintf("broken %d %d", round, i), tokens, i%2 == 0) })
		}
		if round%2 == 1 {
			site.Engines[rng.IntN(len(site.Engines))].Crash()
		}
		group.Wait()
	}
	t.Logf("%d answers, %d failed", len(a.answers), a.failed())
	assert.NilError(t, history.CheckAnswers(a.answers))
	assert.Assert(t, a.failed() < len(a.answers)/2, "most requests failed, so the test has checked little")
}

// TestWholeAnswersWhenSidecarsDie kills sidecars while streams run; the rest of each
// answer must come from another target.
func TestWholeAnswersWhenSidecarsDie(t *testing.T) {
	t.Parallel()
	site, c := startProcesses(t, processtest.Layout{Entries: 1, Engines: 3, Slots: 16, Engine: settings.StandInEngine{
		Width: 16, TokenTime: settings.Duration(20 * time.Millisecond),
	}})
	a := &chatRecorder{client: c}
	for round := range 2 {
		var group sync.WaitGroup
		for i := range 12 {
			group.Go(func() { a.chat(t, fmt.Sprintf("killed %d %d", round, i), 40, true) })
		}
		<-time.After(300 * time.Millisecond)
		assert.NilError(t, site.Sidecars[round].Kill())
		group.Wait()
		assert.NilError(t, site.Sidecars[round].Start())
	}
	t.Logf("%d answers, %d failed", len(a.answers), a.failed())
	assert.NilError(t, history.CheckAnswers(a.answers))
	assert.Equal(t, a.failed(), 0)
}

// TestLongAnswersResume resumes an answer after far more text than fits into a header.
func TestLongAnswersResume(t *testing.T) {
	t.Parallel()
	const size, tokens = 300 << 10, 6
	site, c := startInProcess(t, demo.Layout{Entries: 1, Engines: 2, Slots: 2, Engine: engine.Params{Width: 2, RestartTime: time.Second}})
	for _, e := range site.Engines {
		e.SetFaults(engine.Faults{TokenBytes: size, OmittedEndMarkers: 1})
	}
	got := 0
	_, err := c.Chat(t.Context(), chatRequest("long", tokens, true), client.CallOptions{}, func(token string) { got += len(token) })
	if err != nil {
		logTimeline(t, c)
	}
	assert.NilError(t, err)
	assert.Equal(t, got, tokens*size)
}

// logTimeline writes the events of all processes to the log of the test.
func logTimeline(t *testing.T, c *client.Client) {
	t.Helper()
	line, err := c.Timeline(t.Context(), protocol.EventsArgs{})
	assert.Check(t, err)
	for _, e := range line.Events {
		t.Logf("%+v", e)
	}
}

// TestSlowCaller lets one caller stop reading its stream for longer than the
// heartbeat timeout. Meanwhile the engine must complete the request and its slot
// must be free for other callers; the slow caller must still get its complete
// answer later.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	const size, tokens = 1 << 20, 24
	site, c := startInProcess(t, demo.Layout{Entries: 1, Engines: 1, Slots: 1, Engine: engine.Params{Width: 1, RestartTime: time.Second}})
	site.Engines[0].SetFaults(engine.Faults{TokenBytes: size})
	body, err := json.Marshal(chatRequest("slow", tokens, true))
	assert.NilError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, site.Client.Entries[0]+"/v1/chat/completions", bytes.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	req.Header.Set("Idempotency-Key", "slow")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	<-time.After(2 * protocol.HeartbeatTimeout)
	eventually(t, 30*time.Second, func() error {
		if runs := site.Engines[0].Runs(); len(runs) != 1 || runs[0].Ended != "done" {
			return protocol.ErrBusy.New("the engine still runs the request: %+v", runs)
		}
		return nil
	})
	site.Engines[0].SetFaults(engine.Faults{})
	burst(t, c, 2, 3, "meanwhile")
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 4*size)
	got, last := 0, ""
	for lines.Scan() {
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			last = data
			var chunk protocol.ChatChunk
			if json.Unmarshal([]byte(data), &chunk) == nil && chunk.Choices[0].Delta != nil {
				got += len(chunk.Choices[0].Delta.Content)
			}
		}
	}
	assert.Equal(t, last, protocol.ChatDone)
	assert.Equal(t, got, tokens*size)
}

// TestCutServiceAnswers makes a plain service truncate the answer of a booking: the
// caller must get an error with the outcome unknown, and the booking must not run
// again.
func TestCutServiceAnswers(t *testing.T) {
	t.Parallel()
	site, c := startInProcess(t, demo.Layout{Entries: 1, Services: 1, Slots: 2})
	site.Services[0].SetFaults(service.Faults{CutAnswers: 1})
	_, err := c.Call(t.Context(), "booking", http.MethodPost, "/bookings", []byte(`{"slot":"7"}`), client.CallOptions{Key: "cut"})
	assert.Equal(t, protocol.OutcomeOf(err), protocol.OutcomeUnknown, "%v", err)
	assert.Equal(t, site.Services[0].Runs()["demo/cut"], 1)
}

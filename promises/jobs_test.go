package promises

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/history"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
)

// testJob describes a job and its expected results.
type testJob struct {
	name   string
	items  int
	tokens int
	// refused holds the items that the engine refuses permanently.
	refused map[int]bool
	// crashing holds the items that crash every engine on which they run.
	crashing map[int]bool
	// long holds the items with an answer of longTokens tokens.
	long map[int]bool
}

const longTokens = 300

func (j *testJob) prompt(i int) string {
	if j.crashing[i] {
		return fmt.Sprintf("%s %d %s", j.name, i, engine.MarkerCrash)
	}
	if j.refused[i] {
		return fmt.Sprintf("%s %d %s", j.name, i, engine.MarkerImpossible)
	}
	return fmt.Sprintf("%s %d", j.name, i)
}

func (j *testJob) alwaysFails(i int) bool { return j.refused[i] || j.crashing[i] }

func (j *testJob) length(i int) int {
	if j.long[i] {
		return longTokens
	}
	return j.tokens
}

func (j *testJob) file(t *testing.T) []byte {
	t.Helper()
	var file bytes.Buffer
	for i := range j.items {
		body, err := json.Marshal(chatRequest(j.prompt(i), j.length(i), false))
		assert.NilError(t, err)
		line, err := json.Marshal(map[string]any{"custom_id": fmt.Sprintf("item-%d", i), "body": json.RawMessage(body)})
		assert.NilError(t, err)
		file.Write(append(line, '\n'))
	}
	return file.Bytes()
}

// checkResults checks results in JSON Lines: each is the answer to its own item,
// no item has two, and with complete set every item has one.
func (j *testJob) checkResults(data []byte, complete bool) error {
	index := 0
	for _, text := range bytes.Split(bytes.TrimSpace(data), []byte("\n")) {
		if len(text) == 0 {
			continue
		}
		var line entry.ResultLine
		if err := json.Unmarshal(text, &line); err != nil {
			return history.ErrHistory.Wrap(err, "result %q", text)
		}
		for index < j.items && line.CustomID != fmt.Sprintf("item-%d", index) {
			if complete {
				return history.ErrHistory.New("item %d has no result", index)
			}
			index++
		}
		if err := j.checkResult(index, &line); err != nil {
			return err
		}
		index++
	}
	if complete && index != j.items {
		return history.ErrHistory.New("%d results for %d items", index, j.items)
	}
	return nil
}

func (j *testJob) checkResult(index int, line *entry.ResultLine) error {
	want := engine.Answer(j.prompt(index), j.length(index))
	switch {
	case index >= j.items:
		return history.ErrHistory.New("duplicate result, or result of an unknown item: %s", line.CustomID)
	case j.alwaysFails(index) != (line.Outcome == protocol.OutcomeFailed):
		return history.ErrHistory.New("item %d has the unexpected outcome %s: %s", index, line.Outcome, line.Text)
	case !j.alwaysFails(index) && line.Text != want:
		return history.ErrHistory.New("item %d has the answer %q, want %q", index, line.Text, want)
	}
	return nil
}

// clientOf returns a client that uses entry i only.
func clientOf(t *testing.T, s settings.Client, i int) *client.Client {
	t.Helper()
	s.Entries = []string{s.Entries[i]}
	c := client.New(s)
	t.Cleanup(c.Close)
	return c
}

// jobCallers submits, reads and cancels one job through all entries and records
// the operations.
type jobCallers struct {
	recorder *history.Recorder
	clients  []*client.Client
	file     []byte
	key      string
}

func newJobCallers(t *testing.T, s settings.Client, key string, file []byte) *jobCallers {
	j := &jobCallers{recorder: history.NewRecorder(), file: file, key: key}
	for i := range s.Entries {
		j.clients = append(j.clients, clientOf(t, s, i))
	}
	return j
}

// callLimit is the timeout of one call; the entry may be suspended.
const callLimit = 3 * time.Second

// do runs one operation through entry i and records it. The answer's ID is empty if
// the operation failed.
func (j *jobCallers) do(ctx context.Context, caller, i int, op history.JobOp, id string) (entry.JobResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	record := j.recorder.Invoke(caller, history.JobInput{Key: j.key, Op: op})
	a, err := j.call(ctx, j.clients[i], op, id)
	if err == nil {
		record.Return(history.JobOutput{ID: a.ID, Status: a.Status, Done: a.Counts.Completed + a.Counts.Failed})
	}
	return a, err
}

func (j *jobCallers) call(ctx context.Context, c *client.Client, op history.JobOp, id string) (entry.JobResponse, error) {
	switch op {
	case history.JobCancel:
		return c.CancelJob(ctx, id)
	case history.JobRead:
		return c.Job(ctx, id)
	}
	file, err := c.Upload(ctx, j.file)
	if err != nil {
		return entry.JobResponse{}, err
	}
	return c.Submit(ctx, file, "1h", j.key)
}

// submit resends the submission to random entries until one accepts it.
func (j *jobCallers) submit(t *testing.T, rng *rand.Rand) entry.JobResponse {
	t.Helper()
	var a entry.JobResponse
	eventually(t, recoveryLimit, func() error {
		var err error
		a, err = j.do(t.Context(), 0, rng.IntN(len(j.clients)), history.JobSubmit, "")
		return err
	})
	return a
}

// keepCalling resends the submission and reads the job at random until ctx ends.
func (j *jobCallers) keepCalling(ctx context.Context, caller int, rng *rand.Rand, id string) {
	const interval = 100 * time.Millisecond
	for ctx.Err() == nil {
		op := history.JobRead
		if rng.IntN(3) == 0 {
			op = history.JobSubmit
		}
		_, _ = j.do(ctx, caller, rng.IntN(len(j.clients)), op, id)
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// recoveryLimit is the time after the last fault in which a job must end.
const recoveryLimit = 60 * time.Second

// awaitFinal waits until every entry reports the job as ended.
func (j *jobCallers) awaitFinal(t *testing.T, id string) entry.JobResponse {
	t.Helper()
	var a entry.JobResponse
	for i := range j.clients {
		eventually(t, recoveryLimit, func() error {
			var err error
			if a, err = j.do(t.Context(), 0, i, history.JobRead, id); err != nil {
				return err
			}
			if a.Status == "running" {
				return history.ErrHistory.New("the job is still running: %+v", a.Counts)
			}
			return nil
		})
	}
	return a
}

// checkResultsAtAllEntries reads the results through every entry, twice, and checks
// that they are correct and identical.
func (j *jobCallers) checkResultsAtAllEntries(t *testing.T, id string, job *testJob, complete bool) {
	t.Helper()
	var first []byte
	for i := range 2 * len(j.clients) {
		var out bytes.Buffer
		assert.NilError(t, j.clients[i%len(j.clients)].Results(t.Context(), id, &out))
		assert.NilError(t, job.checkResults(out.Bytes(), complete))
		if i == 0 {
			first = bytes.Clone(out.Bytes())
		}
		assert.Assert(t, bytes.Equal(first, out.Bytes()), "two reads of the results differ")
	}
}

// check checks the recorded history against the model of a job.
func (j *jobCallers) check(t *testing.T) {
	t.Helper()
	assert.NilError(t, history.Check(history.JobModel(), j.recorder.Operations(history.JobOutput{})))
}

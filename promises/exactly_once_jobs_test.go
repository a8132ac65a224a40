package promises

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/history"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
)

// jobItems is a job whose right results are known.
type jobItems struct {
	name   string
	items  int
	tokens int
	// refused holds the items that the engine refuses for good.
	refused map[int]bool
	// crashing holds the items that crash every engine that runs them.
	crashing map[int]bool
	// long holds the items that run longTokens.
	long map[int]bool
}

const longTokens = 300

func (j *jobItems) prompt(i int) string {
	if j.crashing[i] {
		return fmt.Sprintf("%s %d %s", j.name, i, engine.MarkerCrash)
	}
	if j.refused[i] {
		return fmt.Sprintf("%s %d %s", j.name, i, engine.MarkerImpossible)
	}
	return fmt.Sprintf("%s %d", j.name, i)
}

func (j *jobItems) neverDone(i int) bool { return j.refused[i] || j.crashing[i] }

func (j *jobItems) length(i int) int {
	if j.long[i] {
		return longTokens
	}
	return j.tokens
}

func (j *jobItems) file(t *testing.T) []byte {
	t.Helper()
	var file bytes.Buffer
	for i := range j.items {
		body, err := json.Marshal(question(j.prompt(i), j.length(i), false))
		assert.NilError(t, err)
		line, err := json.Marshal(map[string]any{"custom_id": fmt.Sprintf("item-%d", i), "body": json.RawMessage(body)})
		assert.NilError(t, err)
		file.Write(append(line, '\n'))
	}
	return file.Bytes()
}

// checkResults checks results in JSON Lines: each the answer to its own item,
// none twice, and all of them where whole is set.
func (j *jobItems) checkResults(data []byte, whole bool) error {
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
			if whole {
				return history.ErrHistory.New("no result of item %d", index)
			}
			index++
		}
		if err := j.checkResult(index, &line); err != nil {
			return err
		}
		index++
	}
	if whole && index != j.items {
		return history.ErrHistory.New("%d results of %d items", index, j.items)
	}
	return nil
}

func (j *jobItems) checkResult(index int, line *entry.ResultLine) error {
	want := engine.Answer(j.prompt(index), j.length(index))
	switch {
	case index >= j.items:
		return history.ErrHistory.New("a second result, or one of no item: %s", line.CustomID)
	case j.neverDone(index) != (line.Outcome == protocol.OutcomeFailed):
		return history.ErrHistory.New("item %d has the outcome %s: %s", index, line.Outcome, line.Text)
	case !j.neverDone(index) && line.Text != want:
		return history.ErrHistory.New("item %d has the answer %q, not %q", index, line.Text, want)
	}
	return nil
}

// clientOf returns a client that speaks to one entry only.
func clientOf(t *testing.T, s settings.Client, i int) *client.Client {
	t.Helper()
	s.Entries = []string{s.Entries[i]}
	c := client.New(s)
	t.Cleanup(c.Close)
	return c
}

// jobCallers submit, read and cancel one job through all entries and record it.
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

// callLimit bounds one call of a caller; the entry may be stopped.
const callLimit = 3 * time.Second

// do runs one operation through entry i. The answer's ID is empty where it failed.
func (j *jobCallers) do(ctx context.Context, caller, i int, op history.JobOp, id string) (entry.JobAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	record := j.recorder.Invoke(caller, history.JobInput{Key: j.key, Op: op})
	a, err := j.call(ctx, j.clients[i], op, id)
	if err == nil {
		record.Return(history.JobOutput{ID: a.ID, Status: a.Status, Done: a.Counts.Completed + a.Counts.Failed})
	}
	return a, err
}

func (j *jobCallers) call(ctx context.Context, c *client.Client, op history.JobOp, id string) (entry.JobAnswer, error) {
	switch op {
	case history.JobCancel:
		return c.CancelJob(ctx, id)
	case history.JobRead:
		return c.Job(ctx, id)
	}
	file, err := c.Upload(ctx, j.file)
	if err != nil {
		return entry.JobAnswer{}, err
	}
	return c.Submit(ctx, file, "1h", j.key)
}

// submit resends the submission to random entries until one answers.
func (j *jobCallers) submit(t *testing.T, rng *rand.Rand) entry.JobAnswer {
	t.Helper()
	var a entry.JobAnswer
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

// recoveryLimit bounds the time in which a job must end after its last fault.
const recoveryLimit = 60 * time.Second

// awaitFinal waits until every entry says that the job is final.
func (j *jobCallers) awaitFinal(t *testing.T, id string) entry.JobAnswer {
	t.Helper()
	var a entry.JobAnswer
	for i := range j.clients {
		eventually(t, recoveryLimit, func() error {
			var err error
			if a, err = j.do(t.Context(), 0, i, history.JobRead, id); err != nil {
				return err
			}
			if a.Status == "running" {
				return history.ErrHistory.New("job %+v", a.Counts)
			}
			return nil
		})
	}
	return a
}

// checkAtAll reads the results through every entry, twice, and checks that they
// are right and the same.
func (j *jobCallers) checkAtAll(t *testing.T, id string, job *jobItems, whole bool) {
	t.Helper()
	var first []byte
	for i := range 2 * len(j.clients) {
		var out bytes.Buffer
		assert.NilError(t, j.clients[i%len(j.clients)].Results(t.Context(), id, &out))
		assert.NilError(t, job.checkResults(out.Bytes(), whole))
		if i == 0 {
			first = bytes.Clone(out.Bytes())
		}
		assert.Assert(t, bytes.Equal(first, out.Bytes()), "two reads of the results differ")
	}
}

// check checks the recorded history.
func (j *jobCallers) check(t *testing.T) {
	t.Helper()
	assert.NilError(t, history.Check(history.JobModel(), j.recorder.Operations(history.JobOutput{})))
}

// jobFault disturbs a site while a job runs, and ends its own disturbance.
type jobFault struct {
	name string
	do   func(t *testing.T, site *processtest.Site, rng *rand.Rand)
}

// pastLeases is longer than an item's lease.
const pastLeases = 11 * time.Second

func restart(t *testing.T, p *processtest.Process) {
	t.Helper()
	assert.NilError(t, p.Kill())
	assert.NilError(t, p.Start())
}

func stopFor(t *testing.T, p *processtest.Process, d time.Duration) {
	t.Helper()
	assert.NilError(t, p.Signal(syscall.SIGSTOP))
	<-time.After(d)
	assert.NilError(t, p.Signal(syscall.SIGCONT))
}

func jobFaults() []jobFault {
	return []jobFault{
		{"entries killed", func(t *testing.T, s *processtest.Site, _ *rand.Rand) {
			for _, p := range s.Entries {
				restart(t, p)
				<-time.After(time.Second)
			}
		}},
		{"sidecars killed", func(t *testing.T, s *processtest.Site, _ *rand.Rand) {
			for _, p := range s.Sidecars {
				restart(t, p)
				<-time.After(500 * time.Millisecond)
			}
		}},
		{"engines killed", func(t *testing.T, s *processtest.Site, _ *rand.Rand) {
			for _, p := range s.Engines {
				assert.NilError(t, p.Kill())
				<-time.After(time.Second)
				assert.NilError(t, p.Start())
				<-time.After(time.Second)
			}
		}},
		{"entry stopped past the leases", func(t *testing.T, s *processtest.Site, rng *rand.Rand) {
			stopFor(t, s.Entries[rng.IntN(len(s.Entries))], pastLeases)
		}},
		{"sidecar stopped past the leases", func(t *testing.T, s *processtest.Site, rng *rand.Rand) {
			stopFor(t, s.Sidecars[rng.IntN(len(s.Sidecars))], pastLeases)
		}},
		{"log outage", func(t *testing.T, s *processtest.Site, _ *rand.Rand) {
			assert.NilError(t, s.SetFaults(s.Log, logservice.Faults{Outage: true}))
			<-time.After(4 * time.Second)
			assert.NilError(t, s.SetFaults(s.Log, logservice.Faults{}))
		}},
		{"append answers lost", func(t *testing.T, s *processtest.Site, _ *rand.Rand) {
			assert.NilError(t, s.SetFaults(s.Log, logservice.Faults{LoseAnswers: 5}))
		}},
	}
}

// TestJobsExactlyOnce runs a job through each fault, with callers that resend
// and read it all the time.
func TestJobsExactlyOnce(t *testing.T) {
	for i, fault := range jobFaults() {
		seed := uint64(i + 1)
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d", seed)
			runJobUnder(t, seed, fault)
		})
	}
	t.Run("two faults", func(t *testing.T) {
		t.Parallel()
		const seed = 21
		t.Logf("seed %d", seed)
		faults := jobFaults()
		rng := rand.New(rand.NewPCG(seed, 1))
		first, second := faults[rng.IntN(len(faults))], faults[rng.IntN(len(faults))]
		t.Logf("%s and %s", first.name, second.name)
		runJobUnder(t, seed, first, second)
	})
}

func runJobUnder(t *testing.T, seed uint64, faults ...jobFault) {
	site, _ := startProcesses(t, processtest.Layout{
		Entries: 2, Engines: 2, Slots: 4,
		Engine: settings.StandInEngine{Width: 4, TokenTime: settings.Duration(10 * time.Millisecond), RestartTime: settings.Duration(time.Second)},
	})
	rng := rand.New(rand.NewPCG(seed, 0))
	job := &jobItems{name: "review", items: 300, tokens: 20, refused: map[int]bool{5: true, 150: true}, long: map[int]bool{3: true, 190: true}}
	callers := newJobCallers(t, site.Client, "nightly", job.file(t))
	a := callers.submit(t, rng)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for caller := 1; caller <= 2; caller++ {
		group.Go(func() { callers.keepCalling(ctx, caller, rand.New(rand.NewPCG(seed, uint64(caller))), a.ID) })
	}
	for _, fault := range faults {
		fault.do(t, site, rng)
	}
	final := callers.awaitFinal(t, a.ID)
	cancel()
	group.Wait()
	assert.Equal(t, final.Status, "completed")
	assert.Equal(t, final.Counts, entry.JobCounts{Total: job.items, Completed: job.items - 2, Failed: 2})
	callers.checkAtAll(t, a.ID, job, true)
	callers.check(t)
}

// TestJobResultChecksFindFaults hands the counting check one forged fault each.
func TestJobResultChecksFindFaults(t *testing.T) {
	job := &jobItems{name: "review", items: 2, tokens: 3}
	line := func(id string, text string) string {
		data, err := json.Marshal(entry.ResultLine{CustomID: id, Outcome: protocol.OutcomeCompleted, Status: 200, Text: text})
		assert.NilError(t, err)
		return string(data) + "\n"
	}
	first, second := line("item-0", engine.Answer("review 0", 3)), line("item-1", engine.Answer("review 1", 3))
	assert.NilError(t, job.checkResults([]byte(first+second), true))
	for name, data := range map[string]string{
		"a result missing":       first,
		"a result twice":         first + first + second,
		"another item's answer":  first + line("item-1", engine.Answer("review 0", 3)),
		"a truncated answer":     first + line("item-1", engine.Answer("review 1", 2)),
		"a result of no item":    first + second + line("item-2", "x"),
		"a failed feasible item": first + `{"custom_id":"item-1","outcome":"failed","status":502,"text":"x"}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, job.checkResults([]byte(data), true) != nil, "the forged fault was not found")
		})
	}
}

// TestCrashingItemsFailAlone runs a job with items that crash every engine that
// runs them: they get failed results after a bounded number of crashes, and the
// items beside them complete.
func TestCrashingItemsFailAlone(t *testing.T) {
	const seed, attempts = 1, 3
	t.Logf("seed %d", seed)
	site, _ := startProcesses(t, processtest.Layout{
		Entries: 2, Engines: 2, Slots: 4,
		Engine: settings.StandInEngine{Width: 4, TokenTime: settings.Duration(5 * time.Millisecond), RestartTime: settings.Duration(500 * time.Millisecond)},
	})
	job := &jobItems{name: "estate", items: 60, tokens: 20, crashing: map[int]bool{7: true, 33: true}}
	callers := newJobCallers(t, site.Client, "crash", job.file(t))
	a := callers.submit(t, rand.New(rand.NewPCG(seed, 0)))
	final := callers.awaitFinal(t, a.ID)
	assert.Equal(t, final.Counts, entry.JobCounts{Total: 60, Completed: 58, Failed: 2})
	callers.checkAtAll(t, a.ID, job, true)
	callers.check(t)
	runs, err := processRuns(site)
	assert.NilError(t, err)
	crashes := map[string]int{}
	for _, run := range runs {
		if strings.Contains(run.Prompt, engine.MarkerCrash) {
			crashes[run.Prompt]++
		}
	}
	assert.Equal(t, len(crashes), 2)
	for prompt, n := range crashes {
		assert.Assert(t, n <= attempts, "%q crashed %d engines", prompt, n)
	}
}

// TestLeavingSidecarReturnsItsItems stops a sidecar gracefully in the middle of a
// job: every item that its engine ran whole has its result from that run, and
// none is run again.
func TestLeavingSidecarReturnsItsItems(t *testing.T) {
	const seed = 1
	t.Logf("seed %d", seed)
	site, _ := startProcesses(t, processtest.Layout{
		Entries: 2, Engines: 2, Slots: 4,
		Engine: settings.StandInEngine{Width: 4, TokenTime: settings.Duration(10 * time.Millisecond)},
	})
	job := &jobItems{name: "leaving", items: 80, tokens: 20}
	callers := newJobCallers(t, site.Client, "leaving", job.file(t))
	a := callers.submit(t, rand.New(rand.NewPCG(seed, 0)))
	callers.awaitItems(t, a.ID)
	assert.NilError(t, site.Sidecars[0].Signal(syscall.SIGTERM))
	code, err := site.Sidecars[0].Wait(recoveryLimit)
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	callers.awaitFinal(t, a.ID)
	callers.checkAtAll(t, a.ID, job, true)
	callers.check(t)
	runs, err := processRuns(site)
	assert.NilError(t, err)
	assert.Equal(t, len(runs), job.items, "an item was run again")
}

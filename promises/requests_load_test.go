package promises

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/history"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/service"
)

// workspacePrefix is the workspace prefix that entries add to the keys of the tests' caller.
const workspacePrefix = "demo/"

// meanPauseMillis is the mean time between two operations of a caller.
const meanPauseMillis = 80

// requestLoad is a set of callers that send and read keyed requests through random
// entries, sometimes time out early, and resend.
type requestLoad struct {
	seed    uint64
	callers int
	// calls is the number of operations of each caller, and keys the number of keys.
	calls int
	keys  int
	// callTimeout is the timeout of one call.
	callTimeout time.Duration

	history *history.Recorder
	entries []*client.Client
}

// newRequestLoad returns a load on the site with one client for each entry.
func newRequestLoad(t *testing.T, seed uint64, site settings.Client) *requestLoad {
	t.Logf("seed %d", seed)
	l := &requestLoad{seed: seed, callers: 6, calls: 30, keys: 40, callTimeout: 4 * time.Second, history: history.NewRecorder()}
	for _, url := range site.Entries {
		one := site
		one.Entries = []string{url}
		c := client.New(one)
		t.Cleanup(c.Close)
		l.entries = append(l.entries, c)
	}
	return l
}

// run runs the callers and the faults concurrently; it returns once all callers are
// done and the faults have stopped.
func (l *requestLoad) run(ctx context.Context, faults func(ctx context.Context, random *rand.Rand)) {
	var callers, disturbance sync.WaitGroup
	faultCtx, stop := context.WithCancel(ctx)
	disturbance.Go(func() { faults(faultCtx, rand.New(rand.NewPCG(l.seed, 0))) })
	for i := range l.callers {
		callers.Go(func() { l.caller(ctx, i, rand.New(rand.NewPCG(l.seed, uint64(i+1)))) })
	}
	callers.Wait()
	stop()
	disturbance.Wait()
}

func (l *requestLoad) caller(ctx context.Context, id int, random *rand.Rand) {
	for range l.calls {
		wait(ctx, time.Duration(random.IntN(2*meanPauseMillis))*time.Millisecond)
		key := fmt.Sprintf("k%d", random.IntN(l.keys))
		entry := l.entries[random.IntN(len(l.entries))]
		timeout := l.callTimeout
		if random.IntN(4) == 0 {
			timeout = time.Duration(1+random.IntN(60)) * time.Millisecond
		}
		switch n := random.IntN(10); {
		case n < 2:
			l.read(ctx, id, entry, key)
		case n < 4:
			l.repeatable(ctx, id, entry, "get-"+key, timeout)
		case n < 5:
			l.book(ctx, id, entry, key, "other-"+key, timeout)
		default:
			l.book(ctx, id, entry, key, "slot-"+key, timeout)
		}
	}
}

// book books the slot under the key and records the answer.
func (l *requestLoad) book(ctx context.Context, id int, c *client.Client, key, slot string, timeout time.Duration) history.RequestOutput {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	op := l.history.Invoke(id, history.RequestInput{Key: key, Body: slot})
	a, err := c.Call(ctx, "booking", http.MethodPost, "/bookings", []byte(`{"slot":"`+slot+`"}`), client.CallOptions{Key: key})
	out := history.RequestOutput{Answer: history.RequestAnswerOf(err)}
	if err == nil {
		out.Result, out.Body, out.Unretained = string(a.Body), slotOf(a.Body), !a.Retained
	}
	op.Return(out)
	return out
}

// slotOf returns the slot of a booking, which identifies the call that it answers.
func slotOf(body []byte) string {
	var b service.Booking
	_ = json.Unmarshal(body, &b)
	return b.Slot
}

// repeatable requests the list of bookings, which differs after every new booking,
// and records the answer.
func (l *requestLoad) repeatable(ctx context.Context, id int, c *client.Client, key string, timeout time.Duration) history.RequestOutput {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	op := l.history.Invoke(id, history.RequestInput{Key: key, Body: "list"})
	a, err := c.Call(ctx, "booking", http.MethodGet, "/bookings", nil, client.CallOptions{Key: key})
	out := history.RequestOutput{Answer: history.RequestAnswerOf(err)}
	if err == nil {
		out.Result, out.Body, out.Unretained = string(a.Body), "list", !a.Retained
	}
	op.Return(out)
	return out
}

// read reads the result of a key and records the answer.
func (l *requestLoad) read(ctx context.Context, id int, c *client.Client, key string) history.RequestOutput {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout)
	defer cancel()
	op := l.history.Invoke(id, history.RequestInput{Key: key, Read: true})
	a, err := c.Result(ctx, key)
	out := history.RequestOutput{Answer: history.AnswerError}
	switch {
	case err == nil && a.Status == http.StatusAccepted:
		out.Answer = history.AnswerNone
	case err == nil:
		out = history.RequestOutput{Answer: history.AnswerResult, Result: string(a.Body), Body: slotOf(a.Body)}
		if strings.HasPrefix(key, "get-") {
			out.Body = "list"
		}
	case protocol.ProblemOf(err).Status == http.StatusNotFound:
		out.Answer = history.AnswerNone
	}
	op.Return(out)
	return out
}

// readAll reads every key from every entry.
func (l *requestLoad) readAll(ctx context.Context) {
	for i, c := range l.entries {
		for k := range l.keys {
			l.read(ctx, l.callers+i, c, fmt.Sprintf("k%d", k))
			l.read(ctx, l.callers+i, c, fmt.Sprintf("get-k%d", k))
		}
	}
}

// check checks the recorded history against the model of requests, and the answers
// against the runs that the booking services recorded.
func (l *requestLoad) check(t *testing.T, runs map[string]int) {
	t.Helper()
	ops := l.history.Operations(history.RequestOutput{Answer: history.AnswerUnknown})
	t.Logf("%d operations, %d bookings, answers %v", len(ops), len(runs), answerCounts(ops))
	for _, part := range history.RequestModel.Partition(ops) {
		if err := history.Check(history.RequestModel, part); err != nil {
			t.Errorf("%v:\n%s", err, describe(part))
		}
	}
	byKey := map[string]int{}
	for key, n := range runs {
		byKey[strings.TrimPrefix(key, workspacePrefix)] = n
	}
	assert.NilError(t, history.CheckRuns(bookings(ops), byKey))
}

// describe lists operations in the order of their calls, with times in milliseconds.
func describe(ops []porcupine.Operation) string {
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var text strings.Builder
	for _, op := range ops {
		ms := int64(time.Millisecond)
		fmt.Fprintf(&text, "%6d..%6d client %d %+v -> %+v\n", op.Call/ms, op.Return/ms, op.ClientId, op.Input, op.Output)
	}
	return text.String()
}

func answerCounts(ops []porcupine.Operation) map[history.RequestAnswer]int {
	counts := map[history.RequestAnswer]int{}
	for _, op := range ops {
		counts[op.Output.(history.RequestOutput).Answer]++
	}
	return counts
}

// bookings returns the operations without those on repeatable requests.
func bookings(ops []porcupine.Operation) []porcupine.Operation {
	var kept []porcupine.Operation
	for _, op := range ops {
		if !strings.HasPrefix(op.Input.(history.RequestInput).Key, "get-") {
			kept = append(kept, op)
		}
	}
	return kept
}

// wait waits until d has passed or ctx ends, and reports whether d has passed.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

package promises

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
)

// leavingLimit is the guaranteed bound: a target gets no new work later than this
// after it was marked as leaving.
const leavingLimit = 3 * time.Second

// load is a set of callers that send chats and bookings until stop is called.
type load struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
	done   atomic.Int64
	// notRun counts the refusals with the outcome not_run.
	notRun atomic.Int64

	mu sync.Mutex
	// refused counts the refusals by call name and problem title; guarded by mu.
	refused map[string]int
}

func (l *load) recordRefusal(name string, err error) {
	l.notRun.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[name+" "+protocol.ProblemOf(err).Title]++
}

// startLoad starts callers of the model service and of the booking service. Any
// failure other than a refusal as not run fails the test.
func startLoad(t *testing.T, c *client.Client, chats, bookings int) *load {
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{cancel: cancel, refused: map[string]int{}}
	for i := range chats {
		l.run(ctx, t, "chat", func(n int) error {
			text := fmt.Sprintf("load %d %d", i, n)
			a, err := c.Chat(ctx, chatRequest(text, 8, n%2 == 0), client.CallOptions{Key: fmt.Sprintf("q-%d-%d", i, n)}, nil)
			if err == nil && string(a.Body) != engine.Answer(text, 8) {
				return protocol.ErrInternal.New("%s: the answer differs from the expected one", text)
			}
			return err
		})
	}
	for i := range bookings {
		l.run(ctx, t, "booking", func(n int) error {
			key := fmt.Sprintf("b-%d-%d", i, n)
			_, err := c.Call(ctx, "booking", http.MethodPost, "/bookings", []byte(`{"slot":"7"}`), client.CallOptions{Key: key})
			return err
		})
	}
	return l
}

func (l *load) run(ctx context.Context, t *testing.T, name string, call func(n int) error) {
	l.group.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			err := call(n)
			switch {
			case ctx.Err() != nil:
				return
			case err == nil:
				l.done.Add(1)
			case protocol.OutcomeOf(err) == protocol.OutcomeNotRun:
				l.recordRefusal(name, err)
				<-time.After(20 * time.Millisecond)
			default:
				t.Errorf("request %d: %v", n, err)
				return
			}
		}
	})
}

func (l *load) stop() {
	l.cancel()
	l.group.Wait()
}

// lastStart returns the time at which the target at index last started a run.
func lastStart(t *testing.T, site *processtest.Site, index int) time.Time {
	t.Helper()
	last := int64(0)
	if index < len(site.Engines) {
		var runs []engine.Run
		assert.NilError(t, processtest.ReadJSON("http://"+site.Engines[index].Settings.StandIn.Listen+"/runs", &runs))
		for _, r := range runs {
			last = max(last, r.StartUnixMicros)
		}
		return time.UnixMicro(last)
	}
	var starts map[string]int64
	service := site.Services[index-len(site.Engines)]
	assert.NilError(t, processtest.ReadJSON("http://"+service.Settings.StandIn.Listen+"/starts", &starts))
	for _, at := range starts {
		last = max(last, at)
	}
	return time.UnixMicro(last)
}

// TestLeavingTargetGetsNoNewWork marks an engine and a service as leaving by one
// method at a time, under online, batch and booking load, and checks the targets'
// own records.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	const marked, markedService = 0, 2
	methods := []struct {
		name string
		mark func(t *testing.T, site *processtest.Site, c *client.Client)
	}{
		{"label", func(t *testing.T, _ *processtest.Site, c *client.Client) {
			for _, unit := range []string{"a", "c"} {
				drain := protocol.Object{Kind: protocol.KindDrain, Name: unit, Drain: &protocol.Drain{Selector: protocol.Selector{"unit": unit}}}
				_, err := c.Apply(t.Context(), "test", []protocol.Object{drain})
				assert.NilError(t, err)
			}
		}},
		{"list", func(t *testing.T, site *processtest.Site, _ *client.Client) {
			assert.NilError(t, site.PublishInstances("sidecar-0", "sidecar-2"))
		}},
		{"signal", func(t *testing.T, site *processtest.Site, _ *client.Client) {
			assert.NilError(t, site.Sidecars[marked].Signal(syscall.SIGTERM))
			assert.NilError(t, site.Sidecars[markedService].Signal(syscall.SIGTERM))
		}},
	}
	for _, method := range methods {
		t.Run(method.name, func(t *testing.T) {
			t.Parallel()
			site, c := startProcesses(t, processtest.Layout{
				Entries: 2, Engines: 2, Services: 2, Slots: 2, ListLag: 2 * time.Second, DrainTimeout: 20 * time.Second,
				Engine: settings.StandInEngine{Width: 2, TokenTime: settings.Duration(10 * time.Millisecond)},
			})
			submitJob(t, c, "nightly", 2000, 10)
			l := startLoad(t, c, 6, 2)
			defer l.stop()
			eventually(t, 10*time.Second, func() error {
				if lastStart(t, site, marked).Unix() == 0 || lastStart(t, site, markedService).Unix() == 0 {
					return protocol.ErrBusy.New("a marked target has had no work yet")
				}
				return nil
			})
			method.mark(t, site, c)
			at := time.Now()
			<-time.After(2 * leavingLimit)
			l.stop()
			t.Logf("%d done, refused as not run: %v", l.done.Load(), l.refused)
			for _, index := range []int{marked, markedService} {
				late := lastStart(t, site, index).Sub(at)
				t.Logf("target %d got its last work %v after it was marked", index, late)
				assert.Assert(t, late < leavingLimit)
				other := lastStart(t, site, index+1).Sub(at)
				assert.Assert(t, other > leavingLimit, "the other target got no work either: %v", other)
			}
		})
	}
}

package promises

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/coordination/follow"
	"github.com/sycamoretally/sycamoretally/coordination/membership"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/history"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
	"github.com/sycamoretally/sycamoretally/standin/instancelist"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
	netrelay "github.com/sycamoretally/sycamoretally/standin/relay"
	"github.com/sycamoretally/sycamoretally/standin/service"
	"github.com/sycamoretally/sycamoretally/transport"
)

// silentLimit is the time within which work must go on after connections became
// half-open: the heartbeat timeout, a round of reports and a new connection.
const silentLimit = 2 * protocol.HeartbeatTimeout

// network puts a relay in front of each address that the processes of a site dial.
type network struct {
	mu     sync.Mutex
	relays map[string]*netrelay.Relay
}

// dial returns a dial function that connects to addresses through their relays.
func (n *network) dial(*settings.Settings) transport.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		r, err := n.relayTo(address)
		if err != nil {
			return nil, err
		}
		var dialer net.Dialer
		return dialer.DialContext(ctx, network, r.Address())
	}
}

func (n *network) relayTo(address string) (*netrelay.Relay, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.relays[address]; r != nil {
		return r, nil
	}
	r, err := netrelay.New(address)
	if err == nil {
		n.relays[address] = r
	}
	return r, err
}

// silence makes every open connection between the processes half-open.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		r.SilenceOpen()
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		r.Close()
	}
}

// startBehindRelays starts a site whose processes connect to each other through relays.
func startBehindRelays(t *testing.T, policy settings.Policy) (*network, *demo.Site, *client.Client) {
	n := &network{relays: map[string]*netrelay.Relay{}}
	t.Cleanup(n.close)
	site, c := startInProcess(t, demo.Layout{
		Entries: 2, Engines: 3, Services: 1, Slots: 16, Dial: n.dial, Policy: policy,
		Engine: engine.Params{Width: 16, TokenTime: 10 * time.Millisecond, RestartTime: time.Second},
	})
	return n, site, c
}

// TestSilentConnectionsBetweenProcesses makes every connection between entries and
// sidecars half-open, both those with streams and idle ones. Each request must
// complete after at most one more attempt, not counting hedges, and so must later
// requests.
func TestSilentConnectionsBetweenProcesses(t *testing.T) {
	t.Parallel()
	for _, noHedges := range []bool{true, false} {
		t.Run(fmt.Sprintf("no hedges %t", noHedges), func(t *testing.T) { testSilentConnections(t, settings.Policy{NoHedges: noHedges}) })
	}
}

func testSilentConnections(t *testing.T, policy settings.Policy) {
	t.Parallel()
	n, _, c := startBehindRelays(t, policy)
	burst(t, c, 12, 2, "before") // leaves idle connections behind
	a := &chatRecorder{client: c}
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() { a.chat(t, fmt.Sprintf("silenced %d", i), 100, i%2 == 0) })
	}
	awaitRunning(t, c, 12)
	n.silence()
	group.Wait()
	a.logFailures(t)
	assert.NilError(t, history.CheckAnswers(a.answers))
	assert.Equal(t, a.failed(), 0)
	burst(t, c, 12, 2, "after")
	line, err := c.Timeline(t.Context(), protocol.EventsArgs{})
	assert.NilError(t, err)
	sent := map[string]int{}
	for _, e := range line.Events {
		switch e.Name {
		case "attempt hedged":
			sent[e.Trace]--
		case "attempt sent":
			sent[e.Trace]++
			assert.Assert(t, sent[e.Trace] <= 2, "request %s was sent %d times", e.Trace, sent[e.Trace])
		}
	}
}

// awaitRunning waits until n online attempts have been admitted, not counting the n
// of the burst before them.
func awaitRunning(t *testing.T, c *client.Client, n int) {
	t.Helper()
	eventually(t, 10*time.Second, func() error {
		line, err := c.Timeline(t.Context(), protocol.EventsArgs{})
		if err != nil {
			return err
		}
		admitted := 0
		for _, e := range line.Events {
			if e.Name == "attempt admitted" {
				admitted++
			}
		}
		if admitted < 2*n {
			return protocol.ErrBusy.New("%d attempts admitted", admitted)
		}
		return nil
	})
}

// TestSilentConnectionUnderBooking makes the connections half-open while a booking
// runs: it must run once, its caller must get the answer or an error with the
// outcome unknown, and the answer must become readable.
func TestSilentConnectionUnderBooking(t *testing.T) {
	t.Parallel()
	n, site, c := startBehindRelays(t, settings.Policy{})
	site.Services[0].SetFaults(service.Faults{DelayMillis: 500})
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err = c.Call(t.Context(), "booking", http.MethodPost, "/bookings", []byte(`{"slot":"7"}`), client.CallOptions{Key: "silent"})
	}()
	awaitEvent(t, c, "call started")
	n.silence()
	<-done
	if err != nil {
		assert.Equal(t, protocol.OutcomeOf(err), protocol.OutcomeUnknown, "%v", err)
	}
	eventually(t, 2*silentLimit, func() error {
		a, err := c.Result(t.Context(), "silent")
		if err == nil && a.Status != http.StatusCreated {
			return protocol.ErrBusy.New("the result has the status %d", a.Status)
		}
		return err
	})
	assert.Equal(t, site.Services[0].Runs()["demo/silent"], 1)
}

// TestSilentInstanceList makes the connections to the instance list half-open: a
// later change of the list must be known within silentLimit.
func TestSilentInstanceList(t *testing.T) {
	t.Parallel()
	list := instancelist.New(0, []backend.Instance{{Name: "e", Role: backend.RoleEntry}})
	r := relayBefore(t, list.Handler())
	m := membership.New(membership.Params{Self: "e", List: backend.NewHTTPInstanceList("http://" + r.Address())})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	eventually(t, silentLimit, func() error { return errUnless(m.Ready()) })
	r.SilenceOpen()
	list.Set([]backend.Instance{{Name: "e", Role: backend.RoleEntry, Leaving: true}})
	eventually(t, silentLimit, func() error { return errUnless(m.ListedLeaving()) })
}

// errUnless returns an error unless the condition is met.
func errUnless(ok bool) error {
	if ok {
		return nil
	}
	return protocol.ErrBusy.New("condition not met yet")
}

// relayBefore serves a handler behind a relay and returns the relay.
func relayBefore(t *testing.T, h http.Handler) *netrelay.Relay {
	t.Helper()
	server := httptest.NewServer(h)
	r, err := netrelay.New(strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() {
		r.Close()
		server.Close()
	})
	return r
}

// recordFold is a fold that passes on the IDs of its records.
type recordFold struct{ records chan string }

// Apply implements follow.Fold.
func (f recordFold) Apply(_ protocol.Position, rec *protocol.Record) { f.records <- rec.ID }

// TestSilentLog makes a follower's connection to the log half-open: the follower
// must read on over a new connection within its poll time and silentLimit.
func TestSilentLog(t *testing.T) {
	t.Parallel()
	log := logservice.New(logservice.Params{AppendsPerSecond: 1000})
	r := relayBefore(t, log.Handler())
	fold := recordFold{records: make(chan string, 8)}
	f := follow.New(follow.Params{Stream: protocol.StreamWork, Source: backend.NewHTTPLog("http://" + r.Address())}, fold)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	eventually(t, silentLimit, func() error { return errUnless(f.CaughtUp()) })
	r.SilenceOpen()
	data, err := protocol.EncodeBatch([]protocol.Record{{ID: "r"}})
	assert.NilError(t, err)
	_, err = log.Append(ctx, protocol.StreamWork, data)
	assert.NilError(t, err)
	select {
	case id := <-fold.records:
		assert.Equal(t, id, "r")
	case <-time.After(follow.DefaultPollWait + silentLimit):
		t.Error("the follower did not replace the half-open connection")
	}
}

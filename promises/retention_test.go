package promises

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
	"github.com/sycamoretally/sycamoretally/state"
	"github.com/sycamoretally/sycamoretally/transport"
)

// logRetention is how long the log keeps an entry in these tests.
const logRetention = 6 * time.Second

func retentionLayout() processtest.Layout {
	return processtest.Layout{
		Entries: 2, Engines: 1, Services: 1, Slots: 8,
		Log:    settings.StandInLog{AppendsPerSecond: 300, Retention: settings.Duration(logRetention)},
		Engine: settings.StandInEngine{Width: 8, TokenTime: settings.Duration(time.Millisecond), CacheTokens: 4096, RestartTime: settings.Duration(time.Second)},
	}
}

func awaitAllReady(t *testing.T, site *processtest.Site) {
	t.Helper()
	for _, p := range processesOf(site) {
		awaitReady(t, p)
	}
}

func awaitReady(t *testing.T, p *processtest.Process) {
	t.Helper()
	eventually(t, time.Minute, func() error { return checkReady("http://" + p.Settings.Process.HTTP) })
}

// clientsOf returns one client for each entry, which uses that entry only.
func clientsOf(t *testing.T, s settings.Client) []*client.Client {
	var clients []*client.Client
	for _, entry := range s.Entries {
		single := s
		single.Entries = []string{entry}
		c := client.New(single)
		t.Cleanup(c.Close)
		clients = append(clients, c)
	}
	return clients
}

func batchFile(items int) []byte {
	var file bytes.Buffer
	for i := range items {
		fmt.Fprintf(&file, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"drafting","max_tokens":3,"messages":[{"role":"user","content":"question %d"}]}}`+"\n", i, i)
	}
	return file.Bytes()
}

func results(ctx context.Context, c *client.Client, job string) (string, error) {
	var out bytes.Buffer
	err := c.Results(ctx, job, &out)
	return out.String(), err
}

// TestResultsOutliveProcessesAndRetention reads the results of requests, a booking
// and a job from every entry after the log's retention has passed several times and
// all processes were restarted, twice.
func TestResultsOutliveProcessesAndRetention(t *testing.T) {
	t.Parallel()
	const questions, items = 10, 40
	site, c := startMostlyIdle(t, retentionLayout())
	ctx := t.Context()
	answers := map[string]string{}
	for i := range questions {
		text := fmt.Sprint("question ", i)
		a, err := c.Chat(ctx, chatRequest(text, 5, false), client.CallOptions{Key: text}, nil)
		assert.NilError(t, err)
		assert.Assert(t, a.Retained)
		answers[text] = ""
	}
	booked, err := c.Call(ctx, "booking", "POST", "/bookings", []byte(`{"slot":"nine"}`), client.CallOptions{Key: "slot nine"})
	assert.NilError(t, err)
	answers["slot nine"] = ""
	for key := range answers {
		a, err := c.Result(ctx, key)
		assert.NilError(t, err)
		answers[key] = string(a.Body)
	}
	assert.Equal(t, answers["slot nine"], string(booked.Body))
	file, err := c.Upload(ctx, batchFile(items))
	assert.NilError(t, err)
	j, err := c.Submit(ctx, file, "1h", "nightly")
	assert.NilError(t, err)
	eventually(t, time.Minute, func() error {
		if j, err = c.Job(ctx, j.ID); err != nil || j.Status != string(state.JobCompleted) {
			return protocol.ErrBusy.New("job %+v: %v", j, err)
		}
		return nil
	})
	want, err := results(ctx, c, j.ID)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(want, "\n"), items)
	for round := range 2 {
		<-time.After(3 * logRetention)
		replaceAll(t, site)
		awaitAllReady(t, site)
		for n, single := range clientsOf(t, site.Client) {
			for key, body := range answers {
				a, err := single.Result(ctx, key)
				assert.NilError(t, err, "round %d, entry %d, key %s", round, n, key)
				assert.Equal(t, string(a.Body), body)
			}
			got, err := results(ctx, single, j.ID)
			assert.NilError(t, err)
			assert.Equal(t, got, want)
		}
	}
	resent, err := c.Call(ctx, "booking", "POST", "/bookings", []byte(`{"slot":"nine"}`), client.CallOptions{Key: "slot nine"})
	assert.NilError(t, err)
	assert.Equal(t, string(resent.Body), string(booked.Body))
	runs, err := site.BookingRuns()
	assert.NilError(t, err)
	for key, n := range runs {
		assert.Equal(t, n, 1, key)
	}
	a, err := c.Chat(ctx, chatRequest("new", 5, true), client.CallOptions{}, nil)
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), engine.Answer("new", 5))
}

// configAt asks a process over net/rpc up to which position it has folded the
// configuration.
func configAt(ctx context.Context, peers *transport.Peers, p *processtest.Process) (protocol.Position, error) {
	callCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var reply protocol.ReportReply
	err := peers.Call(callCtx, p.Settings.Process.Peer, protocol.MethodReport, &protocol.ReportArgs{}, &reply)
	return reply.Config, err
}

// TestFrozenPastRetention suspends an entry and a sidecar until every log entry that
// they have not read has expired, and resumes them: they must catch up without
// going back.
func TestFrozenPastRetention(t *testing.T) {
	t.Parallel()
	site, _ := startMostlyIdle(t, retentionLayout())
	ctx := t.Context()
	peers := transport.NewPeers(site.Sidecars[0].Settings.Process.PeerSecret)
	t.Cleanup(peers.Close)
	suspended := []*processtest.Process{site.Entries[1], site.Sidecars[0]}
	before := map[*processtest.Process]protocol.Position{}
	for _, p := range suspended {
		at, err := configAt(ctx, peers, p)
		assert.NilError(t, err)
		before[p] = at
		assert.NilError(t, p.Signal(syscall.SIGSTOP))
	}
	live := clientsOf(t, site.Client)[0]
	a, err := live.Chat(ctx, chatRequest("while frozen", 5, false), client.CallOptions{Key: "while frozen"}, nil)
	answered := err == nil && a.Retained
	if !answered {
		t.Logf("the question was not answered: %v", err)
	}
	label := protocol.Object{Kind: protocol.KindLabel, Name: "frozen", Label: &protocol.Label{
		Selector: protocol.Selector{"unit": "none"}, Set: protocol.Labels{"x": "y"},
	}}
	accepted, err := live.Apply(ctx, "operator", []protocol.Object{label})
	assert.NilError(t, err)
	<-time.After(3 * logRetention)
	for _, p := range suspended {
		assert.NilError(t, p.Signal(syscall.SIGCONT))
	}
	for _, p := range suspended {
		eventually(t, inForceLimit, func() error {
			at, err := configAt(ctx, peers, p)
			if err != nil {
				return err
			}
			assert.Assert(t, at >= before[p], "%s went back from %s to %s", p.Settings.Process.Instance, before[p], at)
			if at < accepted.Version {
				return protocol.ErrBusy.New("%s is at %s", p.Settings.Process.Instance, at)
			}
			return nil
		})
		awaitReady(t, p)
	}
	resumed := clientsOf(t, site.Client)[1]
	objects, err := resumed.Objects(ctx, string(protocol.KindLabel), "frozen")
	assert.NilError(t, err)
	assert.Equal(t, objects[0].Version, accepted.Version)
	if answered {
		again, err := resumed.Result(ctx, "while frozen")
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(again.Body), engine.Answer("while frozen", 5)))
	}
}

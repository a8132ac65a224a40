package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
	"github.com/sycamoretally/sycamoretally/transport"
)

func contains(parts ...string) func(string) bool {
	return func(out string) bool {
		for _, part := range parts {
			if !strings.Contains(out, part) {
				return false
			}
		}
		return true
	}
}

func decode[T any](t *testing.T, text string) T {
	t.Helper()
	var v T
	assert.NilError(t, json.Unmarshal([]byte(text), &v), text)
	return v
}

// eventually polls until check holds, and fails the test after a limit.
func eventually(t *testing.T, check func() bool) {
	t.Helper()
	const limit = 20 * time.Second
	deadline := time.Now().Add(limit)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v", limit)
		}
		<-time.After(20 * time.Millisecond)
	}
}

// TestOperatorSession plays an operator's session with the real binary against
// the separate processes of the Nairobi example.
func TestOperatorSession(t *testing.T) {
	s := startExample(t, "nairobi")
	s.configure()
	s.drain()
	s.exceedQuota()
	s.rollBack()
	s.useDuringOutage()
	s.runJobs()
	s.readTimeline()
}

// configure publishes the example's objects, after a look at what they do.
func (s *session) configure() {
	objects := s.path("objects.toml")
	out := s.runUntil(contains("create service drafting", "2 targets: drafting-1 drafting-2", "1 targets: case-record-3"), "apply", "-f", objects, "--dry-run")
	assert.Assert(s.t, is.Contains(out, "create quota county"))
	assert.Equal(s.t, s.run(0, "get", "service", "-o", "json"), "[]\n")
	assert.Assert(s.t, is.Contains(s.run(exitDiffers, "diff", "-f", objects), `+ service.selector.role = "drafting"`))
	assert.Assert(s.t, is.Contains(s.run(0, "apply", "-f", objects), "accepted at version"))
	s.runUntil(func(out string) bool { return out == "" }, "diff", "-f", objects)
	assert.Assert(s.t, is.Contains(s.run(0, "apply", "-f", objects, "--dry-run"), "unchanged service drafting"))
	assert.Assert(s.t, is.Contains(s.run(0, "get"), "drafting"))
}

// drain drains by selector, takes it back, and drains again over the deletion.
func (s *session) drain() {
	selector := []string{"--selector", "rack=rack-1"}
	for range 2 {
		out := s.run(0, append([]string{"drain"}, selector...)...)
		assert.Assert(s.t, is.Contains(out, "1 targets drained: drafting-1"))
		s.runUntil(contains("drafting-1", "drained"), append([]string{"status"}, selector...)...)
		s.runUntil(contains("drafting-2", "ready"), "status", "--selector", "rack=rack-2")
		s.run(0, append([]string{"undrain"}, selector...)...)
		s.runUntil(contains("drafting-1", "ready"), append([]string{"status"}, selector...)...)
	}
	s.run(exitNotRun, append([]string{"undrain"}, selector...)...)
	s.run(exitFailed, "drain")
	s.run(exitNotRun, "drain", "--selector", "rack")
	status := decode[entry.Status](s.t, s.run(0, "status", "--selector", "role=drafting", "-o", "json"))
	assert.Equal(s.t, len(status.Targets), 2)
	history := decode[[]protocol.ObjectVersion](s.t, s.run(0, "history", "drain", "rack=rack-1", "-o", "json"))
	assert.Equal(s.t, len(history), 4)
	assert.Equal(s.t, history[0].By, operatorName())
	assert.Assert(s.t, history[0].UnixMillis > 0 && history[1].Object.Deleted)
}

const quotaFile = `[[object]]
kind = "quota"
name = "county"
%s[object.quota]
requests_per_second = %g
batch_share = 1.0
`

// exceedQuota sets a quota far below the requests that follow: an entry refuses them,
// says that they were not run, and when to come again.
func (s *session) exceedQuota() {
	const perSecond = 0.01
	s.run(0, "apply", "-f", s.write("quota.toml", fmt.Sprintf(quotaFile, "", perSecond)))
	en := s.site.Entries[0].Settings
	var refused *http.Response
	eventually(s.t, func() bool {
		req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+en.Process.HTTP+"/services/case-record/1", nil)
		assert.NilError(s.t, err)
		req.Header.Set("Authorization", "Bearer "+en.Entry.Callers[0].Key)
		refused, err = http.DefaultClient.Do(req)
		assert.NilError(s.t, err)
		defer func() { _ = refused.Body.Close() }()
		return refused.StatusCode == http.StatusTooManyRequests && transport.ReadProblem(refused) != nil
	})
	wait, err := strconv.Atoi(refused.Header.Get("Retry-After"))
	assert.NilError(s.t, err)
	assert.Assert(s.t, wait > 1 && wait <= 200, "Retry-After: %d", wait)
}

// rollBack changes a quota and goes back: the old content gets a new version,
// and a change from a stale version is refused.
func (s *session) rollBack() {
	versions := decode[[]protocol.ObjectVersion](s.t, s.run(0, "history", "quota", "county", "-o", "json"))
	assert.Equal(s.t, len(versions), 2)
	first := versions[0].Object.Version
	s.run(0, "rollback", "quota", "county", "--to", first.String())
	live := decode[[]protocol.Object](s.t, s.run(0, "get", "quota", "county", "-o", "json"))
	assert.Equal(s.t, live[0].Quota.RequestsPerSecond, 200.0)
	assert.Assert(s.t, live[0].Version > versions[1].Object.Version)
	s.run(exitConflict, "apply", "-f", s.write("stale.toml", fmt.Sprintf(quotaFile, "base = 1\n", 9.0)))
	s.run(exitNotRun, "rollback", "quota", "county", "--to", "9999.0")
	s.run(exitFailed, "rollback", "quota", "county", "--to", "soon")
}

// useDuringOutage takes the log away: changes are refused as not run or unknown, the
// state can still be read, and afterwards changes are accepted again.
func (s *session) useDuringOutage() {
	assert.NilError(s.t, s.site.SetFaults(s.site.Log, logservice.Faults{Outage: true}))
	s.run(exitNotRun, "drain", "--selector", "rack=rack-2")
	assert.Assert(s.t, is.Contains(s.run(0, "status"), "drafting-1"))
	assert.NilError(s.t, s.site.SetFaults(s.site.Log, logservice.Faults{}))
	s.runUntil(contains("accepted"), "drain", "--selector", "rack=rack-2")
	s.runUntil(contains("accepted"), "undrain", "--selector", "rack=rack-2")
	s.runUntil(contains("drafting-2", "ready"), "status", "--selector", "rack=rack-2")
}

// runJobs waits for a short job and cancels a long one.
func (s *session) runJobs() {
	done := decode[entry.JobResponse](s.t, s.run(0, "job", "submit", "-f", s.path("job.jsonl"), "--wait", "-o", "json"))
	assert.Equal(s.t, done.Status, "completed")
	results := decode[[]entry.ResultLine](s.t, s.run(0, "job", "results", done.ID, "-o", "json"))
	assert.Equal(s.t, len(results), 8)
	assert.Equal(s.t, strings.Count(s.run(0, "job", "results", done.ID), "\n"), 8)
	lines, err := json.Marshal(map[string]any{"custom_id": "long", "body": map[string]any{
		"model": "drafting", "max_tokens": 100_000, "messages": []map[string]string{{"role": "user", "content": "x"}},
	}})
	assert.NilError(s.t, err)
	long := decode[entry.JobResponse](s.t, s.run(0, "job", "submit", "-f", s.write("long.jsonl", string(lines)+"\n"), "-o", "json"))
	assert.Assert(s.t, is.Contains(s.run(0, "job", "status", long.ID), "running"))
	assert.Assert(s.t, is.Contains(s.run(0, "job", "cancel", long.ID), "cancelled"))
	s.run(exitJobIncomplete, "job", "submit", "-f", s.path("long.jsonl"), "--wait")
	s.run(exitNotRun, "job", "status", "job-unknown")
}

// readTimeline kills a sidecar and reads the time line in each form: the dead
// process is named as missing.
func (s *session) readTimeline() {
	assert.NilError(s.t, s.site.Sidecars[0].Kill())
	text := s.run(0, "timeline", "--since", "5m")
	assert.Assert(s.t, contains(`event="configuration changed"`, `event="job accepted"`, `event="item started"`, "missing: sidecar-1 did not answer")(text), text)
	line := decode[entry.Timeline](s.t, s.run(0, "timeline", "--since", "5m", "-o", "json"))
	assert.DeepEqual(s.t, line.Missing, []string{"sidecar-1"})
	for i := 1; i < len(line.Events); i++ {
		assert.Assert(s.t, line.Events[i-1].Clock <= line.Events[i].Clock)
	}
	chrome := s.run(0, "timeline", "-o", "chrome")
	assert.Assert(s.t, json.Valid([]byte(chrome)) && contains(`"traceEvents"`, `"missing":["sidecar-1"]`)(chrome))
	traced := slices.IndexFunc(line.Events, func(e protocol.Event) bool { return e.Name == "request received" })
	trace := line.Events[traced].Trace
	ofTrace := decode[entry.Timeline](s.t, s.run(0, "timeline", "--trace", trace, "-o", "json")).Events
	assert.Assert(s.t, len(ofTrace) > 1)
	for _, e := range ofTrace {
		assert.Assert(s.t, e.Trace == trace || e.Trace == "" && e.Fields["attempt"] != "", "%+v", e)
	}
	s.run(exitFailed, "timeline", "-o", "xml")
}

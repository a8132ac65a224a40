package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// TestOnlineRequestsDoNotWaitForTheWorkLog guards against online requests that wait while this
// gateway applies records of jobs: each one that could be a repeated job asked the fold.
func TestOnlineRequestsDoNotWaitForTheWorkLog(t *testing.T) {
	g := New(Params{Node: &fleet.Node{Name: "g"}})
	accept := &worklog.Accept{Job: fleet.Job{ID: "j", Host: "h", Items: []fleet.Item{{ID: "i"}}}, Path: "/j/1", Workspace: "w"}
	record, err := worklog.NewProcessWriter("a").Record(worklog.Entry{Accept: accept})
	assert.NilError(t, err)
	g.applyJobs([]fleet.Record{record})

	g.jobsMu.Lock() // as while records are applied
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, g.HasAccepted(nil, "h", "/j/1", "j"))
		assert.Check(t, g.HasAccepted(&fleet.Workspace{Name: "w"}, "h", "/j/1", "j"))
		assert.Check(t, !g.HasAccepted(&fleet.Workspace{Name: "v"}, "h", "/j/1", "j"))
		assert.Check(t, !g.HasAccepted(nil, "h", "/j/2", "j"))
		assert.Check(t, !g.HasAccepted(nil, "h", "/j/1", "other"))
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("an online request waits for the work log")
	}
	g.jobsMu.Unlock()

	g.applyJobs([]fleet.Record{{Key: record.Key}})
	assert.Assert(t, !g.HasAccepted(nil, "h", "/j/1", "j"), "the job is forgotten")
	g.resetJobs([]fleet.Record{record})
	assert.Assert(t, g.HasAccepted(nil, "h", "/j/1", "j"), "the log is read anew")
}

package batcher_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// TestItemsRunForTheirWorkspace runs the items of a workspace that the configuration has no
// key of any more, and of a job that an earlier build accepted, which belongs to none. The
// target must be told the workspace of the first, and get no headers of a caller with either:
// what was accepted is run, whatever has become of the key.
func TestItemsRunForTheirWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		s.config.Keyring = fleet.NewKeyring(nil)
		content := fleet.Job{ID: "j", Host: "h", Items: []fleet.Item{{ID: "j0", Path: "/j/x", Header: http.Header{}}}}
		s.appendEntry(worklog.Entry{Accept: &worklog.Accept{Job: content, Route: "jobs", Path: "/j/1", Workspace: "one"}})
		s.accept("old", 1)
		b := s.start("b", e)
		time.Sleep(10 * time.Second)
		s.checkCompleted("j")
		s.checkCompleted("old")
		assert.Equal(t, fleet.NameOf(e.workspaces["j0"]), "one")
		assert.Assert(t, e.workspaces["old0"].IsAnonymous())
		assert.NilError(t, b.Stop())
	})
}

package main

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/protocol"
)

func jobAt(status string, completed, failed int) entry.JobResponse {
	return entry.JobResponse{ID: "job-1", Status: status, Counts: entry.JobCounts{Total: 10, Completed: completed, Failed: failed}}
}

// TestFollowJob follows a job through an outage, on a terminal and elsewhere.
func TestFollowJob(t *testing.T) {
	tests := map[string]struct {
		terminal bool
		want     string
	}{
		"lines": {false, "job=job-1 status=running completed=0 failed=0 total=10\n" +
			"job=job-1 status=running completed=5 failed=0 total=10\n" +
			"waiting: sycamoretally.busy: later\n" +
			"job=job-1 status=completed completed=9 failed=1 total=10\n"},
		"bar": {true, "\r[........................................]      0 of 10, 0 failed, running  " +
			"\r[####################....................]      5 of 10, 0 failed, running  " +
			"\nwaiting: sycamoretally.busy: later\n" +
			"\r[####################################xxxx]      9 of 10, 1 failed, completed\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answers := []entry.JobResponse{jobAt("running", 0, 0), jobAt("running", 5, 0), {}, {}, jobAt("completed", 9, 1)}
				read := func(context.Context, string) (entry.JobResponse, error) {
					next := answers[0]
					answers = answers[1:]
					if next.ID == "" {
						return next, protocol.ErrBusy.New("later")
					}
					return next, nil
				}
				var out strings.Builder
				j, err := followJob(t.Context(), read, jobAt("running", 0, 0), &progress{w: &out, terminal: test.terminal}, jobPollInterval)
				assert.NilError(t, err)
				assert.Equal(t, out.String(), test.want)
				assert.Equal(t, exitCode(checkJobComplete(j)), exitJobIncomplete)
			})
		})
	}
}

func TestFollowJobEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		refuse := func(context.Context, string) (entry.JobResponse, error) {
			return entry.JobResponse{}, protocol.ErrUnauthorized.New("no")
		}
		_, err := followJob(t.Context(), refuse, jobAt("running", 0, 0), &progress{w: &out}, jobPollInterval)
		assert.Assert(t, errorx.IsOfType(err, protocol.ErrUnauthorized), "%v", err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = followJob(ctx, refuse, jobAt("running", 0, 0), &progress{w: &out}, jobPollInterval)
		assert.Assert(t, errorx.IsOfType(err, protocol.ErrTimeout), "%v", err)
	})
}

func TestIncomplete(t *testing.T) {
	assert.NilError(t, checkJobComplete(jobAt("completed", 10, 0)))
	assert.Assert(t, errorx.IsOfType(checkJobComplete(jobAt("cancelled", 4, 0)), errJobIncomplete))
	assert.Assert(t, errorx.IsOfType(checkJobComplete(jobAt("completed", 9, 1)), errJobIncomplete))
}

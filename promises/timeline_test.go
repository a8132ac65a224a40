package promises

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/state"
	"github.com/sycamoretally/sycamoretally/timeline"
)

// TestTimelineShowsCausesFirst checks the hybrid logical clocks of entries and
// sidecars: many short requests fall into each millisecond, and no event may be
// listed before its cause in another process.
func TestTimelineShowsCausesFirst(t *testing.T) {
	t.Parallel()
	layout := demo.DefaultLayout()
	layout.Engine.TokenTime = 0
	_, c := startInProcess(t, layout)
	for range 20 {
		burst(t, c, 8, 1, "short")
	}
	line, err := c.Timeline(t.Context(), protocol.EventsArgs{})
	assert.NilError(t, err)
	order := []string{"attempt sent", timeline.SlotGranted, "attempt admitted"}
	next := map[string]int{}
	admitted := map[string]bool{}
	ended := 0
	for _, e := range line.Events {
		attempt := e.Fields["attempt"]
		for index, name := range order {
			if e.Name != name {
				continue
			}
			assert.Equal(t, index, next[attempt], "%s of attempt %s is listed before its cause", name, attempt)
			next[attempt]++
		}
		switch e.Name {
		case "attempt admitted":
			admitted[e.Trace] = true
		case "request ended":
			assert.Assert(t, admitted[e.Trace], "the end of request %s is listed before its attempt", e.Trace)
			ended++
		}
	}
	assert.Equal(t, ended, 160)
}

// TestTimelineShowsJobsFirst sets the sidecars' wall clocks back by ten seconds: the
// events that follow from records of the log and from pulls must still be listed
// after their causes.
func TestTimelineShowsJobsFirst(t *testing.T) {
	t.Parallel()
	layout := demo.DefaultLayout()
	layout.Engine.TokenTime = 0
	layout.ClockSkew = func(s *settings.Settings) time.Duration {
		if s.Role == settings.RoleSidecar {
			return -10 * time.Second
		}
		return 0
	}
	_, c := startInProcess(t, layout)
	const jobs = 10
	for i := range jobs {
		id := submitJob(t, c, fmt.Sprint("job-", i), 1, 1)
		eventually(t, 20*time.Second, func() error {
			j, err := c.Job(t.Context(), id)
			if err == nil && j.Status != string(state.JobCompleted) {
				err = protocol.ErrNoResult.New("job %s is %s", id, j.Status)
			}
			return err
		})
	}
	line, err := c.Timeline(t.Context(), protocol.EventsArgs{})
	assert.NilError(t, err)
	accepted, ended := map[string]bool{}, 0
	for _, e := range line.Events {
		switch e.Name {
		case "job accepted":
			accepted[e.Fields["job"]] = true
		case "item started":
			assert.Assert(t, accepted[e.Fields["job"]], "an item of job %s is listed before the job", e.Fields["job"])
		case "item ended":
			ended++
		}
	}
	assert.Equal(t, len(accepted), jobs)
	assert.Equal(t, ended, jobs)
}

package promises

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
)

// TestSitesAnswer checks the two test harnesses that the other tests use.
func TestSitesAnswer(t *testing.T) {
	t.Parallel()
	ask := func(t *testing.T, c *client.Client) {
		a, err := c.Chat(t.Context(), chatRequest("Is there heat?", 5, true), client.CallOptions{}, nil)
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), engine.Answer("Is there heat?", 5))
	}
	t.Run("in process", func(t *testing.T) {
		t.Parallel()
		_, c := startInProcess(t, demo.DefaultLayout())
		ask(t, c)
	})
	t.Run("processes", func(t *testing.T) {
		t.Parallel()
		_, c := startProcesses(t, processtest.Layout{Entries: 1, Engines: 1, Slots: 4, Engine: settings.StandInEngine{Width: 4}})
		eventually(t, 5*time.Second, func() error {
			_, err := c.Status(t.Context())
			return err
		})
		ask(t, c)
	})
}

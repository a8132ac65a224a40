package promises

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
)

// runsOf returns how often the engine ran the prompt.
func runsOf(t *testing.T, p *processtest.Process, prompt string) int {
	t.Helper()
	var runs []engine.Run
	assert.NilError(t, processtest.ReadJSON("http://"+p.Settings.StandIn.Listen+"/runs", &runs))
	n := 0
	for _, r := range runs {
		if r.Prompt == prompt {
			n++
		}
	}
	return n
}

// checkAnswering returns an error while the engine does not answer.
func checkAnswering(p *processtest.Process) error {
	var orders []backend.LoadOrder
	return processtest.ReadJSON("http://"+p.Settings.StandIn.Listen+"/orders", &orders)
}

// checkQuarantined returns an error unless the prompt is refused as quarantined.
func checkQuarantined(t *testing.T, c *client.Client, prompt string) error {
	_, err := c.Chat(t.Context(), chatRequest(prompt, 5, true), client.CallOptions{}, nil)
	if errorx.IsOfType(err, protocol.ErrQuarantined) {
		return nil
	}
	return protocol.ErrInternal.New("the prompt %q is not in quarantine: %v", prompt, err)
}

// TestQuarantineAndLoadsOutliveRetention has a request quarantined and a model
// loaded, then twice waits past the log's retention and restarts all processes: the
// request must still be refused, and the model must not be loaded again.
func TestQuarantineAndLoadsOutliveRetention(t *testing.T) {
	t.Parallel()
	layout := retentionLayout()
	layout.Services = 0
	layout.Store = settings.StandInStore{FetchesPerSecond: 100, Burst: 10, SizeBytes: 1 << 10}
	site, c := startMostlyIdle(t, layout)
	prompt := engine.MarkerCrash + " before retention"
	eventually(t, time.Minute, func() error { return checkQuarantined(t, c, prompt) })
	eventually(t, time.Minute, func() error { return checkAnswering(site.Engines[0]) })
	assert.Assert(t, runsOf(t, site.Engines[0], prompt) <= maxCrashes)
	eventually(t, time.Minute, func() error { return publishPlacement(t, c, "drafter", "1") })
	awaitVersionsAt(t, site.Engines[0], "1")
	for round := range 2 {
		<-time.After(3 * logRetention)
		replaceAll(t, site)
		awaitAllReady(t, site)
		for n, single := range clientsOf(t, site.Client) {
			assert.NilError(t, checkQuarantined(t, single, prompt), "round %d, entry %d", round, n)
		}
		<-time.After(logRetention / 2)
		assert.Equal(t, versionsAt(t, site.Engines[0]), "1", "round %d", round)
		assert.Assert(t, runsOf(t, site.Engines[0], prompt) <= maxCrashes, "round %d", round)
	}
}

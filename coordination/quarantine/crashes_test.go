package quarantine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/quarantine"
)

// TestBreaks records runs that break at a target that crashes, one that drains,
// one that only loses connections and one that is replaced after Window.
func TestBreaks(t *testing.T) {
	const window = 8 * time.Second
	now := time.Unix(1000, 0)
	detector := quarantine.CrashDetector{Window: window}
	for _, target := range []string{"crashes", "leaves", "goes on", "ends late"} {
		detector.Add(quarantine.BrokenRun{Fingerprint: "f", Target: target, At: now})
	}
	statuses := map[string]quarantine.TargetStatus{}
	crashedAfter := func(after time.Duration) []quarantine.BrokenRun {
		return detector.Crashed(now.Add(after), func(target string) quarantine.TargetStatus { return statuses[target] })
	}
	assert.Equal(t, len(crashedAfter(time.Second)), 0)
	statuses["crashes"], statuses["leaves"] = quarantine.TargetEnded, quarantine.TargetDraining
	crashed := crashedAfter(4 * time.Second)
	assert.Equal(t, len(crashed), 1)
	assert.Equal(t, crashed[0].Target, "crashes")
	statuses["leaves"] = quarantine.TargetEnded
	assert.Equal(t, len(crashedAfter(window)), 0, "each counts once")
	crashedAfter(window + time.Second)
	statuses["ends late"] = quarantine.TargetEnded
	assert.Equal(t, len(crashedAfter(window+2*time.Second)), 0)
}

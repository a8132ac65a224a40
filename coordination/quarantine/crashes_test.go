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

// TestMarkedEndsCountBeforeTheRegistryShowsThem checks that the end of an incarnation counts
// as soon as it was found, unless the target had announced that it leaves.
func TestMarkedEndsCountBeforeTheRegistryShowsThem(t *testing.T) {
	now := time.Unix(1000, 0)
	detector := quarantine.CrashDetector{Window: 8 * time.Second}
	for _, target := range []string{"crashed", "leaving", "alive"} {
		detector.Add(quarantine.BrokenRun{Fingerprint: "f", Target: target, At: now})
	}
	detector.MarkEnded(now, "crashed")
	detector.MarkEnded(now, "leaving")
	crashed := detector.Crashed(now, func(target string) quarantine.TargetStatus {
		if target == "leaving" {
			return quarantine.TargetDraining
		}
		return quarantine.TargetRunning
	})
	assert.Equal(t, len(crashed), 1)
	assert.Equal(t, crashed[0].Target, "crashed")
	detector.Crashed(now.Add(9*time.Second), func(string) quarantine.TargetStatus { return quarantine.TargetRunning })
	assert.Assert(t, !detector.HasEnded("crashed"), "marks are kept for the window only")
}

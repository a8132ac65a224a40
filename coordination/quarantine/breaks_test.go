package quarantine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/quarantine"
)

// TestBreaks replays runs that break off at a target that crashes, one that leaves, one
// that loses connections only and one that is replaced long after.
func TestBreaks(t *testing.T) {
	const patience = 8 * time.Second
	now := time.Unix(1000, 0)
	breaks := quarantine.CrashDetector{Window: patience}
	for _, target := range []string{"crashes", "leaves", "goes on", "ends late"} {
		breaks.Add(quarantine.BrokenRun{Fingerprint: "f", Target: target, At: now})
	}
	statuses := map[string]quarantine.TargetStatus{}
	at := func(after time.Duration) []quarantine.BrokenRun {
		return breaks.Crashed(now.Add(after), func(target string) quarantine.TargetStatus { return statuses[target] })
	}
	assert.Equal(t, len(at(time.Second)), 0)
	statuses["crashes"], statuses["leaves"] = quarantine.TargetEnded, quarantine.TargetDraining
	crashed := at(4 * time.Second)
	assert.Equal(t, len(crashed), 1)
	assert.Equal(t, crashed[0].Target, "crashes")
	statuses["leaves"] = quarantine.TargetEnded
	assert.Equal(t, len(at(patience)), 0, "each counts once")
	at(patience + time.Second)
	statuses["ends late"] = quarantine.TargetEnded
	assert.Equal(t, len(at(patience+2*time.Second)), 0)
}

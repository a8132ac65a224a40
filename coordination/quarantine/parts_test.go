package quarantine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/quarantine"
)

// TestPartsAreObservedBeforeQuarantine checks that a part is quarantined only after a period
// in which other requests ran to completion, and none with the part.
func TestPartsAreObservedBeforeQuarantine(t *testing.T) {
	now := time.Unix(1000, 0)
	o := quarantine.PartObserver{Period: time.Second, Completions: 2}
	after := func(d time.Duration) time.Time { return now.Add(d) }
	guilty := map[string]bool{"x": true, "popular": true}
	o.Observe(now, guilty)
	assert.Equal(t, len(o.Quarantined(after(time.Minute))), 0, "no target completes anything")
	o.Completed(after(100*time.Millisecond), []string{"popular", "other"})
	o.Completed(after(200*time.Millisecond), nil)
	o.Observe(after(300*time.Millisecond), guilty)
	assert.Equal(t, len(o.Quarantined(after(900*time.Millisecond))), 0)
	assert.DeepEqual(t, o.Quarantined(after(time.Second)), map[string]bool{"x": true})
	assert.DeepEqual(t, o.Quarantined(after(1050*time.Millisecond)), map[string]bool{"x": true}) // the observation of the popular part began again
	o.Observe(after(2*time.Second), nil)
	assert.Equal(t, len(o.Quarantined(after(time.Minute))), 0, "crashes point to no part any more")
}

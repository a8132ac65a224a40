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
	implicated := map[string]bool{"x": true, "popular": true}
	o.Observe(implicated)
	assert.Equal(t, len(o.Quarantined(after(time.Minute))), 0, "no target completes anything")
	now = after(time.Minute)
	o.Completed(now, nil)
	o.Completed(after(100*time.Millisecond), []string{"popular", "other"})
	o.Observe(implicated)
	assert.Equal(t, len(o.Quarantined(after(900*time.Millisecond))), 0, "the targets have been back for less than the period")
	o.Completed(after(950*time.Millisecond), nil)
	o.Completed(after(960*time.Millisecond), nil)
	assert.DeepEqual(t, o.Quarantined(after(time.Second)), map[string]bool{"x": true}) // not the popular part
	o.Observe(nil)
	assert.Equal(t, len(o.Quarantined(after(time.Minute))), 0, "crashes point to no part any more")
}

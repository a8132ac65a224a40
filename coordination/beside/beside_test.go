package beside_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/beside"
)

const reuse = 2 * time.Second

var start = time.Unix(1000, 0)

// TestFollowerAtAnAddressHasNoService guards against a target of another service that is taken for
// one of the service whose target ended at its address (review/6).
func TestFollowerAtAnAddressHasNoService(t *testing.T) {
	for name, c := range map[string]struct {
		reuse, silence time.Duration
		want           string
	}{
		"after the address may be used again": {reuse, reuse, ""},
		"long after":                          {reuse, time.Minute, ""},
		"before it may be":                    {reuse, reuse - time.Millisecond, "llm"},
		"not known when it may be":            {0, time.Millisecond, ""},
	} {
		i := beside.Identity{AddressReuse: c.reuse, StartedAt: start.Add(-time.Hour), SettingsService: "llm"}
		assert.Assert(t, i.Answered(start, "a"))
		assert.Equal(t, i.Service("a"), "", "the settings are old")
		i.Registered("b", "other")
		assert.Equal(t, i.Service("a"), "", "the entry of another target")
		assert.Equal(t, i.Unregistered(), "a")
		i.Registered("a", "llm")
		assert.Equal(t, i.Service("a"), "llm")
		assert.Equal(t, i.Unregistered(), "")
		assert.Assert(t, !i.Answered(start.Add(time.Second), "a"))
		assert.Equal(t, i.Service("a"), "llm")
		assert.Equal(t, i.Service("b"), "")
		assert.Equal(t, i.Service(""), "")
		assert.Assert(t, i.Answered(start.Add(time.Second+c.silence), "b"))
		assert.Equal(t, i.Service("b"), c.want, name)
		assert.Equal(t, i.Service("a"), "", "it has ended")
		assert.Equal(t, i.Unregistered(), "b")
		i.Registered("b", "other")
		assert.Equal(t, i.Service("b"), "other", "the registry counts")
	}
}

// TestSettingsSpeakOfTheTargetAtTheStart guards against settings that are believed of a target that
// came later, or that have changed since, and against a batcher that stands idle after a loss of
// power since its target is not registered yet.
func TestSettingsSpeakOfTheTargetAtTheStart(t *testing.T) {
	identity := func() *beside.Identity {
		return &beside.Identity{AddressReuse: reuse, StartedAt: start, SettingsService: "llm"}
	}
	i := identity()
	i.Answered(start.Add(time.Second), "a")
	assert.Equal(t, i.Service("a"), "llm")
	assert.Equal(t, i.Unregistered(), "a", "the registry is asked all the same, if later")
	i.Registered("a", "other")
	assert.Equal(t, i.Service("a"), "other")
	i.SettingsChanged()
	assert.Equal(t, i.Service("a"), "other")

	i = identity()
	i.Answered(start.Add(3*time.Second), "a")
	assert.Equal(t, i.Service("a"), "", "it may have come after the settings")

	i = identity()
	i.Answered(start, "a")
	i.Answered(start.Add(reuse), "b")
	assert.Equal(t, i.Service("b"), "", "one that follows is no longer that of the start")

	i = identity()
	i.Answered(start, "a")
	i.SettingsChanged()
	assert.Equal(t, i.Service("a"), "")
	i = identity()
	i.SettingsChanged()
	i.Answered(start, "a")
	assert.Equal(t, i.Service("a"), "")
}

package beside_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/beside"
)

const (
	reuse = 2 * time.Second
	start = 1000 * time.Second
)

// answered notes an answer that came at once.
func answered(i *beside.Identity, at time.Duration, id string) (changed bool) {
	return i.Answered(beside.Answer{AskedAt: at, At: at, ID: id})
}

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
		i := beside.Identity{AddressReuse: c.reuse, StartedAt: start - time.Hour, SettingsService: "llm"}
		assert.Assert(t, answered(&i, start, "a"))
		assert.Equal(t, i.Service("a"), "", "the settings are old")
		i.Registered("b", "other")
		assert.Equal(t, i.Service("a"), "", "the entry of another target")
		assert.Equal(t, i.Unregistered(), "a")
		i.Registered("a", "llm")
		assert.Equal(t, i.Service("a"), "llm")
		assert.Equal(t, i.Unregistered(), "")
		assert.Assert(t, !answered(&i, start+time.Second, "a"))
		assert.Equal(t, i.Service("a"), "llm")
		assert.Equal(t, i.Service("b"), "")
		assert.Equal(t, i.Service(""), "")
		assert.Assert(t, answered(&i, start+time.Second+c.silence, "b"))
		assert.Equal(t, i.Service("b"), c.want, name)
		assert.Equal(t, i.Service("a"), "", "it has ended")
		assert.Equal(t, i.Unregistered(), "b")
		i.Registered("b", "other")
		assert.Equal(t, i.Service("b"), "other", "the registry counts")
	}
}

// TestAgeOfTheTargetBeforeCountsFromTheQuestion guards against an answer that is read late, by a frozen
// process, and taken for a sign that the target lived until then.
func TestAgeOfTheTargetBeforeCountsFromTheQuestion(t *testing.T) {
	i := beside.Identity{AddressReuse: reuse, StartedAt: start, SettingsService: "llm"}
	answered(&i, start, "a")
	i.Registered("a", "llm")
	i.Answered(beside.Answer{AskedAt: start + time.Second, At: start + 3*time.Second, ID: "a"})
	assert.Equal(t, i.Service("a"), "llm")
	answered(&i, start+3*time.Second, "b")
	assert.Equal(t, i.Service("b"), "")
	i.Registered("b", "llm")
	i.Answered(beside.Answer{AskedAt: start + 4*time.Second, At: start + 7*time.Second, ID: "c"})
	assert.Equal(t, i.Service("c"), "", "it may have started just before it answered")
}

// TestSettingsSpeakOfTheTargetAtTheStart guards against settings that are believed of a target that
// came later, or that have changed since, and against a batcher that stands idle after a loss of
// power since its target is not registered yet.
func TestSettingsSpeakOfTheTargetAtTheStart(t *testing.T) {
	identity := func() *beside.Identity {
		return &beside.Identity{AddressReuse: reuse, StartedAt: start, SettingsService: "llm"}
	}
	i := identity()
	assert.Assert(t, i.GoesBySettings())
	answered(i, start+400*time.Millisecond, "a")
	assert.Assert(t, !i.GoesBySettings())
	assert.Equal(t, i.Service("a"), "llm")
	assert.Equal(t, i.Unregistered(), "a", "the registry is asked all the same, if later")
	i.Registered("a", "other")
	assert.Equal(t, i.Service("a"), "other")
	i.SettingsChanged()
	assert.Equal(t, i.Service("a"), "other")

	i = identity()
	answered(i, start+time.Second, "a")
	assert.Equal(t, i.Service("a"), "", "it may have come after the settings")

	i = identity()
	answered(i, start, "a")
	answered(i, start+reuse, "b")
	assert.Equal(t, i.Service("b"), "", "one that follows is no longer that of the start")

	i = identity()
	answered(i, start, "a")
	i.SettingsChanged()
	assert.Equal(t, i.Service("a"), "")
	answered(i, start, "b")
	assert.Equal(t, i.Service("b"), "", "nor is the one after it known")
	i = identity()
	i.SettingsChanged()
	assert.Assert(t, !i.GoesBySettings())
	answered(i, start, "a")
	assert.Equal(t, i.Service("a"), "")
}

// TestSettingsSayNothingOnceNobodyAnswered guards against a batcher that starts after its target has ended, and
// takes the next one for one of the service in its settings, though the address may be used
// again at any moment (review/11).
func TestSettingsSayNothingOnceNobodyAnswered(t *testing.T) {
	i := beside.Identity{AddressReuse: reuse, StartedAt: start, SettingsService: "llm"}
	i.NotAnswered()
	assert.Assert(t, !i.GoesBySettings())
	answered(&i, start+time.Millisecond, "a")
	assert.Equal(t, i.Service("a"), "")
}

// TestTargetIsKnownBeforeItsID guards against a target that stands idle since its ID was not told yet at
// the batcher's start, for want of a health path. What answered meanwhile keeps others away.
func TestTargetIsKnownBeforeItsID(t *testing.T) {
	for name, c := range map[string]struct {
		gap  time.Duration
		want string
	}{
		"soon":            {reuse - time.Millisecond, "llm"},
		"after a silence": {reuse, ""},
	} {
		i := beside.Identity{AddressReuse: reuse, StartedAt: start, SettingsService: "llm"}
		now := start
		for range 5 {
			assert.Assert(t, !answered(&i, now, ""))
			i.NotAnswered()
			assert.Equal(t, i.Service(""), "")
			now += time.Second
		}
		now += c.gap - time.Second
		assert.Assert(t, answered(&i, now, "a"))
		assert.Equal(t, i.Service("a"), c.want, name)
	}
}

package registry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/registry"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// registrationLag is the time after its start within which a target registers.
const registrationLag = 2 * time.Second

// announce lets the batcher at the address of the registered target name another one.
func announce(t *registry.Targets, registered string, a registry.Announcement) *fleet.Target {
	a.Service = "s"
	return t.Announce(t.Current().Addresses[registered], a)
}

// TestAnnouncedTargetIsUsedUntilItRegisters starts all targets anew after a loss of power. For
// as long as the registry says what ran before, requests would find nothing else. What the
// batchers say must be used in its place, and then the registration.
func TestAnnouncedTargetIsUsedUntilItRegisters(t *testing.T) {
	targets, clock := newTargets()
	targets.Apply([]fleet.Record{record("a", "1"), record("b", "1 draining")})
	announced := announce(targets, "a", registry.Announcement{ID: "a2"})
	assert.Assert(t, announced.Provisional)
	assert.Equal(t, ready(targets), "map[a2:true]", "the one before it has ended")
	assert.Equal(t, targets.Current().Addresses["a"].ID, "a2")
	clock.now = clock.now.Add(registrationLag)
	targets.RemoveExpired()
	assert.Equal(t, ready(targets), "map[a2:true]")
	targets.Apply([]fleet.Record{record("a2", "5 at a")})
	clock.now = clock.now.Add(time.Minute)
	targets.RemoveExpired()
	assert.Equal(t, ready(targets), "map[a2:true]")
	assert.Assert(t, !targets.Current().Services["s"][0].Provisional)
}

// TestAnnouncedTargetThatNeverRegistersIsDropped announces a target that does not register:
// it may have ended since. It must not be used for longer than registrations take.
func TestAnnouncedTargetThatNeverRegistersIsDropped(t *testing.T) {
	targets, clock := newTargets()
	targets.Apply([]fleet.Record{record("a", "1")})
	assert.Assert(t, announce(targets, "a", registry.Announcement{ID: "a2"}) != nil)
	clock.now = clock.now.Add(registrationLag + time.Millisecond)
	targets.RemoveExpired()
	assert.Equal(t, ready(targets), "map[a:true]")
}

// TestDelayedAnnouncementRevivesNothing lets a batcher that has not noticed the restart of its
// target name the incarnation before, in each way in which that can be seen. The registered
// target must stay in use.
func TestDelayedAnnouncementRevivesNothing(t *testing.T) {
	targets, _ := newTargets()
	targets.Apply([]fleet.Record{record("old", "3 at a")})
	targets.Apply([]fleet.Record{record("old", ""), record("new", "7 at a")})
	for name, a := range map[string]registry.Announcement{
		"it was registered before": {ID: "old"},
		"it started earlier":       {ID: "older", StartUnixMillis: 2},
		"it is the registered one": {ID: "new"},
		"it has no ID":             {},
	} {
		assert.Assert(t, announce(targets, "a", a) == nil, name)
		assert.Equal(t, ready(targets), "map[new:true]", name)
	}
	other := targets.Announce(targets.Current().Addresses["a"], registry.Announcement{ID: "x", Service: "another"})
	assert.Assert(t, other == nil, "an address is used again by another service")
}

// TestWrongAnnouncementIsNotRepeated sends a request to an announced target and finds another
// incarnation. The batcher goes on naming it for a moment: the registered target must be used
// again at once, and stay in use.
func TestWrongAnnouncementIsNotRepeated(t *testing.T) {
	targets, _ := newTargets()
	targets.Apply([]fleet.Record{record("a", "1")})
	registered := targets.Current().Addresses["a"]
	wrong := announce(targets, "a", registry.Announcement{ID: "x"})
	targets.RemoveIncarnation(wrong)
	assert.Equal(t, ready(targets), "map[a:true]")
	assert.Assert(t, targets.Announce(registered, registry.Announcement{ID: "x", Service: "s"}) == nil)
	assert.Equal(t, ready(targets), "map[a:true]")
}

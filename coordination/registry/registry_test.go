package registry_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/registry"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// decoder reads "VERSION" as a configuration, and "BORN", "BORN draining" or "BORN at
// ADDRESS" as a target; without an address it is at the address of its own name.
type decoder struct{}

func (decoder) Configuration(r fleet.Record) (*fleet.Configuration, error) {
	version, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err != nil {
		return nil, fleet.ErrMalformed.Wrap(err, "version")
	}
	return fleet.NewConfiguration(version, nil, nil, fleet.Limits{}), nil
}

func (decoder) Target(r fleet.Record) (*fleet.Target, error) {
	if len(r.Value) == 0 {
		return nil, nil
	}
	born, state, _ := strings.Cut(string(r.Value), " ")
	at, err := strconv.ParseInt(born, 10, 64)
	if err != nil {
		return nil, fleet.ErrMalformed.Wrap(err, "born")
	}
	address, named := strings.CutPrefix(state, "at ")
	if !named {
		address = r.Key
	}
	return &fleet.Target{ID: r.Key, StartUnixMillis: at, Service: "s", Address: address, Draining: state == "draining"}, nil
}

func record(key, value string) fleet.Record { return fleet.Record{Key: key, Value: []byte(value)} }

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Time }

func (c *manualClock) read() time.Time { return c.now }

func newTargets() (*registry.Targets, *manualClock) {
	c := &manualClock{now: time.Unix(1000, 0)}
	return registry.NewTargets(decoder{}, c.read), c
}

// ready returns the IDs of the targets in service "s".
func ready(t *registry.Targets) string {
	ids := map[string]bool{}
	for _, target := range t.Current().Services["s"] {
		ids[target.ID] = true
	}
	return fmt.Sprint(ids)
}

func TestConfigurationNeverReverts(t *testing.T) {
	c := registry.NewConfigurations(decoder{})
	assert.Assert(t, c.Current() == nil)
	c.Apply([]fleet.Record{record("c", "3"), record("c", "oops"), record("c", "7"), record("c", "5")})
	assert.Equal(t, c.Current().Version, int64(7))
	c.Apply([]fleet.Record{record("c", "6")})
	assert.Equal(t, c.Current().Version, int64(7))
}

func TestTargets(t *testing.T) {
	targets, _ := newTargets()
	targets.Apply([]fleet.Record{record("a", "1"), record("b", "1"), record("x", "oops")})
	assert.Equal(t, ready(targets), "map[a:true b:true]")
	targets.Apply([]fleet.Record{record("a", "1 draining"), record("b", "")})
	assert.Equal(t, ready(targets), "map[]")
	assert.Equal(t, len(targets.Current().Addresses), 1)
	targets.Apply([]fleet.Record{record("a", "9")})
	assert.Equal(t, ready(targets), "map[a:true]")
	targets.Apply([]fleet.Record{record("a", "8 draining")})
	assert.Equal(t, ready(targets), "map[a:true]", "a record of an earlier incarnation changes nothing")
	targets.Apply([]fleet.Record{record("a", "oops")})
	assert.Equal(t, ready(targets), "map[]", "an unreadable record removes the target")
}

// TestExpiryDuringStoreOutage removes registrations right after the store has
// recovered: the targets stay for the grace period, and beyond it if they register
// again.
func TestExpiryDuringStoreOutage(t *testing.T) {
	targets, c := newTargets()
	targets.Apply([]fleet.Record{record("a", "1"), record("b", "1"), record("c", "1")})
	targets.StoreRecovered()
	targets.Apply([]fleet.Record{record("a", ""), record("b", ""), record("c", "1 draining")})
	assert.Equal(t, ready(targets), "map[a:true b:true]", "a target that registers as draining is not ready")
	c.now = c.now.Add(time.Second)
	targets.Apply([]fleet.Record{record("a", "1")})
	c.now = c.now.Add(2 * time.Second)
	targets.RemoveExpired()
	assert.Equal(t, ready(targets), "map[a:true]")
	targets.Apply([]fleet.Record{record("a", "")})
	assert.Equal(t, ready(targets), "map[]", "later removals take effect at once")
}

// TestRemovalAfterStoreRecovery removes one target 0.4 s after the store has
// recovered, which may be an expiry during the outage, and another 0.8 s after,
// which means that it leaves and takes effect at once. The first must be gone within
// 3 s of the recovery, when the process must follow the registry again.
func TestRemovalAfterStoreRecovery(t *testing.T) {
	targets, c := newTargets()
	targets.Apply([]fleet.Record{record("a", "1"), record("b", "1"), record("c", "1")})
	targets.StoreRecovered()
	c.now = c.now.Add(400 * time.Millisecond)
	targets.Apply([]fleet.Record{record("a", "")})
	assert.Equal(t, ready(targets), "map[a:true b:true c:true]", "the registration may have expired during the outage")
	c.now = c.now.Add(400 * time.Millisecond)
	targets.Apply([]fleet.Record{record("b", "")})
	assert.Equal(t, ready(targets), "map[a:true c:true]")
	c.now = c.now.Add(1300 * time.Millisecond)
	targets.RemoveExpired()
	assert.Equal(t, ready(targets), "map[c:true]")
}

func TestResetRemovesAbsentTargets(t *testing.T) {
	targets, _ := newTargets()
	targets.Apply([]fleet.Record{record("a", "1"), record("b", "1")})
	targets.Reset([]fleet.Record{record("b", "1"), record("c", "1")})
	assert.Equal(t, ready(targets), "map[b:true c:true]")
}

// TestRemoveIncarnation removes an incarnation of a target, but not the incarnation that
// followed it under the same ID.
func TestRemoveIncarnation(t *testing.T) {
	targets, _ := newTargets()
	targets.Apply([]fleet.Record{record("a", "1"), record("b", "1")})
	targets.RemoveIncarnation(&fleet.Target{ID: "a", StartUnixMillis: 1})
	assert.Equal(t, ready(targets), "map[b:true]")
	targets.Apply([]fleet.Record{record("a", "2")})
	targets.RemoveIncarnation(&fleet.Target{ID: "a", StartUnixMillis: 1})
	assert.Equal(t, ready(targets), "map[a:true b:true]")
}

// TestTargetFromTheFutureHidesNoRealOne registers a target with a time of start far ahead
// under the ID of a real one, as another writer may do. The next record of the real target
// must count: by its time of start alone it would be a delayed record of an earlier
// incarnation.
func TestTargetFromTheFutureHidesNoRealOne(t *testing.T) {
	targets, clock := newTargets()
	born := strconv.FormatInt(clock.now.UnixMilli(), 10)
	targets.Apply([]fleet.Record{record("a", born), record("b", born)})
	targets.Apply([]fleet.Record{record("a", "9223372036854775807")})
	assert.Equal(t, ready(targets), "map[b:true]")
	targets.Apply([]fleet.Record{record("a", born)})
	assert.Equal(t, ready(targets), "map[a:true b:true]")
}

// TestAnnouncedLeaveOutlivesTheRegistration marks an incarnation as leaving. Its heartbeats,
// and the return of its registration after an outage, must not put it into use again; a
// later incarnation under its ID is used.
func TestAnnouncedLeaveOutlivesTheRegistration(t *testing.T) {
	targets, _ := newTargets()
	targets.Apply([]fleet.Record{record("a", "1"), record("b", "1")})
	targets.MarkLeaving(&fleet.Target{ID: "a", StartUnixMillis: 1})
	assert.Equal(t, ready(targets), "map[b:true]")
	assert.Assert(t, targets.Current().Addresses["a"].Draining, "its end is no crash")
	targets.Apply([]fleet.Record{record("a", "1")})
	assert.Equal(t, ready(targets), "map[b:true]")
	targets.Apply([]fleet.Record{record("a", "")})
	targets.Reset([]fleet.Record{record("a", "1"), record("b", "1")})
	assert.Equal(t, ready(targets), "map[b:true]")
	targets.Apply([]fleet.Record{record("a", "2")})
	assert.Equal(t, ready(targets), "map[a:true b:true]")
}

// TestEarlierIncarnationAtTheAddressIsNotUsed registers a target at the address of one that
// lost power and whose registration has not expired yet. Requests for the earlier one would
// find another incarnation at its address and come back unserved, one caller after the other.
// It is used again if the later registration turns out to be gone first.
func TestEarlierIncarnationAtTheAddressIsNotUsed(t *testing.T) {
	targets, _ := newTargets()
	targets.Reset([]fleet.Record{record("old", "1 at x"), record("new", "2 at x"), record("other", "1 at y")})
	assert.Equal(t, ready(targets), "map[new:true other:true]")
	targets.MarkLeaving(&fleet.Target{ID: "new", StartUnixMillis: 2})
	assert.Equal(t, ready(targets), "map[other:true]", "the earlier one has ended, whatever the later one does")
	targets.Apply([]fleet.Record{record("new", "")})
	assert.Equal(t, ready(targets), "map[old:true other:true]")
	targets.Apply([]fleet.Record{record("same", "1 at y")})
	assert.Equal(t, ready(targets), "map[old:true other:true same:true]", "nothing tells which is the later one")
}

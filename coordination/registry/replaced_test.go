package registry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/registry"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestReplacedBy guards against ending the requests of a target that has only lost its
// registration, or whose time of start is not known: it may still serve them.
func TestReplacedBy(t *testing.T) {
	s := registry.Snapshot{Addresses: map[string]*fleet.Target{"a": {ID: "new", Address: "a", StartUnixMillis: 20}}}
	assert.Equal(t, s.ReplacedBy(&fleet.Target{ID: "old", Address: "a", StartUnixMillis: 10}), s.Addresses["a"])
	assert.Assert(t, s.ReplacedBy(s.Addresses["a"]) == nil)
	assert.Assert(t, s.ReplacedBy(&fleet.Target{ID: "unknown", Address: "a"}) == nil)
	assert.Assert(t, s.ReplacedBy(&fleet.Target{ID: "gone", Address: "b", StartUnixMillis: 10}) == nil)
}
